#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakestore.h"
#include "net/timer.h"
#include "standins.h"

namespace ibisfork::gateway::test {

/// Engines of the service "s" that end while they answer a request which crashes them, and start again under new ids.
class EngineFleet
{
public:
    using Predicate = std::function<bool(const http::Request &)>;

    /// @p crashes: true for requests that crash the engine that runs them.
    EngineFleet(event_base *base, FakeStore &store, std::size_t engines, Predicate crashes);

    /// Requests received so far that crash engines.
    std::size_t crashingRequests() const { return m_crashingRequests; }
    /// Number of engines that have ended so far.
    std::size_t crashes() const { return m_crashes; }
    /// When an engine goes on with a request that crashes it, and when it ends, both since the first event.
    struct CrashTimes
    {
        std::chrono::milliseconds secondEvent;
        std::chrono::milliseconds end;
    };
    /// From now on engines send events of a request that crashes them, and end after them.
    void crashAfterEvents(const CrashTimes &times) { m_crashTimes = times; }
    /// As above; they end soon after the first event.
    void crashAfterAnEvent() { crashAfterEvents({2 * eventTime, eventTime}); }
    /// All engines end at this moment, without a request to blame.
    void crashAll();
    /// Time that an engine takes from the request to its response, or to its end.
    static constexpr std::chrono::milliseconds runTime{60};
    /// Time from the event of a request that crashes an engine to the engine's end.
    static constexpr std::chrono::milliseconds eventTime{50};
    /// Time from an engine's end to its next start.
    static constexpr std::chrono::milliseconds restartTime{600};

private:
    void start();
    void crash(const std::string &id);
    EngineReply answer(const std::string &id, const http::Request &request);
    EngineReply answerThatCrashes(const std::string &id, const http::Request &request);
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    event_base *m_base;
    FakeStore &m_store;
    Predicate m_isCrashing;
    std::optional<CrashTimes> m_crashTimes;
    std::size_t m_started = 0;
    std::size_t m_crashes = 0;
    std::size_t m_crashingRequests = 0;
    std::map<std::string, std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::unique_ptr<net::Timer>> m_timers;
};

} // namespace ibisfork::gateway::test
