#include "serving/streamcanceller.h"

#include <fmt/format.h>

#include "net/deletelater.h"

namespace ibisfork::serving {

namespace {

constexpr int maxAttempts = 3;
constexpr std::chrono::milliseconds retryInterval{200};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

} // namespace

struct StreamCanceller::Job
{
    std::uint64_t number = 0;
    net::Address address;
    std::string path;
    Done done;
    int attempts = 0;
    std::unique_ptr<net::HttpCall> call;
    std::unique_ptr<net::Timer> timer;
};

StreamCanceller::StreamCanceller(event_base *base, const net::HttpTimeouts &timeouts)
    : m_base(base)
    , m_timeouts(timeouts)
{ }

StreamCanceller::~StreamCanceller() = default;

void StreamCanceller::cancel(const net::Address &address, const std::string &streamId, Done done)
{
    auto job = std::make_unique<Job>();
    job->number = m_nextJob++;
    job->address = address;
    job->path = fmt::format("/v1/streams/{}", streamId);
    job->done = std::move(done);
    auto &held = *(m_jobs[job->number] = std::move(job));
    held.timer = std::make_unique<net::Timer>(m_base, [this, &held] { sendCancel(held); });
    sendCancel(held);
}

void StreamCanceller::finishAfter(base::Duration time, Done done)
{
    auto job = std::make_unique<Job>();
    job->number = m_nextJob++;
    job->done = std::move(done);
    auto &held = *(m_jobs[job->number] = std::move(job));
    held.timer = std::make_unique<net::Timer>(m_base, [this, &held] { finish(held, false); });
    held.timer->startOnce(time);
}

void StreamCanceller::sendCancel(Job &job)
{
    ++job.attempts;
    net::HttpRequest request;
    request.method = net::HttpMethod::Delete;
    request.path = job.path;
    job.call = net::fetch(m_base, job.address, std::move(request), m_timeouts, [this, &job](const auto &outcome) {
        onResponse(job, outcome);
    });
}

void StreamCanceller::onResponse(Job &job, const std::variant<net::HttpResponse, net::HttpFailure> &outcome)
{
    if (const auto *response = std::get_if<net::HttpResponse>(&outcome)) {
        const int status = response->head.status;
        finish(job, status == statusOk || status == statusNotFound);
        return;
    }
    if (std::get<net::HttpFailure>(outcome).kind == net::HttpFailureKind::Refused) {
        // Nothing listens at the engine's address: the process has ended, and the generation with it.
        finish(job, true);
    } else if (job.attempts < maxAttempts) {
        job.timer->startOnce(retryInterval);
    } else {
        finish(job, false);
    }
}

void StreamCanceller::finish(Job &job, bool stopped)
{
    const auto done = std::move(job.done);
    const auto entry = m_jobs.find(job.number);
    auto owned = std::move(entry->second);
    m_jobs.erase(entry);
    net::deleteLater(m_base, std::move(owned));
    done(stopped);
}

} // namespace ibisfork::serving
