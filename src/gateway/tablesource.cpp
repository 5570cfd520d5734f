#include "gateway/tablesource.h"

#include <algorithm>

#include <ibisfork/coord/rendezvous.h>

#include "gateway/eventlog.h"
#include "http/status.h"

namespace ibisfork::gateway {

namespace {

/// Failure domains of at least this many nodes have two relays, so that one remains when the other fails.
constexpr std::size_t largeDomainSize = 6;
constexpr std::size_t relaysOfLargeDomain = 2;
/// With up to this many relays in a region all of them read the store. With more, only readersOfLargeRegion do, so that
/// the load on the store does not grow with the number of domains.
constexpr std::size_t maxReadingRelays = 3;
constexpr std::size_t readersOfLargeRegion = 2;
/// Longest time that another node holds a query. It bounds the time to detect a node that has failed silently.
constexpr std::chrono::milliseconds peerWait{500};
/// As peerWait, for a relay that queries a reader: shorter, since nodes that query the relay see the sum of both
/// delays.
constexpr std::chrono::milliseconds relayWait{250};
/// As peerWait, for a full read from a node that may just have started too. Short, since an unreachable seed delays the
/// start of this node by startWait + peerAnswerTimeout.
constexpr std::chrono::milliseconds startWait{100};
/// Time for an answer beyond the time that the other node holds the query.
constexpr std::chrono::milliseconds peerAnswerTimeout{250};
/// Time that nodes which don't read the store leave to those that do, to write what is due.
constexpr std::chrono::milliseconds otherNodesDelay{1500};
/// Large fleets have large tables, which small machines take longer to pass on: so much more time and age is allowed
/// for each node that is known, up to a bound.
constexpr std::chrono::milliseconds slackPerNode{2};
constexpr std::chrono::milliseconds longestSlack{400};
/// A node, or the store, that failed to answer is not queried again for this time unless every source has failed.
constexpr std::chrono::milliseconds peerBackoff{2000};
constexpr std::chrono::milliseconds storeBackoff{1000};

std::vector<std::string> namesOf(const std::vector<PeerNode> &peers)
{
    std::vector<std::string> names;
    for (const auto &peer : peers) {
        names.push_back(peer.name);
    }
    return names;
}

/// Relays of one failure domain, in order of rendezvous weight.
std::vector<std::string> relaysOf(const std::string &domain, const std::vector<PeerNode> &members)
{
    const auto count = members.size() >= largeDomainSize ? relaysOfLargeDomain : 1;
    return coord::rendezvousChoose("facts/" + domain, namesOf(members), count);
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void appendNew(std::vector<std::string> &names, const std::vector<std::string> &more)
{
    for (const auto &name : more) {
        if (!contains(names, name)) {
            names.push_back(name);
        }
    }
}

/// Reverses the order for about half of the nodes, to spread the load over both relays or readers.
std::vector<std::string> spread(std::vector<std::string> names, const std::string &queryingNode)
{
    if (coord::rendezvousWeight(queryingNode, "second") % 2 != 0) {
        std::reverse(names.begin(), names.end());
    }
    return names;
}

} // namespace

TableSource::TableSource(event_base *base,
                         StoreClient &store,
                         PeerNode self,
                         const std::vector<net::Address> &seeds,
                         base::MetricsRegistry &metrics)
    : m_store(store)
    , m_self(std::move(self))
    , m_client(base)
    , m_peerCalls(metrics.counter("ibisfork_fact_questions_total"))
{
    // Nodes query the seeds first, to keep load off the store; a seed itself queries the store first, since otherwise
    // the seeds would wait for each other.
    bool isSeed = false;
    for (const auto &seed : seeds) {
        if (seed.text() == m_self.address.text()) {
            isSeed = true;
        } else {
            m_sources.push_back({seed.text(), seed});
        }
    }
    if (!m_sources.empty()) {
        // Different nodes start with different seeds, so that one failed seed does not delay all of them.
        const auto first = coord::rendezvousWeight(m_self.name, "seed") % m_sources.size();
        std::rotate(m_sources.begin(), m_sources.begin() + static_cast<std::ptrdiff_t>(first), m_sources.end());
    }
    m_sources.insert(isSeed ? m_sources.begin() : m_sources.end(), {storeName, {}});
}

std::vector<std::string> TableSource::regionReaders(const Domains &domains, const std::string &region)
{
    std::vector<std::string> relays;
    std::map<std::string, std::string> firstRelays;
    std::vector<std::string> names;
    for (const auto &[domain, members] : domains) {
        if (members.front().region == region) {
            const auto own = relaysOf(domain, members);
            appendNew(relays, own);
            firstRelays[domain] = own.front();
            names.push_back(domain);
        }
    }
    if (relays.size() <= maxReadingRelays) {
        return relays;
    }
    // Readers are in different domains, so that the loss of a domain leaves one of them.
    std::vector<std::string> readers;
    for (const auto &domain : coord::rendezvousChoose("facts/" + region, names, readersOfLargeRegion)) {
        readers.push_back(firstRelays[domain]);
    }
    return readers;
}

std::vector<std::string> TableSource::sourceOrder(const Domains &domains) const
{
    std::vector<std::string> order;
    if (!m_isRelay) {
        order = spread(relaysOf(m_self.failureDomain, domains.at(m_self.failureDomain)), m_self.name);
    } else if (!m_isReader) {
        order = spread(regionReaders(domains, m_self.region), m_self.name);
    }
    order.emplace_back(storeName);
    for (const auto &[domain, members] : domains) {
        if (domain != m_self.failureDomain) {
            appendNew(order, {relaysOf(domain, members).front()});
        }
    }
    return order;
}

std::vector<PeerNode> TableSource::otherReaders(const Domains &domains) const
{
    std::set<std::string> regions;
    for (const auto &[domain, members] : domains) {
        regions.insert(members.front().region);
    }
    std::vector<std::string> names;
    for (const auto &region : regions) {
        appendNew(names, regionReaders(domains, region));
    }
    std::vector<PeerNode> readers;
    for (const auto &[domain, members] : domains) {
        std::copy_if(members.begin(), members.end(), std::back_inserter(readers), [&](const PeerNode &node) {
            return node.name != m_self.name && contains(names, node.name);
        });
    }
    return readers;
}

void TableSource::setLastPeer(std::optional<Peer> peer)
{
    const auto isSame = [&] {
        return m_lastPeer->name == peer->name && m_lastPeer->evidenceVersion == peer->evidenceVersion;
    };
    const bool hasChanged = peer.has_value() != m_lastPeer.has_value() || (peer && !isSame());
    m_lastPeer = std::move(peer);
    if (hasChanged && m_onPeerChanged) {
        m_onPeerChanged();
    }
}

void TableSource::setPeers(const std::vector<PeerNode> &peers)
{
    Domains domains;
    domains[m_self.failureDomain].push_back(m_self);
    std::map<std::string, net::Address> addresses;
    for (const auto &peer : peers) {
        domains[peer.failureDomain].push_back(peer);
        addresses[peer.name] = peer.address;
    }
    m_isRelay = contains(relaysOf(m_self.failureDomain, domains[m_self.failureDomain]), m_self.name);
    const bool reader = m_isRelay && contains(regionReaders(domains, m_self.region), m_self.name);
    if (reader != m_isReader) {
        EventLog::state("reads_store").field("reader", reader).field("nodes", peers.size() + 1);
    }
    m_isReader = reader;
    m_nodes = static_cast<unsigned>(peers.size());
    m_otherReaders = reader ? otherReaders(domains) : std::vector<PeerNode>();
    m_sources.clear();
    for (const auto &name : sourceOrder(domains)) {
        m_sources.push_back({name, addresses[name]});
    }
}

bool TableSource::isTurnToWrite(base::TimePoint dueSince, base::TimePoint now) const
{
    return m_isReader || now - dueSince >= otherNodesDelay;
}

std::uint32_t TableSource::era() const
{
    return std::max(m_peersEra, m_store.era());
}

TableSource::Source TableSource::selectSource(base::TimePoint now) const
{
    const Source *best = nullptr;
    base::TimePoint bestUntil{};
    for (const auto &choice : m_sources) {
        const auto rest = m_backoffUntil.find(choice.name);
        const auto until = rest == m_backoffUntil.end() ? base::TimePoint{} : rest->second;
        if (until <= now) {
            return choice;
        }
        if (best == nullptr || until < bestUntil) {
            best = &choice;
            bestUntil = until;
        }
    }
    return *best;
}

void TableSource::recordFailure(const std::string &name,
                                const std::string &table,
                                std::chrono::milliseconds age,
                                base::Duration rest)
{
    const auto now = base::monotonicNow();
    auto &until = m_backoffUntil[name];
    if (until < now) {
        EventLog::state("fact_source_lost").field("source", name).field("table", table).field("age_ms", age.count());
    }
    until = now + rest;
}

void TableSource::read(const std::string &table,
                       const std::string &from,
                       std::chrono::milliseconds maxAge,
                       const Done &done)
{
    const auto choice = selectSource(base::monotonicNow());
    if (choice.name != storeName) {
        queryPeer(choice, {table, std::nullopt, startWait}, maxAge, done);
        return;
    }
    queryStore([&](auto answered) { m_store.read(table, from, std::move(answered)); }, done);
}

void TableSource::feed(const std::string &table,
                       RowVersion version,
                       std::chrono::milliseconds wait,
                       std::chrono::milliseconds maxAge,
                       const Done &done)
{
    const auto choice = selectSource(base::monotonicNow());
    if (choice.name != storeName) {
        queryPeer(choice, {table, version, m_isRelay ? relayWait : peerWait}, maxAge, done);
        return;
    }
    queryStore([&](auto answered) { m_store.feed(table, version, wait, std::move(answered)); }, done);
}

void TableSource::queryStore(const std::function<void(std::function<void(const ReadResult &)>)> &call, const Done &done)
{
    call([this, done](const ReadResult &result) {
        const auto *failure = std::get_if<StoreFailure>(&result);
        if (failure != nullptr && *failure != StoreFailure::HistoryGone) {
            recordFailure(storeName, "-", std::chrono::milliseconds(0), storeBackoff);
        } else {
            setLastPeer(std::nullopt);
        }
        done(result, true);
    });
}

void TableSource::queryPeer(const Source &peer,
                            const TableQuery &query,
                            std::chrono::milliseconds maxAge,
                            const Done &done)
{
    m_peerCalls.add();
    auto known = query;
    if (m_lastPeer && m_lastPeer->name == peer.name && m_lastPeer->evidenceVersion != 0) {
        known.evidenceVersion = m_lastPeer->evidenceVersion;
    }
    const auto head = encodeQuery(known, peer.address.text());
    const auto slack = std::min(slackPerNode * m_nodes, longestSlack);
    const auto timeout = query.wait + peerAnswerTimeout + slack;
    const auto oldest = maxAge + slack;
    const auto answered
        = [this, peer, name = peer.name, table = query.table, oldest, done](const http::CallAnswer &answer) {
              const auto status = answer.head.status;
              const auto batch = status == http::status::ok ? decodeRowBatch(answer.body) : std::nullopt;
              if (status == http::status::gone) {
                  done(StoreFailure::HistoryGone, false);
              } else if (!batch || batch->age > oldest || batch->version.era() < era()) {
                  recordFailure(name, table, batch ? batch->age : std::chrono::milliseconds(0), peerBackoff);
                  done(StoreFailure::NoAnswer, false);
              } else {
                  m_peersEra = std::max(m_peersEra, batch->version.era());
                  setLastPeer(Peer{name, peer.address, batch->evidenceVersion});
                  done(*batch, false);
              }
          };
    m_client.send(peer.address, http::serializeRequest(head, {}), timeout, answered);
}

} // namespace ibisfork::gateway
