#include "gateway/exchange.h"

#include <algorithm>
#include <set>

#include "gateway/enginepause.h"
#include "gateway/eventlog.h"
#include "gateway/exchangelimits.h"
#include "gateway/forwardheaders.h"
#include "gateway/peeranswer.h"
#include "http/status.h"
#include "platform/callcodec.h"

namespace ibisfork::gateway {

namespace {

/// A node answers for its engines, which it gives up by itself, so it gets this multiple of an engine's time.
constexpr int peerSilenceFactor = 2;

} // namespace

bool Exchange::seemsCutOff() const
{
    return m_unreachableEngines >= unreachableEnginesToForward || m_context.reach.isCutOff(m_service);
}

bool Exchange::mayForward() const
{
    return m_origin == RequestOrigin::Caller && m_context.reach.isCutOff(m_service) && m_context.knowsForwardingPeers();
}

bool Exchange::mayRefuseForwarded() const
{
    return m_origin == RequestOrigin::Peer && !m_streamBegun && mayRunAgain();
}

std::optional<PeerNode> Exchange::choosePeer()
{
    const bool mayRunElsewhere = mayRunAgain() && m_runs < maxRuns();
    if (m_origin == RequestOrigin::Peer || !mayRunElsewhere) {
        return std::nullopt;
    }
    const auto now = base::monotonicNow();
    const auto &node = m_context.settings.node;
    const PeerNode self{node.name, node.region, node.failureDomain, {}};
    const auto known = m_context.view.peersOf(node.name);
    auto peer = m_context.peers.choose(known, self, m_service, m_triedPeers, now);
    if (!peer) {
        logNoPeer(known, now);
    }
    return peer;
}

void Exchange::logNoPeer(const std::vector<PeerNode> &known, base::TimePoint now) const
{
    std::set<std::string> domains;
    std::set<std::string> triedDomains;
    for (const auto &peer : known) {
        domains.insert(peer.failureDomain);
        if (std::find(m_triedPeers.begin(), m_triedPeers.end(), peer.name) != m_triedPeers.end()) {
            triedDomains.insert(peer.failureDomain);
        }
    }
    EventLog::failure("no_peer")
        .field("id", m_call.id)
        .field("service", m_service)
        .field("known", known.size())
        .field("refusing", m_context.peers.refusing(known, m_service, now))
        .field("tried", m_triedPeers.size())
        .field("domains", domains.size())
        .field("tried_domains", triedDomains.size());
}

bool Exchange::tryForward()
{
    const auto peer = choosePeer();
    if (peer) {
        forwardTo(*peer);
    }
    return peer.has_value();
}

void Exchange::forwardTo(const PeerNode &peer)
{
    if (!mayRunAgain()) {
        endUnsent(peer.name);
        return;
    }
    const auto now = base::monotonicNow();
    EventLog::routine("forward")
        .field("id", m_call.id)
        .field("peer", peer.name)
        .field("service", m_service)
        .field("unreachable_engines", m_unreachableEngines)
        .field("last_event", m_lastEvent.value_or(0));
    m_peer = peer;
    m_triedPeers.push_back(peer.name);
    m_engineId.clear();
    auto head = platform::encodeForward(
        m_request.head, std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now), m_lastEvent);
    // A caller may have sent such headers of its own.
    head.headers = withoutForwardHeaders(head.headers);
    // One run is kept back where there are more, since a node that is lost may have used all that it was given.
    const auto left = maxRuns() - m_runs;
    m_peerRuns = left > 1 ? left - 1 : 1;
    m_runs += m_peerRuns;
    m_peerRunsUsed.reset();
    addForwardState(head.headers, {m_peerRuns, m_isCounted});
    startAttempt(m_context.peerPool.acquire(peer.name, *peer.forwarding, !repeatable(), now), head);
}

void Exchange::onPeerHead()
{
    m_peerRunsUsed = readRunsUsed(m_answerHead.headers);
    if (readForwardRefusal(m_answerHead.headers)) {
        return;
    }
    if (!headIsUsable()) {
        handleFailedAttempt({EngineFault::Failed, true, "foreign_answer"});
        return;
    }
    if (!http::status::isServerError(m_answer.status)) {
        m_context.peers.recordServed(m_peer->name, m_service, base::monotonicNow());
    }
    if (const auto engine = readLeavingEngine(m_answerHead.headers)) {
        m_context.recordEngineLeaving(m_service, *engine, m_call.id);
    }
    m_firstByteAfter = base::monotonicNow() - m_sentAt;
    expectAnswer();
}

void Exchange::onPeerComplete()
{
    switch (classifyPeerAnswer(m_answer, m_answerHead.headers)) {
    case PeerAnswer::Unreachable:
        m_context.peers.recordFailed(m_peer->name, refusedService(), base::monotonicNow());
        onPeerUnreachable();
        return;
    case PeerAnswer::NoPath:
        m_context.peers.recordRefused(m_peer->name, refusedService(), base::monotonicNow());
        leaveRefusingPeer("no_path");
        return;
    case PeerAnswer::TakesNothing:
        m_context.peers.recordRefusedAll(m_peer->name, base::monotonicNow());
        leaveRefusingPeer("peer_refused");
        return;
    case PeerAnswer::OtherConfiguration:
        leaveRefusingPeer("peer_refused");
        return;
    case PeerAnswer::NotRun:
        onPeerNotRun();
        return;
    case PeerAnswer::Stream:
        leavePeer("answered");
        endStreamOfCaller();
        return;
    case PeerAnswer::Signed:
        onPeerAnswered();
        return;
    case PeerAnswer::OutOfTime:
    case PeerAnswer::Failed:
        settlePeerRuns(m_peerRuns);
        retryAfterPeer();
        return;
    }
}

void Exchange::onPeerAnswered()
{
    if (!http::status::isServerError(m_answer.status)) {
        endWithPeerAnswer("answered");
        return;
    }
    settlePeerRuns(m_peerRuns);
    const bool mayRepeat = !m_streamBegun && mayRetry(true);
    auto next = mayRepeat ? choosePeer() : std::nullopt;
    if (mayRepeat && !next) {
        // An engine has failed, not the node, so it may be asked again if it is the only one.
        m_triedPeers.pop_back();
        next = choosePeer();
    }
    if (next && consumeResend(true)) {
        leavePeer("engine_failed");
        forwardTo(*next);
    } else {
        endWithPeerAnswer("answered");
    }
}

void Exchange::settlePeerRuns(unsigned usedIfUntold)
{
    const auto used = m_peerRunsUsed.value_or(usedIfUntold);
    m_runs = m_runs - m_peerRuns + used;
    m_peerRuns = 0;
    m_isCounted = m_isCounted || used > 0;
    m_mayHaveRun = m_mayHaveRun || used > 0;
}

std::string Exchange::refusedService() const
{
    return readRefusedService(m_answerHead.headers).value_or(m_service);
}

void Exchange::onPeerNotRun()
{
    // An engine may have turned it away there, which counts as an arrival.
    const bool isFinal = !m_streamBegun && !m_mayHaveRun;
    if (!isFinal) {
        resendAfterRefusal("peer_refused", 0);
        return;
    }
    settlePeerRuns(0);
    // Another node may find room at an engine, and this one's part of the resend budget is its callers'.
    const auto next = m_deadline - base::monotonicNow() > minAttemptTime ? choosePeer() : std::nullopt;
    if (next && consumeResend(false)) {
        leavePeer("refused");
        forwardTo(*next);
    } else {
        endWithPeerAnswer("peer_failed");
    }
}

void Exchange::onPeerUnreachable()
{
    if (!repeatable()) {
        leaveRefusingPeer("no_path");
        return;
    }
    // It may have reached an engine there that then fell silent.
    resendAfterRefusal("no_path", m_peerRuns);
}

void Exchange::resendAfterRefusal(const char *reason, unsigned runsIfUntold)
{
    leavePeer("refused");
    settlePeerRuns(runsIfUntold);
    m_lastReason = reason;
    dispatchOrFail({EngineFault::Full, false, reason});
}

void Exchange::retryAfterPeer()
{
    if (consumeResend(true)) {
        handleFailedAttempt({EngineFault::Failed, true, "peer_failed"});
    } else {
        endWithPeerAnswer("peer_failed");
    }
}

void Exchange::endWithPeerAnswer(const char *outcome)
{
    leavePeer(outcome);
    if (m_streamBegun) {
        // Nothing but the rest of the stream may follow its beginning.
        waitOrFail("peer_failed");
        return;
    }
    m_caller.sendHeldAnswer(m_answer.status, headersToPassOn(), m_answerBody.take(), m_context.stopping);
    finish(outcome, m_answer.status);
}

void Exchange::handleFailedPeer(const FailedAttempt &miss)
{
    EventLog::failure("forward_failed")
        .field("id", m_call.id)
        .field("peer", m_peer->name)
        .field("reason", miss.reason)
        .field("may_have_run", miss.mayHaveRun)
        .field("after_ms", base::toMilliseconds(base::monotonicNow() - m_sentAt));
    recordPeerFailure(miss.fault);
    if (m_connection && !m_connection->reusable()) {
        m_connection->abandon();
    }
    m_phase = Phase::Waiting;
    m_leftSilent += miss.fault == EngineFault::Silent ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || miss.mayHaveRun;
    m_firstByteAfter.reset();
    if (!miss.mayHaveRun && !m_passesOn) {
        leavePeer(miss.reason);
        dispatchAgain(miss.reason);
        return;
    }
    releaseConnection();
    // What the node has told was true when its answer began; it may have used the others since.
    m_peerRunsUsed.reset();
    settlePeerRuns(m_peerRuns);
    dispatchOrFail(miss);
}

void Exchange::recordPeerFailure(EngineFault fault)
{
    const auto now = base::monotonicNow();
    if (fault == EngineFault::Unreachable || fault == EngineFault::Lost) {
        m_context.peers.recordUnreachable(m_peer->name, now);
    } else {
        m_context.peers.recordFailed(m_peer->name, m_service, now);
    }
}

void Exchange::leavePeer(const char *outcome)
{
    m_context.metrics.counter("ibisfork_forwarded_requests_total", {{"outcome", outcome}}).add();
    releaseConnection();
    m_phase = Phase::Waiting;
}

void Exchange::leaveRefusingPeer(const char *reason)
{
    leavePeer("refused");
    dispatchAgain(reason);
}

void Exchange::dispatchAgain(const char *reason)
{
    // The request did not run at the last node, so its charge still holds.
    settlePeerRuns(0);
    m_resendCharge.carryOver();
    m_lastReason = reason;
    dispatch();
}

void Exchange::refuseForwarded(const char *reason, RefusalScope scope)
{
    http::HeaderList headers;
    addForwardRefusal(headers, scope, m_service);
    addRunsUsed(headers, m_runs);
    m_caller.sendAnswer(http::status::unavailable, headers, {}, m_context.stopping);
    finish(reason, http::status::unavailable);
}

base::Duration Exchange::peerSilenceBound(base::Duration engineBound) const
{
    // An engine of the other node may pause.
    return engineBound == base::Duration::max() ? engineBound : engineBound * peerSilenceFactor + longestPause;
}

} // namespace ibisfork::gateway
