#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/httpcall.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Cancels generations whose requests have ended, and reports when they no longer occupy a slot at their engine.
class StreamCanceller
{
public:
    /// Called once; @p stopped tells whether the stream is confirmed not to run.
    using Done = std::function<void(bool stopped)>;

    StreamCanceller(event_base *base, const net::HttpTimeouts &timeouts);
    ~StreamCanceller();

    /// Asks the engine at @p address to stop the stream @p streamId; retries a few times if the engine doesn't respond.
    void cancel(const net::Address &address, const std::string &streamId, Done done);
    /// Calls @p done with false after @p time, for generations that can't be cancelled.
    void finishAfter(base::Duration time, Done done);
    /// Number of cancellations and waits in progress.
    std::size_t pending() const { return m_jobs.size(); }

private:
    struct Job;

    void sendCancel(Job &job);
    void onResponse(Job &job, const std::variant<net::HttpResponse, net::HttpFailure> &outcome);
    void finish(Job &job, bool stopped);

    event_base *m_base;
    net::HttpTimeouts m_timeouts;
    std::uint64_t m_nextJob = 0;
    std::map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
};

} // namespace ibisfork::serving
