#pragma once

#include <functional>
#include <optional>

#include <ibisfork/base/metrics.h>

#include "gateway/evidence/evidencecodec.h"
#include "gateway/evidence/evidencetracker.h"
#include "gateway/fleetview.h"
#include "gateway/tablesource.h"
#include "http/callclient.h"
#include "net/timer.h"

namespace ibisfork::gateway::evidence {

/// Why evidence of other nodes is not taken over.
enum class Refusal {
    Unreadable, ///< It can't be decoded, or no node can have it.
    UnknownNode, ///< No node of that name is known.
};
inline constexpr std::array<base::Name<Refusal>, 2> refusalNames{{
    {Refusal::Unreadable, "unreadable"},
    {Refusal::UnknownNode, "unknown_node"},
}};

/// Exchanges evidence with other nodes, along the links by which they read the store's tables from each other.
///
/// Each node sends what it holds to the node that it takes its facts from, up to the readers of the store, which tell
/// each other everything. Sums come back the same way. A sum for a node leaves out the processes that this node holds,
/// so what it knows is always its own, what was sent to it, and the sum of all others. While a node has no such link it
/// goes by what it holds, and what it holds has to be stored as rows; see EvidenceRows.
class EvidenceExchange
{
public:
    struct Handlers
    {
        /// held(), others() and version() have changed.
        std::function<void()> onChanged;
        /// As above, and nodes that wait for an answer are to be told at once.
        std::function<void()> onUrgentChange;
    };

    struct Reply
    {
        int status = 0;
        std::string body;
    };

    /// @p node: name of this node. All arguments must outlive this object.
    EvidenceExchange(event_base *base,
                     const std::string &node,
                     const FleetView &view,
                     const TableSource &source,
                     base::MetricsRegistry &metrics,
                     Handlers handlers);

    /// Sets what this node has to tell of the rollout of @p service. Returns false if it is too early to tell more,
    /// unless that speaks against the new version.
    bool setOwn(const std::string &service, const RolloutEvidence &evidence);
    /// Sets what this node has to tell of crashes; other nodes are told at once.
    void setOwn(const CrashEvidence &crashes);
    /// Takes over what another node has stored as a row.
    void putPart(const NodeEvidence &part);
    /// Exchanges evidence where that is due. To be called a few times a second and when the source has changed.
    void update();
    /// Answers the exchange of another node.
    Reply handle(const std::string &body);

    /// Evidence of all other processes, as far as this node knows.
    FleetEvidence others() const { return sumWithout({m_incarnation}); }
    /// Changes when sums for other nodes may have changed; 0 while nobody has told anything.
    std::uint64_t version() const { return m_version; }
    const EvidenceTracker::Entries &held() const { return m_tracker.entries(); }
    /// True if what this node holds may not reach all other nodes by links.
    bool isUndelivered() const;
    /// Node that sums come from; empty for readers of the store and for a node without such a link.
    std::string upstream() const { return m_upstream ? m_upstream->name : std::string(); }

private:
    /// A node with which this one exchanges evidence.
    struct Link
    {
        std::string name;
        net::Address address;
        /// Version of the tracker that the other node has.
        std::uint64_t sentVersion = 0;
        /// The other node's version at the last exchange, and as answers to other queries have told since.
        std::uint64_t takenVersion = 0;
        std::uint64_t seenVersion = 0;
        std::set<Incarnation> wanted{};
        bool hasAnswered = false;
        bool isBusy = false;
        /// It has to be told at once.
        bool isUrgent = false;
        base::TimePoint nextAt{};
        base::TimePoint nextUrgentAt{};
        std::optional<base::TimePoint> failedSince{};

        bool hasFailedFor(base::Duration time, base::TimePoint now) const
        {
            return failedSince && now - *failedSince >= time;
        }
    };

    /// What was true of this node when it began an exchange.
    struct Sent
    {
        std::string name;
        net::Address address;
        std::uint64_t version = 0;
        std::set<Incarnation> held;
    };

    void updateLinks();
    void updateUpstream();
    void updateReaders();
    /// When the next exchange over @p link is due, if one is.
    std::optional<base::TimePoint> dueAt(const Link &link) const;
    void exchange(Link &link);
    ExchangeRequest requestOver(const Link &link) const;
    Link *find(const Sent &sent);
    void handleAnswer(const Sent &sent, const http::CallAnswer &answer);
    void recordFailure(Link &link, const char *reason);
    void takeSum(const Sent &sent, const ExchangeAnswer &answer);
    void takeEntries(Link &link, const Sent &sent, const ExchangeAnswer &answer);
    /// Takes over @p entries of the node @p from; those of unknown nodes are refused.
    void putAll(const std::vector<NodeEvidence> &entries, const std::string &from);
    void dropSum();
    bool isLinked() const { return m_sum.has_value(); }
    ExchangeAnswer answerTo(const ExchangeRequest &request) const;
    /// Sum for a node that holds @p held; nullopt while this node can't tell.
    std::optional<FleetEvidence> sumFor(const std::set<Incarnation> &held) const;
    /// What is known of all processes but those in @p excluded.
    FleetEvidence sumWithout(const std::set<Incarnation> &excluded) const;
    void refuse(Refusal refusal, const std::string &from, const std::string &reason);
    void tellOwn(bool isUrgent);
    void recordChange(bool isUrgent);
    void changeVersion();

    std::string m_node;
    const FleetView &m_view;
    const TableSource &m_source;
    base::MetricsRegistry &m_metrics;
    Handlers m_handlers;
    http::CallClient m_client;
    Incarnation m_incarnation;
    EvidenceTracker m_tracker;
    NodeEvidence m_own;
    /// Set for nodes that don't read the store on behalf of others.
    std::optional<Link> m_upstream;
    /// The other readers, by name; empty for other nodes.
    std::map<std::string, Link> m_readers;
    /// Sum of the upstream node, over all processes but those of m_covered.
    std::optional<FleetEvidence> m_sum;
    std::uint64_t m_sumCrashes = 0;
    std::set<Incarnation> m_covered;
    std::optional<base::TimePoint> m_withoutLinkSince;
    std::uint64_t m_version = 0;
    base::TimePoint m_versionChangedAt{};
    bool m_tellsAtOnce = false;
    base::TimePoint m_ownToldAt{};
    /// When the version is to change, if it is.
    std::optional<base::TimePoint> m_versionDueAt;
    net::Timer m_exchangeTimer;
    net::Timer m_versionTimer;
};

} // namespace ibisfork::gateway::evidence
