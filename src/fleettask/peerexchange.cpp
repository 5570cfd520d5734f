#include "fleettask/peerexchange.h"

#include <fmt/format.h>

#include <ibisfork/base/log.h>

#include "fleettask/wire.h"
#include "net/exceptions.h"

namespace ibisfork::fleettask {

using peer::Origin;
using peer::wire::Frame;

namespace {

/// Time without an answer after which a link gets a fresh socket.
constexpr std::chrono::seconds linkSilence{3};
/// Time after which an asker that does not ask again is forgotten.
constexpr std::chrono::seconds askerKept{10};
/// Askers kept at most.
constexpr std::size_t maxAskers = 1024;

peer::CurveKeys keysFrom(const settings::PeerSettings &peers)
{
    return {peers.publicKey, peers.secretKey, peers.fleetKey};
}

peer::wire::Notice::Kind wireKind(NoticeKind kind)
{
    switch (kind) {
    case NoticeKind::ColdStart:
        return peer::wire::Notice::COLD_START;
    }
    return peer::wire::Notice::UNSPECIFIED;
}

std::optional<NoticeKind> noticeKind(peer::wire::Notice::Kind kind)
{
    return kind == peer::wire::Notice::COLD_START ? std::optional(NoticeKind::ColdStart) : std::nullopt;
}

} // namespace

PeerExchange::PeerExchange(event_base *base,
                           const settings::Settings &settings,
                           base::MetricsRegistry &metrics,
                           FleetState &state,
                           std::function<void()> learnt)
    : m_settings(settings)
    , m_state(state)
    , m_learnt(std::move(learnt))
    , m_noticesHeard(metrics.counter("ibisfork_notices_heard_total"))
    , m_hub(base,
            settings.listen.peers,
            keysFrom(settings.peers),
            state.incarnation(),
            metrics,
            [this](const Origin &origin, const Frame &frame) { onFrame(origin, frame); })
{ }

void PeerExchange::followMembers()
{
    std::map<std::string, net::Address> peers;
    for (const auto &incarnation : m_state.relays().allPollTargets(m_state.incarnation())) {
        try {
            peers[incarnation] = net::Address::parse(m_state.members().find(incarnation)->peerAddress);
        } catch (const net::NetError &error) {
            base::LogLine(base::LogLevel::Warning, "peer-unreachable")
                .field("incarnation", incarnation)
                .field("error", error.what());
        }
    }
    m_hub.setPeers(peers);
    std::erase_if(m_echoes, [this](const auto &echo) { return m_state.members().find(echo.first) == nullptr; });
}

void PeerExchange::ask(bool wantMembers)
{
    const auto now = base::monotonicNow();
    forgetOld(now);
    m_hub.replaceSilentLinks(now, linkSilence);
    for (const auto &incarnation : m_state.relays().pollTargets(m_state.incarnation(), m_round)) {
        askOne(incarnation, wantMembers, now);
    }
    ++m_round;
}

void PeerExchange::askOne(const std::string &incarnation, bool wantMembers, base::TimePoint now)
{
    const auto *member = m_state.members().find(incarnation);
    if (member == nullptr) {
        return;
    }
    Frame frame;
    auto &question = *frame.mutable_question();
    question.set_number(m_nextQuestion++);
    question.set_known(m_state.served());
    question.set_held(m_state.revision());
    question.set_echo(m_echoes[incarnation]);
    question.set_want_members(wantMembers);
    question.set_floor(m_state.accepted());
    m_outstanding[question.number()] = {incarnation, now};
    try {
        m_hub.send(incarnation, net::Address::parse(member->peerAddress), std::move(frame), now);
    } catch (const net::NetError &) {
        m_outstanding.erase(m_nextQuestion - 1);
    }
}

void PeerExchange::hint()
{
    Frame frame;
    frame.mutable_hint()->set_revision(m_state.newest());
    sendToAll(frame, {});
}

void PeerExchange::tell(const PeerNotice &notice)
{
    Frame frame;
    auto &wire = *frame.mutable_notice();
    wire.set_kind(wireKind(notice.kind));
    wire.set_subject(notice.subject);
    wire.set_detail(notice.detail);
    wire.set_id(fmt::format("{}/{}", m_state.incarnation(), m_nextNotice++));
    m_notices.isNew(wire.id());
    sendToAll(frame, {});
}

void PeerExchange::sendToAll(const Frame &frame, const std::string &except)
{
    const auto now = base::monotonicNow();
    for (const auto &[incarnation, asker] : m_askers) {
        if (incarnation != except) {
            m_hub.answer(asker.origin, frame);
        }
    }
    for (const auto &incarnation : m_state.relays().pollTargets(m_state.incarnation(), m_round)) {
        if (incarnation == except) {
            continue;
        }
        try {
            const auto &address = m_state.members().find(incarnation)->peerAddress;
            m_hub.send(incarnation, net::Address::parse(address), frame, now);
        } catch (const net::NetError &) {
            continue;
        }
    }
}

void PeerExchange::onFrame(const Origin &origin, const Frame &frame)
{
    switch (frame.body_case()) {
    case Frame::kQuestion:
        onQuestion(origin, frame.question());
        return;
    case Frame::kReading:
        onReading(origin, frame.reading());
        return;
    case Frame::kHint:
        onHint(origin, frame.hint());
        return;
    case Frame::kNotice:
        onNoticeFrame(origin, frame);
        return;
    default:
        return;
    }
}

void PeerExchange::onNoticeFrame(const Origin &origin, const Frame &frame)
{
    const auto &notice = frame.notice();
    const auto kind = noticeKind(notice.kind());
    if (!kind || !m_notices.isNew(notice.id())) {
        return;
    }
    m_noticesHeard.add();
    sendToAll(frame, origin.incarnation);
    if (m_noticeHandler) {
        m_noticeHandler({*kind, notice.subject(), notice.detail()});
    }
}

void PeerExchange::onQuestion(const Origin &origin, const peer::wire::Question &question)
{
    if (origin.route.empty() || (m_askers.size() >= maxAskers && !m_askers.contains(origin.incarnation))) {
        return;
    }
    const auto now = base::monotonicNow();
    auto &asker = m_askers[origin.incarnation];
    asker.origin = origin;
    asker.lastAsked = now;
    const auto echoed = asker.readings.find(question.echo());
    const auto asOf = echoed == asker.readings.end() ? base::TimePoint{} : echoed->second;
    const bool news = question.known() > m_state.newest();
    m_state.recordStatement(origin.incarnation, question.known(), asOf, now);
    m_state.recordAccepted(question.floor());
    if (question.held() > m_state.revision()) {
        askOne(origin.incarnation, false, now);
    }
    m_state.evaluate(now);
    answer(asker, question, now);
    if (news || m_state.newest() > m_state.accepted()) {
        m_learnt();
    }
}

void PeerExchange::answer(Asker &asker, const peer::wire::Question &question, base::TimePoint now)
{
    Frame frame;
    auto &reading = *frame.mutable_reading();
    reading.set_number(question.number());
    reading.set_newest(m_state.newest());
    if (const auto asOf = m_state.newestAsOf()) {
        reading.set_confirmed(true);
        reading.set_age_us(ageOf(*asOf, now));
    }
    reading.set_known(m_state.served());
    reading.set_floor(m_state.accepted());
    reading.set_reading(m_nextReading++);
    if (question.held() < m_state.revision()) {
        if (const auto changes = m_state.changesAfter(question.held())) {
            for (const auto &change : *changes) {
                toWire(change, *reading.add_changes());
            }
        } else {
            toWire(m_state.replica().snapshot(), *reading.mutable_snapshot());
        }
    }
    if (question.want_members()) {
        addMembers(asker.origin, reading, now);
    }
    asker.readings[reading.reading()] = now;
    m_hub.answer(asker.origin, std::move(frame));
}

void PeerExchange::addMembers(const Origin &origin, peer::wire::Reading &reading, base::TimePoint now) const
{
    const auto *self = m_state.members().find(m_state.incarnation());
    const auto *asker = m_state.members().find(origin.incarnation);
    const bool sameDomain = self != nullptr && asker != nullptr && self->failureDomain == asker->failureDomain;
    for (const auto &[node, member] : m_state.members().members()) {
        // Relays of other domains hear their own members themselves.
        if (!sameDomain && self != nullptr && member.failureDomain != self->failureDomain) {
            continue;
        }
        const auto statement = m_state.statements().all().find(member.incarnation);
        if (statement == m_state.statements().all().end() || member.incarnation == m_state.incarnation()) {
            continue;
        }
        auto &added = *reading.add_members();
        added.set_incarnation(member.incarnation);
        added.set_known(statement->second.known);
        added.set_age_us(ageOf(statement->second.asOf, now));
    }
}

void PeerExchange::onReading(const Origin &origin, const peer::wire::Reading &reading)
{
    const auto asked = m_outstanding.find(reading.number());
    if (asked == m_outstanding.end()) {
        return;
    }
    const auto askedAt = asked->second.askedAt;
    m_outstanding.erase(asked);
    const auto now = base::monotonicNow();
    m_echoes[origin.incarnation] = reading.reading();
    m_state.recordStatement(origin.incarnation, reading.known(), askedAt, now);
    for (const auto &member : reading.members()) {
        m_state.recordStatement(member.incarnation(), member.known(), instantOf(member.age_us(), askedAt), now);
    }
    if (reading.confirmed()) {
        m_state.confirmNewest(reading.newest(), instantOf(reading.age_us(), askedAt));
        m_lastConfirmingAnswer = now;
    } else {
        m_state.recordExists(reading.newest());
    }
    m_state.recordAccepted(reading.floor());
    takeRows(reading, now);
    m_state.evaluate(now);
    m_learnt();
}

bool PeerExchange::takeRows(const peer::wire::Reading &reading, base::TimePoint now)
{
    if (reading.has_snapshot()) {
        return m_state.apply(fromWire(reading.snapshot()));
    }
    std::vector<coord::Change> changes;
    for (const auto &change : reading.changes()) {
        changes.push_back(fromWire(change));
    }
    return m_state.apply(changes, now);
}

void PeerExchange::onHint(const Origin &origin, const peer::wire::Hint &hint)
{
    if (hint.revision() <= m_state.revision()) {
        return;
    }
    m_state.recordExists(hint.revision());
    askOne(origin.incarnation, false, base::monotonicNow());
    m_learnt();
}

void PeerExchange::forgetOld(base::TimePoint now)
{
    const auto oldest = now - m_settings.timing.confirmWithin;
    std::erase_if(m_outstanding, [&](const auto &entry) { return entry.second.askedAt < oldest; });
    std::erase_if(m_askers, [&](const auto &entry) { return entry.second.lastAsked + askerKept < now; });
    for (auto &[incarnation, asker] : m_askers) {
        std::erase_if(asker.readings, [&](const auto &entry) { return entry.second < oldest; });
    }
}

} // namespace ibisfork::fleettask
