#pragma once

#include <memory>
#include <random>
#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>
#include <ibisfork/coord/retrybudget.h>
#include <ibisfork/fleet/config.h>

#include "admission/admissioncontroller.h"
#include "ledger/claimdesk.h"
#include "net/libevent.h"
#include "routing/keyindex.h"
#include "routing/router.h"
#include "serving/billrecorder.h"
#include "serving/decisionlog.h"
#include "serving/poisontracker.h"
#include "serving/rolloutcontroller.h"
#include "serving/streamcanceller.h"
#include "settings/settings.h"
#include "upstream/concurrencytracker.h"

namespace ibisfork::serving {

/// The configuration of one revision and the router built on it.
struct FleetView
{
    /// The router skips upstreams for which @p limits holds no slots.
    FleetView(std::shared_ptr<const fleet::Config> newConfig, const upstream::ConcurrencyTracker &limits)
        : config(std::move(newConfig))
        , router(
              *config,
              [&](const std::string &upstream) { return limits.holds(upstream); },
              std::random_device{}())
        , keys(*config)
    { }

    std::shared_ptr<const fleet::Config> config;
    routing::Router router;
    routing::KeyIndex keys;
};

/// State shared by all requests of a node. Used on the serving task's thread only.
struct Context
{
    Context(event_base *eventBase,
            const settings::Settings &nodeSettings,
            base::MetricsRegistry &registry,
            DecisionLog &log,
            const std::string &incarnation)
        : base(eventBase)
        , settings(nodeSettings)
        , metrics(registry)
        , decisions(log)
        , limits(nodeSettings.node.name, incarnation, {nodeSettings.timing.longestRun})
        , admission(eventBase, registry)
        , canceller(eventBase, upstreamTimeouts())
        , rollouts(eventBase, nodeSettings, registry, incarnation)
    { }

    net::HttpTimeouts upstreamTimeouts() const
    {
        return {settings.timing.connectTimeout, settings.timing.upstreamSilence};
    }
    /// Whether requests may be dispatched under the current configuration at @p now.
    bool confirmed(base::TimePoint now) const { return view && now < confirmedUntil; }
    /// Whether a newer revision is known and is about to be applied.
    bool isCatchingUp(base::TimePoint now) const { return now < catchUpDeadline; }

    /// Free slots, running requests and occupancy of @p upstream; no free slots while it is in restingUntil.
    routing::UpstreamCapacity capacityOf(const std::string &upstream, base::TimePoint now) const
    {
        const auto resting = cooldownUntil.find(upstream);
        if (resting != cooldownUntil.end() && now < resting->second) {
            return {0, limits.running(upstream), limits.occupancy(upstream)};
        }
        return {limits.availableCapacity(upstream, now), limits.running(upstream), limits.occupancy(upstream)};
    }

    event_base *base;
    const settings::Settings &settings;
    base::MetricsRegistry &metrics;
    DecisionLog &decisions;
    std::shared_ptr<const FleetView> view;
    base::TimePoint confirmedUntil{};
    base::TimePoint catchUpDeadline{};
    upstream::ConcurrencyTracker limits;
    admission::AdmissionController admission;
    StreamCanceller canceller;
    RolloutController rollouts;
    coord::RetryBudget retries;
    PoisonTracker poison;
    /// Upstreams that were unreachable or crashed, with the time until which they get no requests.
    std::map<std::string, base::TimePoint> cooldownUntil;
    /// Last known incarnation of each engine process, by upstream.
    std::map<std::string, std::string> incarnations;
    BillRecorder recordBill = discardBill;
    /// Not owned; owned by the serving task and outlives the requests.
    ledger::ClaimDesk *claims = nullptr;
};

} // namespace ibisfork::serving
