#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include <ibisfork/base/metrics.h>

#include "gateway/callerport.h"
#include "gateway/context.h"
#include "gateway/factdesk.h"
#include "gateway/factsource.h"
#include "gateway/infoport.h"
#include "gateway/storeclient.h"
#include "gateway/tablewatch.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// A node that takes its configuration and its list of engines from the platform's store. All of it runs on one loop.
class Gateway
{
public:
    Gateway(event_base *base, const settings::GatewaySettings &settings, base::MetricsRegistry &metrics);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    /// Takes no new connections, lets running requests end within the grace of the settings, then calls @p stopped.
    void stop(std::function<void()> stopped);

    /// Takes the bounds of settings that were read again; addresses stay as they are.
    void reload(const settings::GatewaySettings &settings);

    bool ready() const;
    net::Address callers() const { return m_callers.address(); }
    net::Address readiness() const { return m_readiness.address(); }
    net::Address operators() const { return m_operators.address(); }

private:
    void tick();
    void stopTick();
    void registerNode();
    void tellCrashes(const std::string &fingerprint, unsigned crashes);
    void updateGauges() const;
    void driveRollouts();
    /// Whether this node writes @p status, or leaves it to the nodes that read the store for now.
    bool mayDrive(const std::string &service, const RolloutStatus &status, base::TimePoint now);
    ConditionalWrite startRow(const std::string &service) const;
    void say(const std::string &service, const RolloutStatus &status);
    void answerOperators(const std::string &target, const InfoPort::Reply &reply);
    std::string describe() const;

    Context m_context;
    StoreClient m_store;
    FactSource m_source;
    TableWatch m_operatorTable;
    TableWatch m_engineTable;
    TableWatch m_statusTable;
    TableWatch m_ownTable;
    FactDesk m_desk;
    CallerPort m_callers;
    InfoPort m_readiness;
    InfoPort m_operators;
    net::Timer m_tick;
    net::Timer m_stopTick;
    std::function<void()> m_stopped;
    std::optional<base::TimePoint> m_stopBegan;
    std::set<std::string> m_saying;
    /// When something first became due that this node leaves to others, by service.
    std::map<std::string, base::TimePoint> m_dueSince;
    bool m_registered = false;
    bool m_registering = false;
    bool m_wasReady = false;
};

} // namespace ibisfork::gateway
