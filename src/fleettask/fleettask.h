#pragma once

#include <functional>
#include <memory>

#include <ibisfork/base/metrics.h>
#include <ibisfork/coord/confirmation.h>
#include <ibisfork/coord/replica.h>

#include "fleettask/messages.h"
#include "net/mailbox.h"
#include "net/task.h"
#include "net/timer.h"
#include "platform/fleetstore.h"
#include "platform/tableclient.h"
#include "settings/settings.h"

namespace ibisfork::fleettask {

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
    void poll();
    void onHead(const platform::FleetHead &head, base::TimePoint askedAt);
    void catchUp();
    void onChanges(const std::vector<coord::Change> &changes);
    void readSnapshot();
    void publishConfig();
    void publishConfirmation();
    void joinOnce();
    void submit(const SubmitChange &request, int triesLeft);
    void handle(FleetRequest request);

    const settings::Settings &m_settings;
    std::string m_incarnation;
    std::function<void(FleetUpdate)> m_publish;
    base::Counter &m_polls;
    base::Gauge &m_revisionGauge;
    net::Task m_task;
    platform::TableClient m_table;
    platform::FleetStore m_store;
    coord::Replica m_replica;
    coord::Confirmation m_confirmation;
    /// The day whose exceptions hold.
    std::string m_day;
    bool m_catchingUp = false;
    bool m_joining = false;
    net::Timer m_pollTimer;
    net::Mailbox<FleetRequest> m_mailbox;
};

} // namespace ibisfork::fleettask
