#include "fleettask/fleettask.h"

#include <fmt/format.h>

#include <ibisfork/base/log.h>
#include <ibisfork/base/overloaded.h>
#include <ibisfork/coord/rendezvous.h>
#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>
#include <ibisfork/fleet/rules.h>

namespace ibisfork::fleettask {

using base::LogLevel;
using base::LogLine;

namespace {

/// Rounds of questions in a poll interval while a new revision is not accepted yet.
constexpr std::uint64_t ticksPerPoll = 4;
/// Time for which nodes ask more often after a new revision.
constexpr std::chrono::seconds hurryFor{3};
/// Polls between two looks at who is gone.
constexpr std::uint64_t pollsPerMemberCheck = 5;
/// Polls without an answer after which relays, or the table, count as out of reach; in halves.
constexpr int outOfReachHalfPolls = 5;

} // namespace

FleetMetrics::FleetMetrics(base::MetricsRegistry &metrics)
    : polls(metrics.counter("ibisfork_fleet_polls_total"))
    , pollFailures(metrics.counter("ibisfork_fleet_poll_failures_total"))
    , revision(metrics.gauge("ibisfork_fleet_revision"))
    , accepted(metrics.gauge("ibisfork_fleet_accepted_revision"))
    , members(metrics.gauge("ibisfork_fleet_members"))
    , relay(metrics.gauge("ibisfork_fleet_relay"))
    , confirmed(metrics.gauge("ibisfork_fleet_confirmed"))
{ }

FleetTask::FleetTask(const settings::Settings &settings,
                     base::MetricsRegistry &metrics,
                     std::string incarnation,
                     std::function<void(FleetUpdate)> publish)
    : m_settings(settings)
    , m_publish(std::move(publish))
    , m_metrics(metrics)
    , m_task("fleet")
    , m_table(m_task.base(), settings.platform, settings.timing.platformTimeout)
    , m_store(m_table)
    , m_vms(m_task.base(), settings.platform, settings.timing.platformTimeout)
    , m_state(std::move(incarnation), settings.timing.confirmWithin)
    , m_desk(m_store, m_state, [this] { poll(); })
    , m_membership(settings, m_state, m_desk, m_vms)
    , m_exchange(m_task.base(), settings, metrics, m_state, [this] { learnt(); })
    , m_tickTimer(m_task.base(), [this] { tick(); })
    , m_mailbox(m_task.base(), [this](FleetRequest request) { handle(std::move(request)); })
{
    m_membership.setPeerAddress(m_exchange.address());
}

void FleetTask::start()
{
    // One revision by one: what moves between nodes may have been another node's at a revision between.
    m_state.setAdvanced([this] { publishConfig(); });
    m_exchange.onNotice([this](PeerNotice notice) { m_publish(std::move(notice)); });
    poll();
    m_tickTimer.startEvery(m_settings.timing.pollInterval / ticksPerPoll);
    m_task.start();
}

void FleetTask::tick()
{
    const auto now = base::monotonicNow();
    const bool wholeRound = ++m_ticks % ticksPerPoll == 0;
    const bool pending = m_state.newest() > m_state.accepted();
    const bool hurry = pending && now - m_newestSince < hurryFor;
    if (wholeRound || hurry) {
        m_exchange.ask(pending || tableOutOfReach(now) || m_membership.suspects(now));
    }
    if (wholeRound && needsTable(now)) {
        poll();
    }
    if (m_ticks % (ticksPerPoll * pollsPerMemberCheck) == 0) {
        m_membership.removeDead(now);
    }
    m_state.evaluate(now);
    learnt();
}

bool FleetTask::needsTable(base::TimePoint now) const
{
    const auto silence = m_settings.timing.pollInterval * outOfReachHalfPolls / 2;
    return m_state.isRelay() || !m_state.isMember() || m_state.behind()
        || now - m_exchange.lastConfirmingAnswer() > silence;
}

bool FleetTask::tableOutOfReach(base::TimePoint now) const
{
    const auto asOf = m_state.newestAsOf();
    const auto silence = m_settings.timing.pollInterval * outOfReachHalfPolls / 2;
    return now - m_tableHeardAt > silence && (m_state.isRelay() || !asOf || now - *asOf > silence);
}

void FleetTask::poll()
{
    if (std::exchange(m_polling, true)) {
        return;
    }
    m_metrics.polls.add();
    const auto askedAt = base::monotonicNow();
    m_store.readHead([this, askedAt](const std::optional<platform::FleetHead> &head) {
        m_polling = false;
        if (head) {
            onHead(*head, askedAt);
        } else {
            m_metrics.pollFailures.add();
        }
    });
}

void FleetTask::onHead(const platform::FleetHead &head, base::TimePoint askedAt)
{
    m_tableHeardAt = askedAt;
    m_state.confirmNewest(head.revision, askedAt);
    if (m_state.behind()) {
        catchUp();
    } else if (m_state.revision() > 0 && m_day != fleet::today()) {
        // Exceptions end with their day.
        publishConfig();
    }
    learnt();
    m_membership.joinOnce();
}

void FleetTask::catchUp()
{
    if (std::exchange(m_catchingUp, true)) {
        return;
    }
    if (m_state.revision() == 0) {
        readFleet();
        return;
    }
    m_store.readChanges(m_state.revision(), [this](const std::optional<std::vector<coord::Change>> &changes) {
        m_catchingUp = false;
        if (changes) {
            onChanges(*changes);
        }
    });
}

void FleetTask::onChanges(const std::vector<coord::Change> &changes)
{
    if (!changes.empty() && changes.front().revision > m_state.revision() + 1) {
        // The log no longer reaches back to the revision held.
        m_catchingUp = true;
        readFleet();
        return;
    }
    m_state.apply(changes, base::monotonicNow());
    learnt();
}

void FleetTask::readFleet()
{
    m_store.readFleet([this](const std::optional<platform::StoredFleet> &stored) {
        if (stored) {
            startFrom(*stored);
        } else {
            m_catchingUp = false;
        }
    });
}

void FleetTask::startFrom(const platform::StoredFleet &stored)
{
    // The members since the accepted revision tell who could still be confirmed at an older one.
    m_store.readChanges(stored.accepted.revision,
                        [this, stored](const std::optional<std::vector<coord::Change>> &changes) {
                            m_catchingUp = false;
                            if (changes) {
                                m_state.start(stored, *changes, base::monotonicNow());
                                learnt();
                            }
                        });
}

void FleetTask::learnt()
{
    const auto now = base::monotonicNow();
    m_state.evaluate(now);
    const bool news = m_state.newest() > m_newestSeen;
    if (news) {
        m_newestSeen = m_state.newest();
        m_newestSince = now;
    }
    publishConfirmation();
    keepAccepted();
    if (m_state.revision() > m_announced) {
        m_announced = m_state.revision();
        m_exchange.followMembers();
        m_exchange.hint();
        m_exchange.ask(true);
        m_membership.joinOnce();
    }
}

void FleetTask::publishConfig()
{
    m_day = fleet::today();
    m_metrics.revision.set(static_cast<std::int64_t>(m_state.revision()));
    try {
        auto config = std::make_shared<const fleet::Config>(fleet::configFromRows(m_state.replica().snapshot(), m_day));
        m_metrics.members.set(static_cast<std::int64_t>(config->members.size()));
        LogLine(LogLevel::Info, "config").field("revision", config->revision).field("members", config->members.size());
        m_publish(ConfigUpdate{std::move(config)});
        m_lastUpdate = {};
    } catch (const fleet::ConfigError &error) {
        LogLine(LogLevel::Error, "config-unreadable")
            .field("revision", m_state.revision())
            .field("error", error.what());
    }
}

void FleetTask::publishConfirmation()
{
    const auto until = m_membership.left() ? std::nullopt : m_state.confirmedUntil();
    ConfirmationUpdate update{m_state.revision(), until.value_or(base::TimePoint{}), m_state.accepted(), {}};
    const bool same = update.revision == m_lastUpdate.revision && update.until == m_lastUpdate.until
        && update.accepted == m_lastUpdate.accepted;
    if (same && m_state.served() == m_state.newest()) {
        return;
    }
    m_lastUpdate = update;
    update.taken = [this, newest = m_state.newest()] {
        post(UpdateTaken{newest});
    };
    m_metrics.accepted.set(static_cast<std::int64_t>(update.accepted));
    m_metrics.relay.set(m_state.isRelay() ? 1 : 0);
    m_metrics.confirmed.set(update.until > base::monotonicNow() ? 1 : 0);
    m_publish(std::move(update));
}

void FleetTask::keepAccepted()
{
    // One relay writes; if it fails, nodes that start read a longer log.
    if (m_state.accepted() != m_state.revision() || m_state.accepted() <= m_acceptedKept || !m_state.isRelay()) {
        return;
    }
    m_acceptedKept = m_state.accepted();
    std::vector<std::string> relays;
    for (const auto &incarnation : m_state.members().incarnations()) {
        if (m_state.relays().isRelay(incarnation)) {
            relays.push_back(incarnation);
        }
    }
    if (coord::rendezvousChoose("accepted", relays, 1).front() == m_state.incarnation()) {
        m_store.writeAccepted({m_state.accepted(), m_state.members().rows()});
    }
}

void FleetTask::leave(const LeaveFleet &request)
{
    m_membership.leave(request.left);
    publishConfirmation();
}

void FleetTask::handle(FleetRequest request)
{
    std::visit(base::Overloaded{
                   [this](const SubmitChange &change) { m_desk.submit(change); },
                   [this](const FindChange &question) { m_desk.find(question); },
                   [this](const ReadRows &read) { read.reply(m_state.replica().snapshot()); },
                   [this](const ReadHistory &read) { m_store.readChanges(read.after, read.reply); },
                   [this](const PeerNotice &notice) { m_exchange.tell(notice); },
                   [this](const LeaveFleet &request) { leave(request); },
                   [this](const UpdateTaken &taken) {
                       const bool newer = taken.newest > m_state.served();
                       m_state.recordServed(taken.newest, base::monotonicNow());
                       if (newer) {
                           m_exchange.ask(true);
                           learnt();
                       }
                   },
               },
               request);
}

} // namespace ibisfork::fleettask
