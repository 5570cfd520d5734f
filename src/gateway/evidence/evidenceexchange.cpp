#include "gateway/evidence/evidenceexchange.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gateway/eventlog.h"
#include "http/status.h"

namespace ibisfork::gateway::evidence {

namespace {

/// Bounds of an interval that grows with the nodes, since all of them may have something to tell.
struct Interval
{
    std::chrono::milliseconds perNode;
    std::chrono::milliseconds shortest;
    std::chrono::milliseconds longest;

    base::Duration of(unsigned nodes) const { return std::clamp<base::Duration>(perNode * nodes, shortest, longest); }
};

using Milliseconds = std::chrono::milliseconds;
/// Time between two times that a node tells how its own runs went.
constexpr Interval ownInterval{Milliseconds(5), Milliseconds(200), Milliseconds(1500)};
/// Time between two times that it passes on what it was told.
constexpr Interval passInterval{Milliseconds(3), Milliseconds(100), Milliseconds(900)};
/// The same for what speaks against a version or a request.
constexpr Interval urgentInterval{Milliseconds(4), Milliseconds(50), Milliseconds(1200)};
/// In larger fleets nodes learn of changes by their next queries only: all members of a relay at one moment would keep
/// it from answering in time.
constexpr unsigned mostNodesToldAtOnce = 40;
/// Time in which several changes become one.
constexpr std::chrono::milliseconds gatherTime{10};
constexpr std::chrono::milliseconds answerTimeout{500};
constexpr std::chrono::milliseconds retryDelay{250};
/// As retryDelay, for a reader that has never answered.
constexpr std::chrono::milliseconds retryDelayOfUnknown{2000};
/// A link that has failed for this long is lost.
constexpr std::chrono::milliseconds lossTime{1000};

std::set<Incarnation> keysOf(const EvidenceTracker::Entries &entries)
{
    std::set<Incarnation> keys;
    for (const auto &item : entries) {
        keys.insert(item.first);
    }
    return keys;
}

bool containsAll(const std::set<Incarnation> &all, const std::set<Incarnation> &some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

Incarnation drawIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<Incarnation> draw(1);
    return draw(device);
}

} // namespace

EvidenceExchange::EvidenceExchange(event_base *base,
                                   const std::string &node,
                                   const FleetView &view,
                                   const TableSource &source,
                                   base::MetricsRegistry &metrics,
                                   Handlers handlers)
    : m_node(node)
    , m_view(view)
    , m_source(source)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_client(base)
    , m_incarnation(drawIncarnation())
    , m_exchangeTimer(base, [this] { update(); })
    , m_versionTimer(base, [this] { changeVersion(); })
{
    m_own.node = m_node;
    m_own.incarnation = m_incarnation;
    m_own.serial = firstSerial - 1;
}

bool EvidenceExchange::setOwn(const std::string &service, const RolloutEvidence &evidence)
{
    auto &known = m_own.rollouts[service];
    if (known == evidence) {
        return true;
    }
    const bool isUrgent = evidence.allNew().bad() > known.allNew().bad();
    const auto now = base::monotonicNow();
    if (!isUrgent && now - m_ownToldAt < ownInterval.of(m_view.nodes())) {
        return false;
    }
    m_ownToldAt = now;
    known = evidence;
    tellOwn(isUrgent);
    return true;
}

void EvidenceExchange::setOwn(const CrashEvidence &crashes)
{
    if (m_own.crashes != crashes) {
        m_own.crashes = crashes;
        tellOwn(true);
    }
}

void EvidenceExchange::tellOwn(bool isUrgent)
{
    ++m_own.serial;
    m_tracker.put(m_own, base::monotonicNow());
    recordChange(isUrgent);
    update();
}

void EvidenceExchange::putPart(const NodeEvidence &part)
{
    if (part.incarnation != m_incarnation && m_tracker.putPart(part, base::monotonicNow())) {
        recordChange(false);
    }
}

void EvidenceExchange::recordChange(bool isUrgent)
{
    if (m_upstream) {
        m_upstream->isUrgent = m_upstream->isUrgent || isUrgent;
    }
    for (auto &item : m_readers) {
        item.second.isUrgent = item.second.isUrgent || isUrgent;
    }
    const auto now = base::monotonicNow();
    const auto least = (isUrgent ? urgentInterval : passInterval).of(m_view.nodes());
    m_tellsAtOnce = m_tellsAtOnce || isUrgent;
    const auto at = std::max<base::TimePoint>(m_versionChangedAt + least, now + gatherTime);
    if (!m_versionDueAt || at < *m_versionDueAt) {
        m_versionDueAt = at;
        m_versionTimer.startOnce(at - now);
    }
}

void EvidenceExchange::changeVersion()
{
    m_versionDueAt.reset();
    m_versionChangedAt = base::monotonicNow();
    // Begins at a number of this process, so that nodes that knew an earlier one see a change.
    m_version = m_version == 0 ? m_incarnation : m_version + 1;
    m_handlers.onChanged();
    if (std::exchange(m_tellsAtOnce, false) && m_view.nodes() <= mostNodesToldAtOnce) {
        m_handlers.onUrgentChange();
    }
}

void EvidenceExchange::update()
{
    const auto now = base::monotonicNow();
    m_tracker.dropOld(now);
    updateLinks();
    std::optional<base::TimePoint> next;
    const auto serve = [&](Link &link) {
        const auto due = dueAt(link);
        if (due && *due <= now) {
            exchange(link);
        } else if (due) {
            next = std::min(*due, next.value_or(*due));
        }
    };
    if (m_upstream) {
        serve(*m_upstream);
    }
    for (auto &item : m_readers) {
        serve(item.second);
    }
    if (next) {
        m_exchangeTimer.startOnce(*next - now);
    }
}

void EvidenceExchange::updateLinks()
{
    const auto now = base::monotonicNow();
    if (m_source.isReader()) {
        m_upstream.reset();
        updateReaders();
    } else {
        m_readers.clear();
        updateUpstream();
    }
    const bool hasLink = m_source.isReader() || (m_upstream && !m_upstream->failedSince);
    if (hasLink) {
        m_withoutLinkSince.reset();
    } else if (!m_withoutLinkSince) {
        m_withoutLinkSince = now;
    }
    const bool isLost = m_withoutLinkSince && now - *m_withoutLinkSince >= lossTime;
    if (m_sum && (isLost || m_source.isReader())) {
        dropSum();
    }
}

void EvidenceExchange::updateUpstream()
{
    const auto &peer = m_source.lastPeer();
    if (!peer) {
        m_upstream.reset();
        return;
    }
    if (!m_upstream || m_upstream->name != peer->name || m_upstream->address.text() != peer->address.text()) {
        m_upstream = Link{peer->name, peer->address};
    }
    m_upstream->seenVersion = peer->evidenceVersion;
}

void EvidenceExchange::updateReaders()
{
    const auto &readers = m_source.otherReaders();
    std::erase_if(m_readers, [&](const auto &item) {
        return std::none_of(readers.begin(), readers.end(), [&](const PeerNode &reader) {
            return reader.name == item.first && reader.address.text() == item.second.address.text();
        });
    });
    for (const auto &reader : readers) {
        m_readers.try_emplace(reader.name, Link{reader.name, reader.address});
    }
}

void EvidenceExchange::dropSum()
{
    EventLog::state("evidence_sum_dropped").field("held", m_tracker.entries().size());
    m_sum.reset();
    m_sumCrashes = 0;
    m_covered.clear();
    recordChange(false);
}

std::optional<base::TimePoint> EvidenceExchange::dueAt(const Link &link) const
{
    if (link.isBusy) {
        return std::nullopt;
    }
    const bool hasNews = link.sentVersion != m_tracker.version() || !link.wanted.empty();
    const bool isNewReader = !link.hasAnswered && m_source.isReader();
    if (link.takenVersion != link.seenVersion || isNewReader || (hasNews && link.isUrgent)) {
        return link.nextUrgentAt;
    }
    return hasNews ? std::optional(link.nextAt) : std::nullopt;
}

ExchangeRequest EvidenceExchange::requestOver(const Link &link) const
{
    ExchangeRequest request;
    request.node = m_node;
    request.wantsEntries = m_source.isReader();
    for (const auto &[incarnation, entry] : m_tracker.entries()) {
        request.held.push_back({incarnation, entry.evidence.serial});
        if (entry.changed > link.sentVersion || link.wanted.contains(incarnation)) {
            request.entries.push_back(entry.evidence);
        }
    }
    request.knownCrashes = m_sumCrashes;
    return request;
}

void EvidenceExchange::exchange(Link &link)
{
    const auto now = base::monotonicNow();
    const Sent sent{link.name, link.address, m_tracker.version(), keysOf(m_tracker.entries())};
    http::RequestHead head{"POST", exchangePath, {}};
    head.headers.add("Host", link.address.text());
    const auto body = encodeExchangeRequest(requestOver(link));
    m_metrics.counter("ibisfork_evidence_bytes_sent_total").add(body.size());
    link.isBusy = true;
    link.nextAt = now + passInterval.of(m_view.nodes());
    link.nextUrgentAt = now + urgentInterval.of(m_view.nodes());
    link.isUrgent = false;
    m_client.send(link.address,
                  http::serializeRequest(head, body),
                  answerTimeout,
                  [this, sent](const http::CallAnswer &answer) { handleAnswer(sent, answer); });
}

EvidenceExchange::Link *EvidenceExchange::find(const Sent &sent)
{
    const auto reader = m_readers.find(sent.name);
    Link *link = reader == m_readers.end() ? nullptr : &reader->second;
    if (m_upstream && m_upstream->name == sent.name) {
        link = &*m_upstream;
    }
    return link != nullptr && link->address.text() == sent.address.text() ? link : nullptr;
}

void EvidenceExchange::handleAnswer(const Sent &sent, const http::CallAnswer &answer)
{
    auto *link = find(sent);
    if (link == nullptr) {
        // Another node has taken its place meanwhile.
        return;
    }
    link->isBusy = false;
    if (answer.head.status != http::status::ok) {
        recordFailure(*link, answer.head.status == http::CallClient::noAnswer ? "no_answer" : "refused");
        return;
    }
    try {
        const auto taken = decodeExchangeAnswer(answer.body);
        m_metrics.counter("ibisfork_evidence_exchanges_total", {{"outcome", "answered"}}).add();
        link->hasAnswered = true;
        link->failedSince.reset();
        link->takenVersion = taken.version;
        link->seenVersion = taken.version;
        link->sentVersion = sent.version;
        link->wanted = taken.wanted;
        if (m_upstream && link == &*m_upstream) {
            takeSum(sent, taken);
        } else {
            takeEntries(*link, sent, taken);
        }
    } catch (const EvidenceError &error) {
        refuse(Refusal::Unreadable, sent.name, error.what());
        recordFailure(*link, "unreadable");
        return;
    }
    update();
}

void EvidenceExchange::recordFailure(Link &link, const char *reason)
{
    const auto now = base::monotonicNow();
    m_metrics.counter("ibisfork_evidence_exchanges_total", {{"outcome", "failed"}}).add();
    if (!link.failedSince) {
        link.failedSince = now;
        EventLog::state("evidence_link_failed").field("node", link.name).field("reason", reason);
    }
    link.nextAt = now + (link.hasAnswered || !m_source.isReader() ? retryDelay : retryDelayOfUnknown);
    link.nextUrgentAt = link.nextAt;
    update();
}

void EvidenceExchange::takeSum(const Sent &sent, const ExchangeAnswer &answer)
{
    for (const auto incarnation : answer.outdated) {
        if (incarnation != m_incarnation) {
            m_tracker.forget(incarnation);
        }
    }
    if (!answer.sum) {
        return;
    }
    auto sum = *answer.sum;
    if (!answer.hasCrashes && m_sum) {
        sum.crashes = m_sum->crashes;
    }
    auto covered = sent.held;
    for (const auto incarnation : answer.outdated) {
        covered.erase(incarnation);
    }
    if (m_sum && *m_sum == sum && m_covered == covered) {
        return;
    }
    const bool isUrgent = m_sumCrashes != answer.crashesHash;
    m_sum = std::move(sum);
    m_sumCrashes = answer.crashesHash;
    m_covered = std::move(covered);
    recordChange(isUrgent);
}

void EvidenceExchange::takeEntries(Link &link, const Sent &sent, const ExchangeAnswer &answer)
{
    const bool isUnchanged = m_tracker.version() == sent.version;
    putAll(answer.entries, link.name);
    if (isUnchanged) {
        // The other reader has what it has just sent.
        link.sentVersion = m_tracker.version();
    }
}

void EvidenceExchange::putAll(const std::vector<NodeEvidence> &entries, const std::string &from)
{
    const auto now = base::monotonicNow();
    bool hasChanged = false;
    bool isUrgent = false;
    for (const auto &entry : entries) {
        if (!m_view.nodeNames().contains(entry.node)) {
            refuse(Refusal::UnknownNode, from, entry.node);
            continue;
        }
        const auto known = m_tracker.entries().find(entry.incarnation);
        const bool hasCrashes = known == m_tracker.entries().end() ? !entry.crashes.empty()
                                                                   : known->second.evidence.crashes != entry.crashes;
        if (entry.incarnation != m_incarnation && m_tracker.put(entry, now)) {
            hasChanged = true;
            isUrgent = isUrgent || hasCrashes;
        }
    }
    if (hasChanged) {
        recordChange(isUrgent);
    }
}

EvidenceExchange::Reply EvidenceExchange::handle(const std::string &body)
{
    ExchangeRequest request;
    try {
        request = decodeExchangeRequest(body);
    } catch (const EvidenceError &error) {
        refuse(Refusal::Unreadable, request.node, error.what());
        return {http::status::badRequest, {}};
    }
    if (!m_view.nodesKnown()) {
        return {http::status::unavailable, {}};
    }
    if (!m_view.nodeNames().contains(request.node)) {
        refuse(Refusal::UnknownNode, request.node, request.node);
        return {http::status::unavailable, {}};
    }
    putAll(request.entries, request.node);
    const auto answer = answerTo(request);
    const auto reader = m_readers.find(request.node);
    if (request.wantsEntries && reader != m_readers.end() && answer.wanted.empty()) {
        reader->second.sentVersion = m_tracker.version();
    }
    update();
    return {http::status::ok, encodeExchangeAnswer(answer)};
}

ExchangeAnswer EvidenceExchange::answerTo(const ExchangeRequest &request) const
{
    ExchangeAnswer answer;
    answer.version = m_version;
    std::set<Incarnation> held;
    std::map<Incarnation, std::uint64_t> serials;
    for (const auto &item : request.held) {
        const auto known = m_tracker.serialOf(item.incarnation);
        serials[item.incarnation] = item.serial;
        if (known > item.serial) {
            answer.outdated.insert(item.incarnation);
        } else {
            held.insert(item.incarnation);
        }
        if (known < item.serial) {
            answer.wanted.insert(item.incarnation);
        }
    }
    if (request.wantsEntries) {
        for (const auto &[incarnation, entry] : m_tracker.entries()) {
            const auto known = serials.find(incarnation);
            if (known == serials.end() || known->second < entry.evidence.serial) {
                answer.entries.push_back(entry.evidence);
            }
        }
        return answer;
    }
    answer.sum = sumFor(held);
    if (answer.sum) {
        answer.crashesHash = hashOf(answer.sum->crashes);
        answer.hasCrashes = answer.crashesHash != request.knownCrashes;
    }
    return answer;
}

std::optional<FleetEvidence> EvidenceExchange::sumFor(const std::set<Incarnation> &held) const
{
    if (!isLinked()) {
        // A node that waits for its first sum has none to pass on.
        const bool waits = m_upstream && !m_withoutLinkSince;
        return waits ? std::nullopt : std::optional(sumWithout(held));
    }
    return containsAll(m_covered, held) ? std::optional(sumWithout(held)) : std::nullopt;
}

FleetEvidence EvidenceExchange::sumWithout(const std::set<Incarnation> &excluded) const
{
    if (!isLinked()) {
        return m_tracker.sum(excluded);
    }
    auto sum = *m_sum;
    sum.add(m_tracker.sum(m_covered, excluded));
    return sum;
}

bool EvidenceExchange::isUndelivered() const
{
    const auto now = base::monotonicNow();
    if (!m_source.isReader()) {
        return m_withoutLinkSince && now - *m_withoutLinkSince >= lossTime;
    }
    return std::any_of(
        m_readers.begin(), m_readers.end(), [&](const auto &item) { return item.second.hasFailedFor(lossTime, now); });
}

void EvidenceExchange::refuse(Refusal refusal, const std::string &from, const std::string &reason)
{
    const std::string name(base::nameOf(refusalNames, refusal));
    m_metrics.counter("ibisfork_evidence_refused_total", {{"reason", name}}).add();
    EventLog::failure("evidence_refused")
        .field("from", from.empty() ? "-" : from)
        .field("cause", name)
        .field("reason", reason);
}

} // namespace ibisfork::gateway::evidence
