#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>
#include <ibisfork/coord/ramp.h>
#include <ibisfork/coord/slottracker.h>
#include <ibisfork/fleet/config.h>

#include "upstream/firsttokens.h"
#include "upstream/loadreport.h"

namespace ibisfork::upstream {

/// What gave a cold start away.
enum class ColdStartSign { ConnectionLost, NewIncarnation, SlowFirstToken, BroughtBack, Notice };
inline constexpr std::array<base::Name<ColdStartSign>, 5> coldStartSignNames{{
    {ColdStartSign::ConnectionLost, "connection-lost"},
    {ColdStartSign::NewIncarnation, "new-incarnation"},
    {ColdStartSign::SlowFirstToken, "slow-first-token"},
    {ColdStartSign::BroughtBack, "brought-back"},
    {ColdStartSign::Notice, "notice"},
}};

/// Tells other nodes of a cold start that this one saw.
struct Notice
{
    std::string upstream;
    /// The incarnation that is cold, as far as known.
    std::string incarnation;
    ColdStartSign sign = ColdStartSign::ConnectionLost;
};

/// What runs at each upstream from this node, and how much more this node may send there.
class LimitBook
{
public:
    /// The process is the member @p node of the fleet where the member's row has @p incarnation.
    LimitBook(const std::string &node, std::string incarnation, coord::SlotTimeBounds times);

    /// Takes the upstreams and members of a new revision; revisions must come one by one.
    void update(const fleet::Config &config, base::TimePoint now);
    /// Notes that no node acts on a revision older than @p accepted any more.
    void recordAccepted(coord::Revision accepted, base::TimePoint now) { m_slots.recordAccepted(accepted, now); }
    /// Where cold starts that this node saw itself are told.
    void onNotice(std::function<void(Notice)> handler) { m_notice = std::move(handler); }
    /// Time for which an upstream that is not heard from may still be taken for warm.
    void setFreshFor(base::Duration freshFor) { m_freshFor = freshFor; }

    /// Requests that this node may still start at @p upstream.
    std::uint32_t free(const std::string &upstream, base::TimePoint now) const;
    /// This node's own requests at @p upstream.
    std::uint32_t running(const std::string &upstream) const;
    /// Requests of all nodes at @p upstream by its last report and this node's work since, over what it bears warm.
    double occupancy(const std::string &upstream) const;
    /// Whether this node holds slots of @p upstream, usable yet or not.
    bool holds(const std::string &upstream) const { return m_slots.holds(upstream); }
    /// The upstreams of which this node holds slots.
    std::vector<std::string> held() const;
    /// Whether slots of at least half of the held upstreams are past their wait.
    bool settled(base::TimePoint now) const;
    /// Whether this process is a member of the fleet.
    bool member() const { return m_member; }

    void started(const std::string &upstream);
    /// Notes that a request that was started can't run at @p upstream any more.
    void ended(const std::string &upstream);

    /// Notes the incarnation that an upstream names in an answer; a new one is cold.
    void sawIncarnation(const std::string &upstream, const std::string &incarnation, base::TimePoint now);
    /// Puts @p upstream back to its cold limit.
    void sawColdStart(const std::string &upstream,
                      base::TimePoint now,
                      ColdStartSign sign = ColdStartSign::ConnectionLost);
    /// Notes the time to the first token of an answer; a sudden slow one is a sign of a cold start.
    void sawFirstToken(const std::string &upstream, base::Duration after, base::TimePoint now);
    /// Takes a report that was asked for at @p askedAt.
    void sawLoad(const std::string &upstream, const LoadReport &report, base::TimePoint askedAt, base::TimePoint now);
    /// Notes that nothing listens at @p upstream's address; nothing is sent there until it is heard from.
    void sawRefused(const std::string &upstream, base::TimePoint now);
    /// Notes a lost connection: @p upstream counts as cold until a later report names the incarnation known.
    void sawBroken(const std::string &upstream, base::TimePoint now);
    /// Whether @p upstream may have started anew.
    bool suspected(const std::string &upstream) const;
    /// Takes a notice of another node.
    void takeNotice(const Notice &notice, base::TimePoint now);

private:
    struct Entry
    {
        explicit Entry(base::TimePoint now)
            : ramp(now)
            , heardAt(now)
        { }

        fleet::ConcurrencyLimit limit;
        bool engine = true;
        bool open = true;
        bool leaving = false;
        bool gone = false;
        /// When a sign was seen that it may have started anew.
        std::optional<base::TimePoint> suspectedAt;
        std::uint32_t running = 0;
        /// Requests sent whose answers have not begun.
        std::uint32_t unanswered = 0;
        std::string incarnation;
        coord::Ramp ramp;
        FirstTokens firstTokens;
        /// When the incarnation was last known to be the same.
        base::TimePoint heardAt;
        std::uint32_t reportedRunning = 0;
        std::uint32_t ownAtReport = 0;
    };

    static bool isOpen(const fleet::Config &config, const fleet::Upstream &upstream);
    Entry *find(const std::string &upstream);
    const Entry *find(const std::string &upstream) const;
    std::uint32_t allowed(const Entry &entry, base::TimePoint now) const;
    bool suspect(const std::string &upstream, base::TimePoint now);
    void takeUpstreams(const fleet::Config &config, base::TimePoint now);

    std::string m_node;
    std::string m_incarnation;
    bool m_member = false;
    coord::SlotTracker m_slots;
    base::Duration m_freshFor;
    std::function<void(Notice)> m_notice;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace ibisfork::upstream
