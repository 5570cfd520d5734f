#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <ibisfork/base/clock.h>

namespace ibisfork::admission {

/// A request that waits for free capacity at an upstream.
struct WaitingRequest
{
    std::string id;
    std::string workspace;
    /// Requests of the same kind need the same capacity: if one can't be dispatched, none of them can.
    std::string kind;
    /// Weight of the workspace relative to the others; greater than 0.
    double share = 1.0;
    /// Priority within the workspace; higher values are served first.
    int priority = 1;
    /// Time by which the request must have ended.
    base::TimePoint deadline{};
};

/// A request that was rejected on arrival or removed from the queue without being served.
struct RejectedRequest
{
    std::string id;
    /// Time after which a retry is likely to be served.
    base::Duration retryAfter{};
};

/// Queue of requests that wait for upstream capacity, bounded by count and deadlines. Uses weighted fair queueing
/// between workspaces; within a workspace the order is by priority, then by age. Not thread-safe.
class AdmissionQueue
{
public:
    /// @p maxWaiting is the maximum number of waiting requests.
    explicit AdmissionQueue(std::size_t maxWaiting);

    /// Queues @p request. Returns the rejected requests: @p request itself if it can't meet its deadline, or, if the
    /// queue is full, the last request of the workspace that is most over its share.
    std::vector<RejectedRequest> enqueue(const WaitingRequest &request, base::TimePoint now);
    /// Removes and returns the waiting requests that can no longer be served before their deadline.
    std::vector<RejectedRequest> expire(base::TimePoint now);
    /// Removes a request, for example after its caller disconnected. Unknown ids are ignored.
    void remove(const std::string &id);

    /// Calls @p dispatch with the ids of waiting requests, in order, until none can be dispatched. @p dispatch returns
    /// whether it dispatched the request, and must call recordStart() if it did.
    void dispatchWaiting(const std::function<bool(const std::string &id)> &dispatch);

    /// Records that a request of @p workspace, whether it was queued or not, was sent to an upstream.
    void recordStart(const std::string &workspace, double share);
    /// Records that a started request ended after running for @p time.
    void recordEnd(base::Duration time);

    /// Number of waiting requests.
    std::size_t size() const { return m_locations.size(); }
    /// Whether a request of @p workspace and @p kind is waiting, so that a new one must not overtake it.
    bool hasWaiting(const std::string &workspace, const std::string &kind) const;
    /// Estimated waiting time of a new request, from the number of running requests and the mean service time.
    base::Duration expectedWait(const std::string &workspace, double share, int priority) const;

private:
    /// Negated priority and sequence number: highest priority first, then oldest.
    using Position = std::pair<int, std::uint64_t>;

    struct WorkspaceQueue
    {
        std::map<Position, WaitingRequest> waiting;
        double share = 1.0;
        /// Virtual time at which the workspace may start its next request under its share.
        double virtualFinish = 0.0;
    };

    /// Workspace and position of a waiting request.
    using Location = std::pair<std::string, Position>;

    const Location *next(const std::set<std::string> &blockedKinds);
    Location mostOverShare() const;
    double totalWaitingShare() const;
    base::Duration timeToServe() const;
    void erase(const Location &location);

    std::size_t m_maxWaiting;
    std::uint64_t m_nextSequence = 0;
    std::map<std::string, WorkspaceQueue> m_workspaces;
    std::map<std::string, Location> m_locations;
    double m_virtualTime = 0.0;
    std::uint64_t m_running = 0;
    base::Duration m_serviceTime{};
    base::Duration m_deviation{};
    Location m_next;
};

} // namespace ibisfork::admission
