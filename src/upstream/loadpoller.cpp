#include "upstream/loadpoller.h"

#include <algorithm>

namespace ibisfork::upstream {

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds pollTimeout{1000};
/// Minimum interval between two polls of the same upstream.
constexpr std::chrono::milliseconds minPollInterval{1000};
/// Minimum interval between any two polls.
constexpr std::chrono::milliseconds minStep{50};
/// Number of poll cycles without a report after which an engine no longer counts as warm.
constexpr int freshnessCycles = 3;

} // namespace

LoadPoller::LoadPoller(event_base *base, ConcurrencyTracker &limits, base::MetricsRegistry &metrics)
    : m_base(base)
    , m_limits(limits)
    , m_reports(metrics.counter("ibisfork_load_reports_total"))
    , m_failures(metrics.counter("ibisfork_load_report_failures_total"))
    , m_timer(base, [this] { pollNext(); })
{ }

void LoadPoller::update(const fleet::Config &config)
{
    m_targets.clear();
    for (const auto &id : m_limits.heldUpstreams()) {
        m_targets.push_back({id, net::Address::parse(config.upstreams.at(id).address)});
    }
    if (m_targets.empty()) {
        m_timer.stop();
        return;
    }
    const auto count = static_cast<std::chrono::milliseconds::rep>(m_targets.size());
    const auto step = std::max(minStep, minPollInterval / count);
    m_limits.setFreshnessTimeout(freshnessCycles * std::max(minPollInterval, step * count));
    m_timer.startEvery(step);
}

void LoadPoller::pollNext()
{
    const auto idle = [this](const Target &target) {
        return !m_calls.contains(target.upstream);
    };
    const auto suspected = std::find_if(m_targets.begin(), m_targets.end(), [&](const Target &target) {
        return m_limits.isRestartSuspected(target.upstream) && idle(target);
    });
    // Suspected upstreams get every second poll, so that the others are still polled.
    m_pollSuspectedNext = !m_pollSuspectedNext;
    if (m_pollSuspectedNext && suspected != m_targets.end()) {
        poll(*suspected);
        return;
    }
    m_next = (m_next + 1) % m_targets.size();
    if (idle(m_targets[m_next])) {
        poll(m_targets[m_next]);
    }
}

void LoadPoller::poll(const Target &target)
{
    const auto requestedAt = base::monotonicNow();
    net::HttpRequest request;
    request.path = "/v1/load";
    const auto done = [this, requestedAt, upstream = target.upstream](const auto &outcome) {
        const auto *response = std::get_if<net::HttpResponse>(&outcome);
        if (response != nullptr && response->head.status == statusOk) {
            onResponse(upstream, requestedAt, *response);
        } else {
            onFailure(upstream, std::get_if<net::HttpFailure>(&outcome));
        }
        m_calls.erase(upstream);
    };
    m_calls[target.upstream] = net::fetch(m_base, target.address, std::move(request), pollTimeout, done);
}

void LoadPoller::onFailure(const std::string &upstream, const net::HttpFailure *failure)
{
    m_failures.add();
    if (failure != nullptr && failure->kind == net::HttpFailureKind::Refused) {
        m_limits.recordConnectionRefused(upstream, base::monotonicNow());
    }
}

void LoadPoller::onResponse(const std::string &upstream, base::TimePoint requestedAt, const net::HttpResponse &response)
{
    if (const auto report = parseLoadReport(response.body)) {
        m_reports.add();
        m_limits.recordLoadReport(upstream, *report, requestedAt, base::monotonicNow());
    } else {
        m_failures.add();
    }
}

} // namespace ibisfork::upstream
