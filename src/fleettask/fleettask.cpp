#include "fleettask/fleettask.h"

#include <fmt/format.h>

#include <ibisfork/base/log.h>
#include <ibisfork/base/overloaded.h>
#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>
#include <ibisfork/fleet/rules.h>

namespace ibisfork::fleettask {

using base::LogLevel;
using base::LogLine;

namespace {

/// Tries to commit a change while others commit theirs.
constexpr int submitTries = 5;

} // namespace

FleetTask::FleetTask(const settings::Settings &settings,
                     base::MetricsRegistry &metrics,
                     std::string incarnation,
                     std::function<void(FleetUpdate)> publish)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_publish(std::move(publish))
    , m_polls(metrics.counter("ibisfork_fleet_polls_total"))
    , m_revisionGauge(metrics.gauge("ibisfork_fleet_revision"))
    , m_task("fleet")
    , m_table(m_task.base(), settings.platform, settings.timing.platformTimeout)
    , m_store(m_table)
    , m_confirmation(settings.timing.confirmWithin)
    , m_pollTimer(m_task.base(), [this] { poll(); })
    , m_mailbox(m_task.base(), [this](FleetRequest request) { handle(std::move(request)); })
{ }

void FleetTask::start()
{
    poll();
    m_pollTimer.startEvery(m_settings.timing.pollInterval);
    m_task.start();
}

void FleetTask::poll()
{
    m_polls.add();
    const auto askedAt = base::monotonicNow();
    m_store.readHead([this, askedAt](const std::optional<platform::FleetHead> &head) {
        if (head) {
            onHead(*head, askedAt);
        }
    });
}

void FleetTask::onHead(const platform::FleetHead &head, base::TimePoint askedAt)
{
    m_confirmation.learn(head.revision, askedAt);
    publishConfirmation();
    if (head.revision > m_replica.revision()) {
        catchUp();
    } else if (m_day != fleet::today()) {
        // Exceptions end with their day.
        publishConfig();
    } else {
        joinOnce();
    }
}

void FleetTask::catchUp()
{
    if (std::exchange(m_catchingUp, true)) {
        return;
    }
    if (m_replica.revision() == 0) {
        readSnapshot();
        return;
    }
    m_store.readChanges(m_replica.revision(), [this](const std::optional<std::vector<coord::Change>> &changes) {
        m_catchingUp = false;
        if (changes) {
            onChanges(*changes);
        }
    });
}

void FleetTask::onChanges(const std::vector<coord::Change> &changes)
{
    if (!changes.empty() && changes.front().revision > m_replica.revision() + 1) {
        // The log no longer reaches back to the revision held.
        m_catchingUp = true;
        readSnapshot();
        return;
    }
    for (const auto &change : changes) {
        // One by one: a slot may have been another node's at a revision between.
        if (m_replica.apply(change)) {
            publishConfig();
        }
    }
}

void FleetTask::readSnapshot()
{
    m_store.readSnapshot([this](std::optional<coord::Snapshot> snapshot) {
        m_catchingUp = false;
        if (snapshot && m_replica.apply(std::move(*snapshot))) {
            publishConfig();
        }
    });
}

void FleetTask::publishConfig()
{
    m_revisionGauge.set(static_cast<std::int64_t>(m_replica.revision()));
    m_day = fleet::today();
    try {
        auto config = std::make_shared<const fleet::Config>(fleet::configFromRows(m_replica.snapshot(), m_day));
        LogLine(LogLevel::Info, "config").field("revision", config->revision).field("members", config->members.size());
        m_publish(ConfigUpdate{std::move(config)});
        publishConfirmation();
    } catch (const fleet::ConfigError &error) {
        LogLine(LogLevel::Error, "config-unreadable")
            .field("revision", m_replica.revision())
            .field("error", error.what());
    }
    joinOnce();
}

void FleetTask::publishConfirmation()
{
    const auto until = m_confirmation.confirmedUntil(m_replica.revision());
    m_publish(ConfirmationUpdate{m_replica.revision(), until.value_or(base::TimePoint{})});
}

void FleetTask::joinOnce()
{
    const fleet::Member self{m_settings.node.name,
                             m_incarnation,
                             m_settings.listen.peers.text(),
                             m_settings.node.failureDomain,
                             m_settings.node.region};
    const auto key = fleet::rowprefix::member + self.node;
    const auto row = fleet::memberRow(self);
    const auto held = m_replica.rows().find(key);
    if (m_joining || (held != m_replica.rows().end() && held->second == row)) {
        return;
    }
    m_joining = true;
    const coord::Change change{0, "join-" + m_incarnation, self.node, "node joins", {{key, row}}};
    m_store.commit(change, [this](platform::ChangeOutcome) {
        m_joining = false;
        poll();
    });
}

void FleetTask::submit(const SubmitChange &request, int triesLeft)
{
    m_store.commit(request.change, [this, request, triesLeft](platform::ChangeOutcome outcome) {
        if (outcome.state == platform::ChangeState::Conflict && triesLeft > 1) {
            submit(request, triesLeft - 1);
            return;
        }
        request.reply(outcome);
        poll();
    });
}

void FleetTask::handle(FleetRequest request)
{
    std::visit(base::Overloaded{
                   [this](const SubmitChange &change) { submit(change, submitTries); },
                   [this](const ReadRows &read) { read.reply(m_replica.snapshot()); },
                   [this](const ReadHistory &read) { m_store.readChanges(read.after, read.reply); },
               },
               request);
}

} // namespace ibisfork::fleettask
