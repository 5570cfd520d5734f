#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "gateway/call.h"
#include "gateway/engine.h"

namespace ibisfork::gateway {

/// Why a run at an engine came to nothing, as far as the engine's health is concerned.
enum class EngineFault {
    Unreachable, ///< No connection.
    Lost, ///< The connection broke while a request ran.
    Silent, ///< Nothing came for longer than the engine usually needs.
    Failed, ///< It answered that it failed, or with bytes that are no answer.
    Full, ///< It refused for lack of room.
};

/// Requests a second that may be started at an engine by this node, without a burst.
class StartRate
{
public:
    bool ready(base::TimePoint now) const { return now >= m_next; }
    void take(base::TimePoint now, double perSecond);
    /// No start before @p time.
    void delayUntil(base::TimePoint time) { m_next = time; }
    base::TimePoint next() const { return m_next; }

private:
    base::TimePoint m_next{};
};

/// All that this node knows of one engine.
struct Engine
{
    EngineEntry entry;
    /// Until then it bears only the cold rate of its service.
    base::TimePoint coldUntil{};
    /// Until then it is chosen only if there is no other.
    base::TimePoint restUntil{};
    /// The entry vanished while the store was in trouble; after this it counts as gone.
    std::optional<base::TimePoint> goneAt;
    StartRate coldStarts;
    /// This node's first start since the engine turned cold has been put off by a random part of its interval.
    bool coldStartsSpread = false;
    unsigned inFlight = 0;
    unsigned faultsInRow = 0;
    /// Share of its recent runs that failed, from 0 to 1.
    double faultShare = 0;
    EngineLoad reported;
    base::TimePoint reportedAt{};
    unsigned sentSinceReport = 0;
    unsigned doneSinceReport = 0;
    /// Prompt tokens that this node has sent and whose answers have not begun.
    std::uint64_t unansweredTokens = 0;

    /// Requests that it is expected to hold now. @p nodes: how many nodes send to it.
    double expectedLoad(base::TimePoint now, unsigned nodes) const;
    bool cold(base::TimePoint now) const { return now < coldUntil; }
};

/// The engines that the platform lists, with what this node has learnt of them.
class EngineBook
{
public:
    /// Takes an entry as the platform lists it. True if it is new, or says something else than before of state or
    /// start.
    bool put(const EngineEntry &entry, base::TimePoint now);
    /// The platform lists the engine no more. @p doubtful: the store was in trouble, so the entry may have lapsed only;
    /// it then counts until @p now plus the time in which living engines are back.
    void remove(const std::string &id, bool doubtful, base::TimePoint now);
    /// Removes all that is not in @p ids.
    void keepOnly(const std::set<std::string> &ids, bool doubtful, base::TimePoint now);
    /// Forgets the engines whose doubt has ended. Returns their ids.
    std::vector<std::string> dropGone(base::TimePoint now);

    Engine *find(const std::string &id);
    /// Engines of @p service that are not leaving.
    std::vector<Engine *> ofService(const std::string &service);
    const std::map<std::string, Engine> &all() const { return m_engines; }

    void noteSent(const std::string &id, std::uint32_t promptTokens);
    /// The answer has begun, or will not come: the prompt of @p promptTokens no longer waits.
    void notePromptRead(const std::string &id, std::uint32_t promptTokens);
    void noteEnded(const std::string &id);
    void noteLoad(const std::string &id, const EngineLoad &load, base::TimePoint now);
    void noteSuccess(const std::string &id);
    /// @p coldPeriod: how long an engine of its service is cold after a start.
    void noteFault(const std::string &id, EngineFault fault, base::Duration coldPeriod, base::TimePoint now);

private:
    std::map<std::string, Engine> m_engines;
};

} // namespace ibisfork::gateway
