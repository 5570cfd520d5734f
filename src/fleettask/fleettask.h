#pragma once

#include <functional>
#include <memory>

#include <ibisfork/base/metrics.h>

#include "fleettask/changedesk.h"
#include "fleettask/fleetstate.h"
#include "fleettask/membership.h"
#include "fleettask/messages.h"
#include "fleettask/peerexchange.h"
#include "net/mailbox.h"
#include "net/task.h"
#include "net/timer.h"
#include "platform/fleetstore.h"
#include "platform/tableclient.h"
#include "platform/vmlist.h"
#include "settings/settings.h"

namespace ibisfork::fleettask {

/// Metrics of the fleet task.
struct FleetMetrics
{
    explicit FleetMetrics(base::MetricsRegistry &metrics);

    base::Counter &polls;
    base::Counter &pollFailures;
    base::Gauge &revision;
    base::Gauge &accepted;
    base::Gauge &members;
    base::Gauge &relay;
    base::Gauge &confirmed;
};

/// Keeps this node's copy of the fleet's state current and tells the other tasks of it.
class FleetTask
{
public:
    /// @p publish is called on this task's thread with each update.
    FleetTask(const settings::Settings &settings,
              base::MetricsRegistry &metrics,
              std::string incarnation,
              std::function<void(FleetUpdate)> publish);

    void start();
    void stop() { m_task.stop(); }
    /// Hands a request to the task, from any thread.
    void post(FleetRequest request) { m_mailbox.post(std::move(request)); }

private:
    void tick();
    bool needsTable(base::TimePoint now) const;
    bool tableOutOfReach(base::TimePoint now) const;
    void poll();
    void onHead(const platform::FleetHead &head, base::TimePoint askedAt);
    void catchUp();
    void onChanges(const std::vector<coord::Change> &changes);
    void readFleet();
    void startFrom(const platform::StoredFleet &stored);
    void learnt();
    void publishConfig();
    void publishConfirmation();
    void keepAccepted();
    void leave(const LeaveFleet &request);
    void handle(FleetRequest request);

    const settings::Settings &m_settings;
    std::function<void(FleetUpdate)> m_publish;
    FleetMetrics m_metrics;
    net::Task m_task;
    platform::TableClient m_table;
    platform::FleetStore m_store;
    platform::VmList m_vms;
    FleetState m_state;
    ChangeDesk m_desk;
    Membership m_membership;
    PeerExchange m_exchange;
    /// The day whose exceptions hold.
    std::string m_day;
    bool m_catchingUp = false;
    bool m_polling = false;
    std::uint64_t m_ticks = 0;
    base::TimePoint m_tableHeardAt{};
    /// When the newest revision was first heard of, and which one it was.
    base::TimePoint m_newestSince{};
    coord::Revision m_newestSeen = 0;
    /// The revision that other nodes were told of.
    coord::Revision m_announced = 0;
    coord::Revision m_acceptedKept = 0;
    /// The last instants and revisions published, so that nothing is published twice.
    ConfirmationUpdate m_lastUpdate;
    net::Timer m_tickTimer;
    net::Mailbox<FleetRequest> m_mailbox;
};

} // namespace ibisfork::fleettask
