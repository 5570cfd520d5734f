#include "gateway/loads/loadexchange.h"

#include <algorithm>
#include <vector>

#include "gateway/eventlog.h"
#include "http/status.h"

namespace ibisfork::gateway::loads {

namespace {

/// Time between two exchanges over a link. It grows with the nodes, which all ask the same few.
constexpr std::chrono::milliseconds intervalPerNode{5};
constexpr std::chrono::milliseconds shortestInterval{200};
constexpr std::chrono::milliseconds longestInterval{1500};
constexpr std::chrono::milliseconds answerTimeout{400};

} // namespace

LoadExchange::LoadExchange(event_base *base,
                           const std::string &node,
                           FleetView &view,
                           const TableSource &source,
                           base::MetricsRegistry &metrics)
    : m_node(node)
    , m_view(view)
    , m_source(source)
    , m_metrics(metrics)
    , m_client(base)
    , m_timer(base, [this] { update(); })
{ }

bool LoadExchange::isNeeded() const
{
    return m_view.engines().isPaceReported();
}

base::Duration LoadExchange::interval() const
{
    return std::clamp<base::Duration>(intervalPerNode * m_view.nodes(), shortestInterval, longestInterval);
}

void LoadExchange::recordOwn(const load::Report &report)
{
    m_board.put(report, base::monotonicNow());
}

void LoadExchange::updateLinks()
{
    std::map<std::string, net::Address> wanted;
    if (m_source.isReader()) {
        for (const auto &reader : m_source.otherReaders()) {
            wanted.emplace(reader.name, reader.address);
        }
    } else if (const auto &peer = m_source.lastPeer()) {
        wanted.emplace(peer->name, peer->address);
    }
    std::erase_if(m_links, [&](const auto &item) {
        const auto found = wanted.find(item.first);
        return found == wanted.end() || found->second.text() != item.second.address.text();
    });
    for (const auto &[name, address] : wanted) {
        m_links.try_emplace(name, Link{address});
    }
}

void LoadExchange::update()
{
    const auto now = base::monotonicNow();
    m_board.dropOld(now);
    if (!isNeeded()) {
        return;
    }
    updateLinks();
    for (auto &[name, link] : m_links) {
        if (!link.isBusy && now >= link.nextAt) {
            exchange(name, link);
        }
    }
    if (!m_links.empty()) {
        m_timer.startOnce(interval());
    }
}

void LoadExchange::exchange(const std::string &name, Link &link)
{
    const auto now = base::monotonicNow();
    const Sent sent{name, link.address, m_board.version(), now};
    http::RequestHead head{"POST", exchangePath, {}};
    head.headers.add("Host", link.address.text());
    const LoadMessage message{
        m_node, m_board.changesAfter(link.sentVersion, mostReports), sent.version, link.takenVersion};
    const auto body = encodeLoads(message, now);
    m_metrics.counter("ibisfork_load_bytes_sent_total").add(body.size());
    link.isBusy = true;
    link.nextAt = now + interval();
    m_client.send(link.address,
                  http::serializeRequest(head, body),
                  answerTimeout,
                  [this, sent](const http::CallAnswer &answer) { handleAnswer(sent, answer); });
}

void LoadExchange::handleAnswer(const Sent &sent, const http::CallAnswer &answer)
{
    const auto link = m_links.find(sent.name);
    if (link == m_links.end() || link->second.address.text() != sent.address.text()) {
        // Another node has taken its place meanwhile.
        return;
    }
    link->second.isBusy = false;
    const bool isAnswered = answer.head.status == http::status::ok;
    m_metrics.counter("ibisfork_load_exchanges_total", {{"outcome", isAnswered ? "answered" : "failed"}}).add();
    if (!isAnswered) {
        // A node of an earlier build knows no such exchange. What it was told is sent again, should it be another one.
        link->second.sentVersion = 0;
        link->second.takenVersion = 0;
        return;
    }
    try {
        const auto message = decodeLoads(answer.body, sent.at);
        link->second.sentVersion = sent.version;
        link->second.takenVersion = message.version;
        takeAll(message, sent.name);
    } catch (const LoadError &error) {
        refuse(sent.name, error.what());
    }
}

LoadExchange::Reply LoadExchange::handle(const std::string &body)
{
    const auto now = base::monotonicNow();
    try {
        const auto message = decodeLoads(body, now);
        if (!m_view.nodeNames().contains(message.node)) {
            refuse(message.node, "unknown node");
            return {http::status::unavailable, {}};
        }
        // A node that has restarted begins at lower versions.
        const auto known = message.knownVersion > m_board.version() ? 0 : message.knownVersion;
        auto changes = m_board.changesAfter(known, mostReports);
        takeAll(message, message.node);
        return {http::status::ok, encodeLoads({m_node, std::move(changes), m_board.version(), 0}, now)};
    } catch (const LoadError &error) {
        refuse("-", error.what());
        return {http::status::badRequest, {}};
    }
}

void LoadExchange::takeAll(const LoadMessage &message, const std::string &from)
{
    const auto now = base::monotonicNow();
    const auto before = m_board.version();
    for (const auto &report : message.reports) {
        if (m_board.put(report, now)) {
            m_view.engines().recordLoadOfPeer(report, now);
        }
    }
    const auto link = m_links.find(from);
    if (link != m_links.end() && link->second.sentVersion == before) {
        // The other node has what it has just sent.
        link->second.sentVersion = m_board.version();
    }
}

void LoadExchange::refuse(const std::string &from, const std::string &reason)
{
    m_metrics.counter("ibisfork_load_reports_refused_total").add();
    EventLog::failure("load_report_refused").field("from", from.empty() ? "-" : from).field("reason", reason);
}

} // namespace ibisfork::gateway::loads
