#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/call.h"
#include "gateway/engine.h"
#include "load/latencymodel.h"
#include "load/pace.h"
#include "load/reportboard.h"
#include "load/room.h"

namespace ibisfork::gateway {

/// Why an attempt at an engine failed, as far as it concerns the engine's health.
enum class EngineFault {
    Unreachable, ///< No connection could be established.
    Lost, ///< The connection was lost while a request ran.
    Silent, ///< No data arrived for longer than the engine usually needs.
    Failed, ///< The engine reported a failure or sent an invalid response.
    Full, ///< The engine refused the request for lack of capacity.
};

/// Limits the rate at which this node starts requests at an engine; allows no bursts.
class StartRate
{
public:
    /// Smallest rate that is kept, in starts a second. An engine that takes less, or nothing, is still asked now and
    /// then, since only its answers tell when it takes more.
    static constexpr double minPerSecond = 0.25;

    /// An equal share of @p perSecond for one of @p nodes, which don't see each other's starts.
    static double shareOf(double perSecond, unsigned nodes);

    /// True if a request may start at @p now.
    bool ready(base::TimePoint now) const { return now >= m_next; }
    /// Counts a start; the next one may follow after the interval of @p perSecond.
    void recordStart(base::TimePoint now, double perSecond);
    /// Allows no start before @p time.
    void delayUntil(base::TimePoint time) { m_next = time; }
    /// Earliest time of the next start.
    base::TimePoint next() const { return m_next; }
    /// Returns the earliest time of a start that has not been promised to a caller, and promises it.
    base::TimePoint promise(double perSecond);

private:
    static base::Duration interval(double perSecond);

    base::TimePoint m_next{};
    base::TimePoint m_promised{};
};

/// State of one engine as seen by this node.
struct Engine
{
    EngineEntry entry;
    /// The engine has said, in its entry or in an answer, that it is draining. Final for this process of the engine.
    bool leaving = false;
    /// Until this time the engine wants nothing from this node, since it has turned a request away.
    base::TimePoint restUntil{};
    /// Paces this node's starts after a rest, until the engine has answered one of them.
    StartRate startsAfterRest;
    /// No request has been answered since the engine last asked for rest.
    bool isUnprovenAfterRest = false;
    /// Until this time the engine accepts only its service's cold rate, by its own entry.
    base::TimePoint coldUntil{};
    /// As coldUntil, because of faults after which it may have restarted.
    base::TimePoint suspectedColdUntil{};
    /// Until this time the engine is backed off: chosen only if there is no other.
    base::TimePoint backoffUntil{};
    /// Until this time the engine has no room, since it has refused a request for lack of it.
    base::TimePoint fullUntil{};
    /// Set if the entry disappeared while the store was unreliable: the time at which the engine is removed.
    std::optional<base::TimePoint> removeAt;
    StartRate coldStarts;
    /// Paces this node's starts while startLimit is set.
    StartRate limitedStarts;
    /// This node's first start since the limit was named has been delayed by a random part of the interval.
    bool limitedStartsSpread = false;
    /// This node's first start since the engine became cold has been delayed by a random part of the interval.
    bool coldStartsSpread = false;
    /// Requests of this node that the engine is running.
    unsigned inFlight = 0;
    /// Requests a second that the engine takes from all nodes together, by its last response to this node.
    std::optional<double> startLimit;
    /// Requests that the engine may refuse in a second before it fails, by the last response of an engine of its
    /// service; set while engines are brittle.
    std::optional<std::uint32_t> refusalLimit;
    /// Until this time a brittle engine gets nothing from this node, whose share of the refusals is used up.
    base::TimePoint refusalPauseUntil{};
    /// Requests that this node may have in flight at the engine while it is brittle, and the number of nodes for which
    /// that was computed.
    unsigned slotShare = 0;
    unsigned slotShareNodes = 0;
    /// Since when the engine counts as cold, if that is only because it was silent.
    std::optional<base::TimePoint> silentSince;
    /// Consecutive faults of the kinds Unreachable, Lost and Silent; each one doubles the back-off.
    unsigned faultsInRow = 0;
    /// Moving average of the share of runs that failed, from 0 to 1.
    double faultShare = 0;
    EngineLoad reported;
    base::TimePoint reportedAt{};
    unsigned sentSinceReport = 0;
    unsigned doneSinceReport = 0;
    /// When this node last sent a request there, which reports of before cannot count.
    base::TimePoint lastSentAt{};
    /// Prompt tokens of this node's requests whose responses have not begun.
    std::uint64_t unansweredTokens = 0;
    load::Pace pace;

    /// Age of the last load report, if there is one.
    std::optional<base::Duration> reportAge(base::TimePoint now) const;
    /// True if it is young enough to be used.
    bool hasFreshReport(base::TimePoint now) const;
    /// Estimated number of requests, running and waiting, at the engine now. @p nodes: number of nodes that send to it.
    double expectedLoad(base::TimePoint now, unsigned nodes) const;
    /// True if a request within @p limit finds room, as far as this node knows.
    bool hasRoom(const load::RoomLimit &limit, base::TimePoint now, unsigned nodes) const;
    /// What the time of an answer is estimated from.
    load::EngineState loadState(base::TimePoint now, unsigned nodes) const;
    bool isCold(base::TimePoint now) const { return now < coldUntil || now < suspectedColdUntil; }
    bool isResting(base::TimePoint now) const { return now < restUntil; }
    /// Takes over that the engine wants nothing from this node before @p until.
    void beginRest(base::TimePoint until);
    /// True if the engine counts as cold only because of faults that this node has seen.
    bool isOnlySuspectedCold(base::TimePoint now) const { return now >= coldUntil && now < suspectedColdUntil; }
};

/// Where an entry of the platform's list was read.
enum class Listing {
    Current,
    OfOlderCopy, ///< In the first reading after the store has come back from an older copy.
};

/// The engines listed by the platform, with the load and faults that this node has observed.
class EngineTracker
{
public:
    /// Adds or updates the engine of an entry listed by the platform. True if the engine is new, has restarted, or has
    /// changed its draining state.
    /// An older copy may list engines that have been removed since; they are added once their entry is renewed.
    bool put(const EngineEntry &entry, base::TimePoint now, Listing listing = Listing::Current);
    /// Removes an engine that the platform no longer lists. @p storeUnreliable: the store was unreliable, so the entry
    /// may merely have expired; the engine is then kept for the time in which live engines renew their entries.
    void remove(const std::string &id, bool storeUnreliable, base::TimePoint now);
    /// Removes all engines that are not in @p ids; @p storeUnreliable as for remove().
    void removeAllExcept(const std::set<std::string> &ids, bool storeUnreliable, base::TimePoint now);
    /// Removes the engines that were kept because the store was unreliable and whose grace period has ended. Returns
    /// their ids.
    std::vector<std::string> removeExpired(base::TimePoint now);

    Engine *find(const std::string &id);
    /// Engines of @p service that have not said that they leave.
    std::vector<Engine *> ofService(const std::string &service);
    const std::map<std::string, Engine> &all() const { return m_engines; }

    /// Records that a request with a prompt of @p promptTokens was sent to the engine.
    void recordSent(const std::string &id, std::uint32_t promptTokens, base::TimePoint now);
    /// Records that a prompt of @p promptTokens is no longer pending: its response has begun, or the attempt has ended.
    void recordPromptRead(const std::string &id, std::uint32_t promptTokens);
    /// Records that an attempt sent to the engine has ended, with whatever result.
    void recordEnded(const std::string &id);
    /// Records a load report of the engine; counts since the previous report restart.
    void recordLoad(const std::string &id, const EngineLoad &load, base::TimePoint now);
    /// Records a load report that the engine has made to another node, if none as new is known and it is of the
    /// engine's current process.
    void recordLoadOfPeer(const load::Report &report, base::TimePoint now);
    /// True once an engine of any service has said how long work takes on its machine.
    bool isPaceReported() const;
    /// Records that an answer of the engine, to a prompt of which @p tokens had to be read, began @p seen after it was
    /// sent. @p before: the engine's state when it was sent. Returns the time that was expected, once enough answers
    /// of the service have been seen.
    std::optional<base::Duration> recordFirstByte(const std::string &id,
                                                  std::uint64_t tokens,
                                                  const load::EngineState &before,
                                                  base::Duration seen,
                                                  base::TimePoint now);
    /// The times of the answers of @p service; null while too few have been seen, or if its engines don't say how long
    /// work takes on their machines.
    const load::LatencyModel *latencyOf(const std::string &service) const;
    /// Records that a process of an engine has said in an answer that it leaves; later processes of the engine are not
    /// concerned. True if that is new.
    bool recordLeaving(const EngineProcess &process, base::TimePoint now);
    /// Records that a process of an engine has turned a request away and wants nothing from this node for @p rest, of
    /// which at most maxRest counts.
    void recordRest(const EngineProcess &process, base::Duration rest, base::TimePoint now);
    /// Longest rest that is kept; an engine that means a longer one says so again.
    static constexpr std::chrono::milliseconds maxRest{60000};
    /// Records that the engine has answered a request that it has not turned away.
    void recordAnswered(const std::string &id, base::TimePoint now);
    /// Records the limit that a response of the engine names, or that it names none. True if that is a change.
    bool recordStartLimit(const std::string &id, std::optional<double> perSecond);
    /// Records the refusal limit that a response of the engine names, or that it names none. The engines of a service
    /// are brittle together, so a limit holds for all of them until they say otherwise. True if that is a change.
    bool recordRefusalLimit(const std::string &id, std::optional<std::uint32_t> perSecond);
    /// Records that the engine refused a request of this node for want of room; @p nodes send to it.
    void recordRefusal(const std::string &id, unsigned nodes, base::TimePoint now);
    /// Records that the engine has answered on a connection established at @p connectedAt. If it was only silent, and
    /// the connection is older than that, the process is the one of before, and not cold.
    void recordProcessAlive(const std::string &id, base::TimePoint connectedAt);
    /// Records a successful run: ends the series of consecutive faults and lowers the fault share.
    void recordSuccess(const std::string &id);
    /// Records a failed attempt. @p coldPeriod: how long an engine of the service stays cold after a start.
    void recordFault(const std::string &id, EngineFault fault, base::Duration coldPeriod, base::TimePoint now);
    /// Forgets the faults of all engines of @p service, since the path to them was at fault.
    void forgetFaults(const std::string &service);

private:
    /// A process of an engine that is no longer listed. It may be listed again by a store that has lost its latest
    /// writes.
    struct UnlistedProcess
    {
        std::int64_t startTimeMs = 0;
        base::TimePoint at{};
        /// It has said that it leaves.
        bool leaving = false;
        base::TimePoint restUntil{};
    };

    /// The process of @p entry, if it was listed before and is not now.
    const UnlistedProcess *findUnlisted(const EngineEntry &entry) const;
    void takeLoad(Engine &engine, const EngineLoad &load, base::TimePoint saidAt);
    void erase(std::map<std::string, Engine>::iterator engine, base::TimePoint now);

    /// How long the engines of a service take, and whether any has said how long work takes on its machine.
    struct ServiceLatency
    {
        load::LatencyModel model;
        bool isPaceReported = false;
    };

    std::map<std::string, Engine> m_engines;
    /// By service.
    std::map<std::string, ServiceLatency> m_latency;
    /// By engine id.
    std::map<std::string, UnlistedProcess> m_unlisted;
};

} // namespace ibisfork::gateway
