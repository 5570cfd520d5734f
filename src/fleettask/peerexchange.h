#pragma once

#include <map>
#include <set>

#include <ibisfork/base/metrics.h>

#include "fleettask/fleetstate.h"
#include "fleettask/messages.h"
#include "fleettask/noticememory.h"
#include "peer/peerhub.h"
#include "settings/settings.h"

namespace ibisfork::fleettask {

/// Asks relays, answers those that ask, and keeps what is heard in the fleet's state.
class PeerExchange
{
public:
    /// @p learnt is called after a frame changed the state.
    PeerExchange(event_base *base,
                 const settings::Settings &settings,
                 base::MetricsRegistry &metrics,
                 FleetState &state,
                 std::function<void()> learnt);

    /// Keeps links to those nodes only that this one asks at the revision held.
    void followMembers();
    /// Asks this round's nodes; @p wantMembers: also for what they heard of others.
    void ask(bool wantMembers);
    /// Tells all nodes with which there is a link of a newer revision.
    void hint();
    /// Tells all other nodes of @p notice, through those with which there is a link.
    void tell(const PeerNotice &notice);
    /// Where notices of other nodes go; each is handed over once.
    /// Where other nodes reach this one.
    const net::Address &address() const { return m_hub.address(); }
    void onNotice(std::function<void(PeerNotice)> handler) { m_noticeHandler = std::move(handler); }
    /// When an answer last said which revision is the newest.
    base::TimePoint lastConfirmingAnswer() const { return m_lastConfirmingAnswer; }

private:
    /// A question without an answer yet.
    struct Outstanding
    {
        std::string incarnation;
        base::TimePoint askedAt{};
    };

    /// A node that asks this one.
    struct Asker
    {
        peer::Origin origin;
        base::TimePoint lastAsked{};
        /// When the newest readings were sent, by number.
        std::map<std::uint64_t, base::TimePoint> readings;
    };

    void askOne(const std::string &incarnation, bool wantMembers, base::TimePoint now);
    void onFrame(const peer::Origin &origin, const peer::wire::Frame &frame);
    void onQuestion(const peer::Origin &origin, const peer::wire::Question &question);
    void onReading(const peer::Origin &origin, const peer::wire::Reading &reading);
    void onHint(const peer::Origin &origin, const peer::wire::Hint &hint);
    void onNoticeFrame(const peer::Origin &origin, const peer::wire::Frame &frame);
    /// Sends @p frame on all links but that to the node @p except.
    void sendToAll(const peer::wire::Frame &frame, const std::string &except);
    void answer(Asker &asker, const peer::wire::Question &question, base::TimePoint now);
    void addMembers(const peer::Origin &origin, peer::wire::Reading &reading, base::TimePoint now) const;
    bool takeRows(const peer::wire::Reading &reading, base::TimePoint now);
    void forgetOld(base::TimePoint now);

    const settings::Settings &m_settings;
    FleetState &m_state;
    std::function<void()> m_learnt;
    std::uint64_t m_round = 0;
    std::uint64_t m_nextQuestion = 1;
    std::uint64_t m_nextReading = 1;
    std::map<std::uint64_t, Outstanding> m_outstanding;
    /// Newest reading heard of each node asked.
    std::map<std::string, std::uint64_t> m_echoes;
    std::map<std::string, Asker> m_askers;
    base::TimePoint m_lastConfirmingAnswer{};
    std::function<void(PeerNotice)> m_noticeHandler;
    std::uint64_t m_nextNotice = 1;
    NoticeMemory m_notices;
    base::Counter &m_noticesHeard;
    peer::PeerHub m_hub;
};

} // namespace ibisfork::fleettask
