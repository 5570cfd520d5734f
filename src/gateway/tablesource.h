#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/metrics.h>

#include "gateway/storeclient.h"
#include "gateway/tablequery.h"
#include "http/callclient.h"

namespace ibisfork::gateway {

/// A node that can be queried for table rows.
struct PeerNode
{
    std::string name;
    std::string region;
    std::string failureDomain;
    net::Address address;
    /// Where the node accepts forwarded requests; nodes of earlier versions don't.
    std::optional<net::Address> forwarding{};
    /// The node exchanges evidence with others; those of earlier versions only read rows.
    bool exchangesEvidence = false;
};

/// Selects where this node reads the store's tables: from the store itself or from another node.
///
/// In each failure domain the first nodes by rendezvous hashing are relays, which the other nodes query. Relays read
/// the store; in a region with many relays only two of them do (the readers), and the other relays query those two. A
/// node that gets no answer, or a stale one, queries the next source, then the store, then the relays of other domains.
/// Answers carry their age, so that data passed on by several nodes does not look fresher than it is.
class TableSource
{
public:
    /// Another node from which this one has read a table.
    struct Peer
    {
        std::string name;
        net::Address address;
        /// Version of the evidence of all nodes there; see evidence::EvidenceExchange.
        std::uint64_t evidenceVersion = 0;
    };

    /// @p seeds: nodes to query while no peers are known; the store is queried if none of them answers.
    TableSource(event_base *base,
                StoreClient &store,
                PeerNode self,
                const std::vector<net::Address> &seeds,
                base::MetricsRegistry &metrics);

    /// Sets the known nodes, without this one, and recomputes relays and readers.
    void setPeers(const std::vector<PeerNode> &peers);

    /// Called when lastPeer() has changed.
    void setOnPeerChanged(std::function<void()> changed) { m_onPeerChanged = std::move(changed); }

    /// Receives the result of a query. @p fromStore: the store itself was queried, not another node.
    using Done = std::function<void(const ReadResult &, bool fromStore)>;

    /// Reads the rows of @p table, from key @p from on if the store is queried. Answers of other nodes that are older
    /// than @p maxAge, and what large fleets need more, are rejected as StoreFailure::NoAnswer.
    void read(const std::string &table, const std::string &from, std::chrono::milliseconds maxAge, const Done &done);
    /// Reads the changes of @p table after @p version. The store holds the query for up to @p wait if there are none;
    /// other nodes hold it for a time of their own. @p maxAge: as for read().
    void feed(const std::string &table,
              RowVersion version,
              std::chrono::milliseconds wait,
              std::chrono::milliseconds maxAge,
              const Done &done);

    /// The store's latest era that any answer has named.
    std::uint32_t era() const;
    /// True if this node reads the store on behalf of other nodes.
    bool isReader() const { return m_isReader; }
    /// True if this node is to write what has been due at all nodes since @p dueSince: the readers go first, so that
    /// not all nodes write at the same time.
    bool isTurnToWrite(base::TimePoint dueSince, base::TimePoint now) const;
    /// The node that has answered the latest query; nullopt if the store has, or a seed whose name is not known.
    const std::optional<Peer> &lastPeer() const { return m_lastPeer; }
    /// For a reader: the nodes of all regions that read the store on behalf of others, but itself.
    const std::vector<PeerNode> &otherReaders() const { return m_otherReaders; }

private:
    static constexpr const char *storeName = "store";

    struct Source
    {
        /// Node name, seed address or storeName.
        std::string name;
        net::Address address;
    };

    using Domains = std::map<std::string, std::vector<PeerNode>>;

    /// Names of the nodes of @p region that read the store on behalf of the others.
    static std::vector<std::string> regionReaders(const Domains &domains, const std::string &region);
    std::vector<PeerNode> otherReaders(const Domains &domains) const;
    void setLastPeer(std::optional<Peer> peer);
    std::vector<std::string> sourceOrder(const Domains &domains) const;
    Source selectSource(base::TimePoint now) const;
    void queryPeer(const Source &peer, const TableQuery &query, std::chrono::milliseconds maxAge, const Done &done);
    void queryStore(const std::function<void(std::function<void(const ReadResult &)>)> &call, const Done &done);
    void recordFailure(const std::string &name,
                       const std::string &table,
                       std::chrono::milliseconds age,
                       base::Duration rest);

    StoreClient &m_store;
    PeerNode m_self;
    http::CallClient m_client;
    base::Counter &m_peerCalls;
    /// Sources in order of preference, including the store.
    std::vector<Source> m_sources;
    std::map<std::string, base::TimePoint> m_backoffUntil;
    /// Latest era that other nodes have named.
    std::uint32_t m_peersEra = 0;
    bool m_isReader = true;
    bool m_isRelay = true;
    /// Number of other nodes known.
    unsigned m_nodes = 0;
    std::optional<Peer> m_lastPeer;
    std::vector<PeerNode> m_otherReaders;
    std::function<void()> m_onPeerChanged;
};

} // namespace ibisfork::gateway
