#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <ibisfork/base/metrics.h>

#include "admission/admissioncontroller.h"
#include "gateway/callerresults.h"
#include "gateway/connectionpool.h"
#include "gateway/crashtracker.h"
#include "gateway/enginereach.h"
#include "gateway/enginereserver.h"
#include "gateway/fleetview.h"
#include "gateway/modelpolicy.h"
#include "gateway/peerselector.h"
#include "gateway/placement.h"
#include "gateway/resendbudget.h"
#include "gateway/slowcallers.h"
#include "hedging/hedgebudget.h"
#include "hedging/recenttimes.h"
#include "memory/memorybudget.h"
#include "settings/gatewaysettings.h"

namespace ibisfork::gateway {

/// Exponentially weighted moving average.
class MovingAverage
{
public:
    explicit MovingAverage(double initial)
        : m_value(initial)
    { }

    void add(double value);
    double value() const { return m_value; }

private:
    double m_value;
};

ResendBound resendBound(const settings::FleetBounds &bounds);

/// A run whose connection was lost before its answer was whole.
struct LostRun
{
    /// The engine's entry when the run was sent.
    EngineEntry engine;
    std::vector<RequestTrait> traits;
};

/// State shared by all exchanges of a node. Used only on the node's event loop.
struct Context
{
    Context(event_base *base, const settings::GatewaySettings &settings, base::MetricsRegistry &metrics);

    event_base *base;
    settings::GatewaySettings settings;
    base::MetricsRegistry &metrics;
    /// What the node may hold for callers, engines and other nodes.
    memory::BudgetPtr memory;
    std::mt19937_64 random;
    FleetView view;
    ConnectionPool pool;
    EnginePlacement placement;
    ResendBudget resends;
    hedging::HedgeBudget hedges;
    ModelPolicy models;
    CrashTracker crashes;
    EngineReach reach;
    /// Idle connections to other nodes, by their names.
    ConnectionPool peerPool;
    PeerSelector peers;
    EngineReserver reserver;
    CallerResults results;
    SlowCallers slowCallers;
    /// Called with an engine that may have ended or pause, or that this node may have lost the path to.
    std::function<void(const EngineEntry &)> checkPath;
    /// Called with each run that was lost before it had begun to be answered.
    std::function<void(const LostRun &)> reportLostRun;
    /// Called with what an engine says of its load, for the other nodes.
    std::function<void(const load::Report &)> shareReport;
    /// The store's steady clock, as far as it is known.
    std::function<StoreTime()> storeNow;
    /// Average time to the first byte of an answer in seconds, by route.
    std::map<std::string, MovingAverage> firstByteTimes;
    /// Average time to the first byte as a share of the route's objective, by route; 0 before the first answer.
    std::map<std::string, MovingAverage> latencyRatios;
    /// Queues of requests that wait for an engine, by service.
    std::map<std::string, std::unique_ptr<admission::AdmissionController>> queues;
    std::uint64_t nextQueueId = 0;
    /// Times from the sending of a request to its whole answer, by route; kept while second copies are allowed.
    std::map<std::string, hedging::RecentTimes> wholeAnswerTimes;
    /// The node is shutting down; connections are closed after their answers.
    bool stopping = false;
    /// So late in the shutdown that a stream started now may not end in time.
    bool rejectsNewStreams = false;
    /// While the node shuts down: when it ends the requests that still run.
    std::optional<base::TimePoint> endsRequestsAt;

    /// Asks engines of @p service for their health over new connections, as many as show whether the node has a path to
    /// them; at most once a second for a service, and only if other nodes may serve for this one.
    void checkPaths(const std::string &service);
    /// As above, asks one engine, at most five times a second for a service.
    void checkOnePath(const std::string &service);

    /// Records that no connection to an engine could be established.
    void recordEngineUnreachable(const std::string &service, const std::string &engine);
    /// Records that an engine was silent on a connection.
    void recordEngineSilent(const std::string &service, const std::string &engine);
    /// Records that an engine has answered, on a connection established at @p connectedAt if that is known. If the node
    /// was cut off from the service until now, the faults that it saw meanwhile say nothing about the engines.
    void recordEngineAnswered(const std::string &service,
                              const std::string &engine,
                              std::optional<base::TimePoint> connectedAt = std::nullopt);

    /// Records that a process of an engine has said that it leaves, in the answer to the request @p requestId.
    void recordEngineLeaving(const std::string &service, const EngineProcess &engine, const std::string &requestId);

    /// Records the rest that an engine asks for in @p answer, to the request @p requestId, if it does.
    void recordEngineRest(const std::string &service,
                          const EngineProcess &engine,
                          const EngineAnswer &answer,
                          const std::string &requestId);

    /// True if there are other nodes that accept forwarded requests.
    bool knowsForwardingPeers() const;

    MovingAverage &firstByteTime(const std::string &route);
    MovingAverage &latencyRatio(const std::string &route);
    /// The queue of @p service; null if requests don't wait.
    admission::AdmissionController *queueOf(const std::string &service);

private:
    void onCutOff(const std::string &service, const std::string &engine);
    /// True if paths may be checked, the last time being @p checkedAt, which becomes now then.
    bool isPathCheckDue(std::optional<base::TimePoint> &checkedAt, base::Duration interval) const;
    /// Asks @p most engines of @p service for their health, or fewer if no more of them may be asked.
    void checkSomePaths(const std::string &service, std::size_t most);

    /// When paths were last checked, by service.
    std::map<std::string, std::optional<base::TimePoint>> m_pathsCheckedAt;
    /// As above, for checkOnePath().
    std::map<std::string, std::optional<base::TimePoint>> m_onePathCheckedAt;
};

} // namespace ibisfork::gateway
