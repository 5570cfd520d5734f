#pragma once

#include <memory>
#include <random>
#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/metrics.h>
#include <ibisfork/coord/retrybudget.h>
#include <ibisfork/fleet/config.h>

#include "ledger/claimdesk.h"
#include "net/libevent.h"
#include "routing/keyindex.h"
#include "routing/router.h"
#include "serving/admissiondesk.h"
#include "serving/decisionlog.h"
#include "serving/poisonbook.h"
#include "serving/recorder.h"
#include "serving/rolloutsteward.h"
#include "serving/streamcanceller.h"
#include "settings/settings.h"
#include "upstream/concurrencytracker.h"

namespace ibisfork::serving {

/// The configuration of one revision and the router built on it.
struct FleetView
{
    /// The router leaves out upstreams that @p limits has no slots of.
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

/// What the requests of a node share. Used on the serving task's thread only.
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
    /// Whether new work may be dispatched under the view held.
    bool confirmed(base::TimePoint now) const { return view && now < confirmedUntil; }
    /// Whether a newer revision is known and will be acted on in a moment.
    bool catchingUp(base::TimePoint now) const { return now < catchingUpUntil; }

    routing::UpstreamRoom roomAt(const std::string &upstream, base::TimePoint now) const
    {
        const auto resting = restingUntil.find(upstream);
        if (resting != restingUntil.end() && now < resting->second) {
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
    base::TimePoint catchingUpUntil{};
    upstream::ConcurrencyTracker limits;
    AdmissionDesk admission;
    StreamCanceller canceller;
    RolloutSteward rollouts;
    coord::RetryBudget retries;
    PoisonBook poison;
    /// Upstreams that could not be reached or have crashed, and until when they get nothing.
    std::map<std::string, base::TimePoint> restingUntil;
    /// Last known incarnation of each engine, by upstream.
    std::map<std::string, std::string> incarnations;
    Recorder recorder = recordNothing;
    /// Owned by the serving task; outlives the requests.
    ledger::ClaimDesk *claims = nullptr;
};

} // namespace ibisfork::serving
