#pragma once

#include <map>
#include <memory>
#include <string>

#include "engineholds.h"
#include "enginepause.h"
#include "gateway/callerport.h"
#include "http/callerconnection.h"
#include "ledger.h"
#include "net/timer.h"

namespace ibisfork::soak {

struct EngineIdentity
{
    std::string id;
    std::string service;
    std::string domain;
    std::int64_t born = 0;
};

/// The answer that an engine makes for request @p id, and the data of event @p number of a stream.
std::string plainBody(const std::string &id);
std::string eventData(const std::string &id, unsigned number);
inline constexpr unsigned eventsOfStream = 12;
/// Engines are unsure of every other of its answers.
inline constexpr const char *smallModel = "small";
inline constexpr const char *healthPath = "/healthz";

/// An engine that speaks the platform's wire, takes its time, and tells the ledger what it runs.
class SoakEngine
{
public:
    SoakEngine(event_base *base, Ledger &ledger, EngineIdentity identity);
    ~SoakEngine();
    SoakEngine(const SoakEngine &) = delete;
    SoakEngine &operator=(const SoakEngine &) = delete;

    net::Address address() const { return m_port.address(); }
    const EngineIdentity &identity() const { return m_identity; }
    /// Half of its runs fail while this is set.
    void setFailing(bool failing) { m_failing = failing; }
    /// All answers from now on say that it leaves.
    void leave() { m_leaving = true; }
    /// Until @p time it turns all requests away and asks for rest.
    void restUntil(base::TimePoint time) { m_restUntil = time; }
    /// Falls silent: it reads and sends nothing on any connection, and then goes on where it was.
    void pause(base::Duration lasts) { m_pause.start(lasts); }
    /// Until @p time it refuses new requests as full, unless room was reserved for them.
    void busyUntil(base::TimePoint time) { m_busyUntil = time; }
    /// Ends all that it runs, as a crash does.
    void crash();

private:
    struct Work
    {
        std::string id;
        std::string path;
        unsigned nextEvent = 1;
        /// Second half of an event whose first half has been sent.
        std::string restOfEvent;
        bool begun = false;
        bool isUnsure = false;
        std::unique_ptr<net::Timer> timer;
    };

    void accept(evutil_socket_t socket);
    void take(http::CallerConnection &connection, const http::Request &request, base::TimePoint arrived);
    /// Answers a call about reserved room; false if @p request is none.
    bool answerHoldCall(http::CallerConnection &connection, const http::Request &request);
    bool busy() const { return base::monotonicNow() < m_busyUntil; }
    bool resting() const { return base::monotonicNow() < m_restUntil; }
    void start(http::CallerConnection &connection, const http::Request &request, const std::string &id);
    /// Ends the work on @p connection, if there is any.
    void stopWork(http::CallerConnection &connection);
    void forget(http::CallerConnection &connection);
    void answerHealthCheck(http::CallerConnection &connection) const;
    void step(http::CallerConnection &connection);
    /// Sends the head of a stream, also of one that has no events left.
    void beginStream(http::CallerConnection &connection, Work &work);
    void sendEvent(http::CallerConnection &connection, Work &work);
    void refuse(http::CallerConnection &connection, const std::string &id, int status);
    http::HeaderList headersFor(const std::string &id);
    http::HeaderList headersFor(const Work &work);
    void askForRest(http::CallerConnection &connection, const std::string &id);
    /// Adds the mark of an engine that leaves, if it does.
    void addMark(http::HeaderList &headers, const std::string &id);

    event_base *m_base;
    Ledger &m_ledger;
    EngineIdentity m_identity;
    bool m_failing = false;
    bool m_leaving = false;
    base::TimePoint m_restUntil{};
    base::TimePoint m_busyUntil{};
    unsigned m_runs = 0;
    unsigned m_runsOfSmallModel = 0;
    EnginePause m_pause;
    EngineHolds m_holds;
    std::map<http::CallerConnection *, std::unique_ptr<http::CallerConnection>> m_connections;
    std::map<http::CallerConnection *, Work> m_work;
    gateway::ListeningPort m_port;
};

} // namespace ibisfork::soak
