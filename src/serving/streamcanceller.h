#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/httpcall.h"
#include "net/timer.h"

namespace ibisfork::serving {

/// Cancels generations whose requests are over and tells when they no longer count at their engine.
class StreamCanceller
{
public:
    /// Whether the engine has said that the stream does not run.
    using Done = std::function<void(bool stopped)>;

    StreamCanceller(event_base *base, const net::HttpTimeouts &timeouts);
    ~StreamCanceller();

    /// Asks the engine at @p address to stop @p streamId, a few times if need be.
    void cancel(const net::Address &address, const std::string &streamId, Done done);
    /// Waits for @p time where nothing can be asked.
    void hold(base::Duration time, Done done);
    std::size_t pending() const { return m_jobs.size(); }

private:
    struct Job;

    void ask(Job &job);
    void answered(Job &job, const std::variant<net::HttpResponse, net::HttpFailure> &outcome);
    void finish(Job &job, bool stopped);

    event_base *m_base;
    net::HttpTimeouts m_timeouts;
    std::uint64_t m_nextJob = 0;
    std::map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
};

} // namespace ibisfork::serving
