#pragma once

#include <optional>
#include <string>

#include <ibisfork/base/metrics.h>
#include <nlohmann/json_fwd.hpp>

#include "gateway/callerport.h"
#include "gateway/context.h"
#include "gateway/crashreporter.h"
#include "gateway/evidence/evidenceexchange.h"
#include "gateway/evidence/evidencerows.h"
#include "gateway/infoport.h"
#include "gateway/loads/loadexchange.h"
#include "gateway/reachprobe.h"
#include "gateway/rolloutdriver.h"
#include "gateway/storeclient.h"
#include "gateway/tableserver.h"
#include "gateway/tablesource.h"
#include "gateway/tablewatch.h"
#include "net/timer.h"

namespace ibisfork::gateway {

/// A gateway node, which reads its configuration and its list of engines from the platform's store. It runs on one
/// event loop.
class Gateway
{
public:
    Gateway(event_base *base, const settings::GatewaySettings &settings, base::MetricsRegistry &metrics);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    /// Shuts the node down: reports not ready, closes connections after their answers, lets running requests end within
    /// the shutdown grace of the settings, then calls @p stopped.
    void stop(std::function<void()> stopped);

    /// Applies the bounds of reloaded settings; addresses stay as they are.
    void reload(const settings::GatewaySettings &settings);

    bool ready() const;
    /// Number of requests in progress, of callers and of other nodes.
    std::size_t exchanges() const { return m_callers.exchanges() + m_forwarded.exchanges(); }
    net::Address callers() const { return m_callers.address(); }
    net::Address readiness() const { return m_readiness.address(); }
    net::Address operators() const { return m_operators.address(); }
    net::Address forwarding() const { return m_forwarded.address(); }

private:
    /// Row by which this node announces itself to others.
    PeerNode selfWithPorts() const;
    void tick();
    void stopTick();
    void registerNode();
    void updateGauges() const;
    void answerOperators(const http::Request &request, const InfoPort::Reply &reply);
    /// Acts on the evidence of the other nodes.
    void applyFleetEvidence();
    std::string statusDocument() const;
    /// What this node holds of other nodes' evidence, and how old it is.
    nlohmann::json evidenceDocument() const;

    Context m_context;
    StoreClient m_store;
    TableSource m_source;
    TableWatch m_operatorTable;
    TableWatch m_engineTable;
    TableWatch m_statusTable;
    TableWatch m_ownTable;
    evidence::EvidenceExchange m_exchange;
    loads::LoadExchange m_loads;
    evidence::EvidenceRows m_evidenceRows;
    CrashReporter m_crashes;
    RolloutDriver m_rollouts;
    TableServer m_tableServer;
    ConnectionShares m_shares;
    CallerPort m_callers;
    CallerPort m_forwarded;
    ReachProbe m_reachProbe;
    InfoPort m_readiness;
    InfoPort m_operators;
    net::Timer m_tick;
    net::Timer m_stopTick;
    std::function<void()> m_stopped;
    std::optional<base::TimePoint> m_stopBegan;
    bool m_registered = false;
    bool m_registering = false;
    bool m_wasReady = false;
};

} // namespace ibisfork::gateway
