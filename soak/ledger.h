#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <ibisfork/base/clock.h>

#include "enginepauses.h"
#include "gateway/configuration.h"

namespace ibisfork::soak {

/// One run of a request at an engine.
struct Run
{
    std::string engine;
    std::string service;
    std::string domain;
    /// When the request arrived.
    base::TimePoint at{};
    /// When the engine began; later than @ref at if it was silent meanwhile.
    base::TimePoint begunAt{};
    /// When the engine had done or saw that the request was withdrawn.
    std::optional<base::TimePoint> until;
    /// When the engine had sent its whole answer.
    std::optional<base::TimePoint> answeredAt{};
};

/// What a caller asked for, and what became of it.
struct Asked
{
    gateway::Repeatability kind = gateway::Repeatability::Idempotent;
    /// The part of the configuration that the request hangs on.
    std::string path;
    std::string key;
    std::size_t node = 0;
    base::TimePoint sentAt{};
    base::TimePoint endedAt{};
    /// 0 where no whole answer came.
    int status = 0;
    bool ended = false;
    bool leftByCaller = false;
    std::vector<Run> runs;
};

/// Times in which promises with a time bound don't hold, since something was being harmed.
class Disturbances
{
public:
    void note(std::optional<std::size_t> node, base::TimePoint from, base::TimePoint until);
    /// True if neither @p node nor all of them were disturbed between @p from and @p to.
    bool calm(std::size_t node, base::TimePoint from, base::TimePoint to) const;

private:
    struct Span
    {
        std::optional<std::size_t> node;
        base::TimePoint from{};
        base::TimePoint until{};
    };

    std::vector<Span> m_spans;
};

/// What callers and engines saw, and the promises that this broke.
class Ledger
{
public:
    Disturbances disturbances;
    /// Those of nodes themselves and of their paths to engines alone.
    Disturbances pathDisturbances;
    /// Those that may end a request: neither planned work nor what harms only what nodes learn.
    Disturbances unplanned;
    /// Times in which sound engines were silent or full.
    Disturbances hindrances;
    /// Times in which a node was stopped, so that it could do nothing.
    Disturbances stops;
    EnginePauses pauses;

    Asked &asked(const std::string &id) { return m_asked[id]; }
    bool knows(const std::string &id) const { return m_asked.contains(id); }
    void ran(const std::string &id, const Run &run);
    /// @p engine no longer works on request @p id.
    void stopped(const std::string &id, const std::string &engine);

    /// @p engine has sent its whole answer to request @p id at @p time, and its node was there to take it.
    void answered(const std::string &id, const std::string &engine, base::TimePoint time);

    /// Request @p id has arrived at @p engine, whatever becomes of it there.
    void reached(const std::string &id, const std::string &engine);
    /// @p engine has said in its answer to request @p id that it leaves.
    void marked(const std::string &id, const std::string &engine);
    /// @p engine has turned request @p id away and wants nothing from the request's node for @p rest.
    void restAsked(const std::string &id, const std::string &engine, base::Duration rest);

    /// From @p time on the operators allow @p path at @p service only; empty: nowhere.
    void allow(const std::string &path, const std::string &service, base::TimePoint time);
    /// From @p time on the operators want requests ended after @p timeout.
    void timeout(base::Duration timeout, base::TimePoint time) { m_timeouts.push_back({time, timeout}); }
    void terminated(std::size_t node, base::TimePoint time) { m_terminated.push_back({node, time}); }
    /// A node has been killed, without a warning.
    void killed(base::TimePoint time) { m_kills.push_back(time); }
    void revoke(const std::string &key, base::TimePoint time) { m_revoked[key] = time; }
    void drained(const std::string &engine, base::TimePoint time) { m_drained.try_emplace(engine, time); }
    void evacuated(const std::string &domain, bool taken, base::TimePoint time);

    void broken(const std::string &promise) { m_broken.push_back(promise); }
    /// Promises that can be judged only when all is over.
    void close();
    const std::vector<std::string> &violations() const { return m_broken; }
    const std::map<std::string, Asked> &all() const { return m_asked; }

private:
    /// An engine and a node that has sent it requests.
    using EngineAndNode = std::pair<std::string, std::size_t>;

    struct Rest
    {
        base::TimePoint from{};
        base::TimePoint until{};
        /// Requests that have reached the engine meanwhile.
        unsigned requests = 0;
    };

    struct Timeout
    {
        base::TimePoint from{};
        base::Duration timeout{};
    };

    struct Terminated
    {
        std::size_t node = 0;
        base::TimePoint at{};
    };

    struct Allowed
    {
        base::TimePoint from{};
        std::string service;
    };

    bool allowedAt(const std::string &path, const std::string &service, base::TimePoint from, base::TimePoint to) const;
    void checkMark(const std::string &id, const Asked &request, const std::string &engine);
    void checkRests(const Asked &request, const std::string &engine);
    void checkRun(const std::string &id, const Asked &request, const Run &run);
    void checkEnd(const std::string &id, const Asked &request);
    /// The answer that ended a request is a final one, and not a time-out while that of an engine was there.
    void checkAnswer(const std::string &id, const Asked &request);
    /// A request that ended without a whole answer had a reason for it.
    void checkCut(const std::string &id, const Asked &request);
    /// An engine that a stream has left ends its work on it.
    void checkLeft(const std::string &id, const Asked &request);
    /// The shortest time that may have been in force for @p request.
    base::Duration timeLimit(const Asked &request) const;
    bool atWorkAtEndOfGrace(const Asked &request) const;
    /// True if the last run that @p request may have was another node's, which was killed under it.
    bool lastRunFellWithNode(const Asked &request) const;

    std::map<std::string, Asked> m_asked;
    std::map<std::string, std::vector<Allowed>> m_allowed;
    std::vector<Timeout> m_timeouts;
    std::vector<Terminated> m_terminated;
    std::vector<base::TimePoint> m_kills;
    std::map<std::string, base::TimePoint> m_revoked;
    std::map<std::string, base::TimePoint> m_drained;
    std::map<std::string, base::TimePoint> m_evacuated;
    std::map<EngineAndNode, base::TimePoint> m_marked;
    std::map<EngineAndNode, std::vector<Rest>> m_rests;
    std::vector<std::string> m_broken;
};

} // namespace ibisfork::soak
