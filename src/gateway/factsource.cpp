#include "gateway/factsource.h"

#include <algorithm>

#include <ibisfork/coord/rendezvous.h>

#include "gateway/eventlog.h"
#include "http/status.h"

namespace ibisfork::gateway {

namespace {

/// Domains of this size or more have two readers, so that one is left when the other goes.
constexpr std::size_t largeDomain = 6;
constexpr std::size_t readersOfLargeDomain = 2;
/// Longest that another node holds a question; it bounds how long a reader that has gone is not noticed.
constexpr std::chrono::milliseconds peerWait{500};
constexpr std::chrono::milliseconds peerAnswerTimeout{250};
/// A node, or the store, that did not answer is not asked again for this time.
constexpr std::chrono::milliseconds peerRest{2000};
constexpr std::chrono::milliseconds storeRest{1000};

std::vector<std::string> namesOf(const std::vector<FactPeer> &peers)
{
    std::vector<std::string> names;
    for (const auto &peer : peers) {
        names.push_back(peer.name);
    }
    return names;
}

/// The nodes of one failure domain that read the store, first the one that is asked first.
std::vector<std::string> readersOf(const std::string &domain, const std::vector<FactPeer> &members)
{
    const auto count = members.size() >= largeDomain ? readersOfLargeDomain : 1;
    return coord::rendezvousChoose("facts/" + domain, namesOf(members), count);
}

} // namespace

FactSource::FactSource(event_base *base,
                       StoreClient &store,
                       FactPeer self,
                       const std::vector<net::Address> &seeds,
                       base::MetricsRegistry &metrics)
    : m_store(store)
    , m_self(std::move(self))
    , m_client(base)
    , m_peerCalls(metrics.counter("ibisfork_fact_questions_total"))
{
    // A node that starts while others run learns from them, and spares the store.
    for (const auto &seed : seeds) {
        if (seed.text() != m_self.address.text()) {
            m_order.push_back({seed.text(), seed});
        }
    }
    m_order.push_back({storeName, {}});
}

void FactSource::setPeers(const std::vector<FactPeer> &peers)
{
    std::map<std::string, std::vector<FactPeer>> byDomain;
    byDomain[m_self.failureDomain].push_back(m_self);
    std::map<std::string, Choice> choices;
    for (const auto &peer : peers) {
        byDomain[peer.failureDomain].push_back(peer);
        choices[peer.name] = {peer.name, peer.address};
    }
    auto own = readersOf(m_self.failureDomain, byDomain[m_self.failureDomain]);
    const bool reader = std::find(own.begin(), own.end(), m_self.name) != own.end();
    if (coord::rendezvousWeight(m_self.name, "second") % readersOfLargeDomain != 0) {
        // Half of the nodes of a domain ask the second reader first.
        std::reverse(own.begin(), own.end());
    }
    std::vector<Choice> order;
    if (!reader) {
        for (const auto &name : own) {
            order.push_back(choices[name]);
        }
    }
    order.push_back({storeName, {}});
    for (const auto &[domain, members] : byDomain) {
        if (domain != m_self.failureDomain) {
            order.push_back(choices[readersOf(domain, members).front()]);
        }
    }
    if (reader != m_isReader) {
        EventLog::state("reads_store").field("reader", reader).field("nodes", peers.size() + 1);
    }
    m_isReader = reader;
    m_order = std::move(order);
}

FactSource::Choice FactSource::choose(base::TimePoint now) const
{
    const Choice *best = nullptr;
    base::TimePoint bestUntil{};
    for (const auto &choice : m_order) {
        const auto rest = m_restUntil.find(choice.name);
        const auto until = rest == m_restUntil.end() ? base::TimePoint{} : rest->second;
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

void FactSource::noteFailure(const std::string &name,
                             const std::string &table,
                             std::chrono::milliseconds age,
                             base::Duration rest)
{
    const auto now = base::monotonicNow();
    auto &until = m_restUntil[name];
    if (until < now) {
        EventLog::state("fact_source_lost").field("source", name).field("table", table).field("age_ms", age.count());
    }
    until = now + rest;
}

void FactSource::read(const std::string &table,
                      const std::string &from,
                      std::chrono::milliseconds longestAge,
                      const Done &done)
{
    const auto choice = choose(base::monotonicNow());
    if (choice.name != storeName) {
        askPeer(choice, {table, std::nullopt, {}}, longestAge, done);
        return;
    }
    askStore([&](auto answered) { m_store.read(table, from, std::move(answered)); }, done);
}

void FactSource::feed(const std::string &table,
                      std::uint64_t version,
                      std::chrono::milliseconds wait,
                      std::chrono::milliseconds longestAge,
                      const Done &done)
{
    const auto choice = choose(base::monotonicNow());
    if (choice.name != storeName) {
        askPeer(choice, {table, version, peerWait}, longestAge, done);
        return;
    }
    askStore([&](auto answered) { m_store.feed(table, version, wait, std::move(answered)); }, done);
}

void FactSource::askStore(const std::function<void(std::function<void(const ReadResult &)>)> &call, const Done &done)
{
    call([this, done](const ReadResult &result) {
        const auto *failure = std::get_if<StoreFailure>(&result);
        if (failure != nullptr && *failure != StoreFailure::HistoryGone) {
            noteFailure(storeName, "-", std::chrono::milliseconds(0), storeRest);
        }
        done(result, true);
    });
}

void FactSource::askPeer(const Choice &peer,
                         const FactQuestion &question,
                         std::chrono::milliseconds longestAge,
                         const Done &done)
{
    m_peerCalls.add();
    const auto head = encodeQuestion(question, peer.address.text());
    const auto timeout = question.wait + peerAnswerTimeout;
    const auto answered
        = [this, name = peer.name, table = question.table, longestAge, done](int status, const std::string &body) {
              const auto batch = status == http::status::ok ? decodeFacts(body) : std::nullopt;
              if (status == http::status::gone) {
                  done(StoreFailure::HistoryGone, false);
              } else if (!batch || batch->age > longestAge) {
                  noteFailure(name, table, batch ? batch->age : std::chrono::milliseconds(0), peerRest);
                  done(StoreFailure::NoAnswer, false);
              } else {
                  done(*batch, false);
              }
          };
    m_client.send(peer.address, http::serializeRequest(head, {}), timeout, answered);
}

} // namespace ibisfork::gateway
