#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include <ibisfork/base/metrics.h>

#include "gateway/connectionpool.h"
#include "gateway/crashtracker.h"
#include "gateway/fleetview.h"
#include "gateway/modelpolicy.h"
#include "gateway/placement.h"
#include "gateway/resendbudget.h"
#include "settings/gatewaysettings.h"

namespace ibisfork::gateway {

/// A mean that follows recent values.
class RecentMean
{
public:
    explicit RecentMean(double initial)
        : m_value(initial)
    { }

    void add(double value);
    double value() const { return m_value; }

private:
    double m_value;
};

ResendBound resendBound(const settings::FleetBounds &bounds);

/// What all exchanges of a node share. It lives on the node's one loop.
struct Context
{
    Context(event_base *base, const settings::GatewaySettings &settings, base::MetricsRegistry &metrics);

    event_base *base;
    settings::GatewaySettings settings;
    base::MetricsRegistry &metrics;
    std::mt19937_64 random;
    FleetView view;
    ConnectionPool pool;
    EnginePlacement placement;
    ResendBudget resends;
    ModelPolicy models;
    CrashTracker crashes;
    /// Tells other nodes how many engines a request took down.
    std::function<void(const std::string &fingerprint, unsigned crashes)> tellCrashes;
    /// Seconds to the first byte of an answer, by route.
    std::map<std::string, RecentMean> firstBytes;
    /// The same as a share of the route's objective; 0 before there is any answer.
    std::map<std::string, RecentMean> pressures;
    /// The node is shutting down; connections close behind their answers.
    bool stopping = false;
    /// So late in the shutdown that a stream which begins now may not end in time.
    bool stoppingLate = false;

    RecentMean &firstByte(const std::string &route);
    RecentMean &pressure(const std::string &route);
};

} // namespace ibisfork::gateway
