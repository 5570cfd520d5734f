#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/metrics.h>

#include "gateway/factmessage.h"
#include "gateway/storeclient.h"
#include "http/callclient.h"

namespace ibisfork::gateway {

/// A node that can be asked for facts.
struct FactPeer
{
    std::string name;
    std::string region;
    std::string failureDomain;
    net::Address address;
};

/// Decides where this node reads the tables of the store: from the store itself, or from a node that does.
///
/// In each failure domain the first nodes by rendezvous hashing are its relays, whom the others ask. The relays read
/// the store; in a region with many of them two do, and the other relays ask these. Who gets no fresh answer asks the
/// next, at last the store, and where the store turns it away the relays of other domains. Answers carry their age, so
/// that no chain of nodes makes an old fact young.
class FactSource
{
public:
    /// @p seeds: nodes to ask while no others are known; the store is asked if none of them answers.
    FactSource(event_base *base,
               StoreClient &store,
               FactPeer self,
               const std::vector<net::Address> &seeds,
               base::MetricsRegistry &metrics);

    /// The nodes that are known, without this one.
    void setPeers(const std::vector<FactPeer> &peers);

    /// How a question ended. @p fromStore: the store itself was asked.
    using Done = std::function<void(const ReadResult &, bool fromStore)>;

    /// @p longestAge: answers of other nodes that are older count as none.
    void read(const std::string &table,
              const std::string &from,
              std::chrono::milliseconds longestAge,
              const Done &done);
    void feed(const std::string &table,
              std::uint64_t version,
              std::chrono::milliseconds wait,
              std::chrono::milliseconds longestAge,
              const Done &done);

    /// True if this node is one of those that read the store for others.
    bool isReader() const { return m_isReader; }

private:
    static constexpr const char *storeName = "store";

    struct Choice
    {
        /// Empty: the store.
        std::string name;
        net::Address address;
    };

    using Domains = std::map<std::string, std::vector<FactPeer>>;

    /// Names of the nodes of this region that read the store for all.
    std::vector<std::string> regionReaders(const Domains &domains) const;
    std::vector<std::string> orderOf(const Domains &domains) const;
    Choice choose(base::TimePoint now) const;
    void askPeer(const Choice &peer,
                 const FactQuestion &question,
                 std::chrono::milliseconds longestAge,
                 const Done &done);
    void askStore(const std::function<void(std::function<void(const ReadResult &)>)> &call, const Done &done);
    void noteFailure(const std::string &name,
                     const std::string &table,
                     std::chrono::milliseconds age,
                     base::Duration rest);

    StoreClient &m_store;
    FactPeer m_self;
    http::CallClient m_client;
    base::Counter &m_peerCalls;
    /// In the order in which they are asked; the store stands among them.
    std::vector<Choice> m_order;
    std::map<std::string, base::TimePoint> m_restUntil;
    bool m_isReader = true;
    bool m_isRelay = true;
};

} // namespace ibisfork::gateway
