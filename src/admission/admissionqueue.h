#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
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
    /// Priority within the workspace; higher values are served first, unlike those of rank.
    int priority = 1;
    /// Time by which the request must have ended.
    base::TimePoint deadline{};
    /// Urgency that the operators give, whatever the workspace; lower values are served first.
    int rank = 0;
    /// Time that the request takes once it is dispatched; that of recent requests if unknown.
    std::optional<base::Duration> timeToServe{};
};

/// A request that was rejected on arrival or removed from the queue without being served.
struct RejectedRequest
{
    std::string id;
    /// Time after which a retry is likely to be served.
    base::Duration retryAfter{};
};

/// Queue of requests that wait for upstream capacity, bounded by count and deadlines. The order is by rank; within a
/// rank it uses weighted fair queueing between workspaces, and within a workspace priority, then age. Not thread-safe.
class AdmissionQueue
{
public:
    /// @p maxWaiting is the maximum number of waiting requests.
    explicit AdmissionQueue(std::size_t maxWaiting);
    void setMaxWaiting(std::size_t maxWaiting) { m_maxWaiting = maxWaiting; }

    /// Queues @p request. Returns the rejected requests: @p request itself if it can't meet its deadline, or, if the
    /// queue is full, the last request of the workspace that is most over its share among those of the last rank.
    std::vector<RejectedRequest> enqueue(const WaitingRequest &request, base::TimePoint now);
    /// Removes and returns the waiting requests that can no longer be served before their deadline.
    std::vector<RejectedRequest> expire(base::TimePoint now);
    /// Removes a request, for example after its caller disconnected. Unknown ids are ignored.
    void remove(const std::string &id);

    /// Calls @p dispatch with the ids of waiting requests, in order, until none can be dispatched. @p dispatch returns
    /// whether it dispatched the request, and must call recordStart() if it did.
    void dispatchWaiting(const std::function<bool(const std::string &id)> &dispatch);

    /// Records that a request of @p workspace, whether it was queued or not, was sent to an upstream. @p cost: its
    /// work, in a unit that all requests of the queue share.
    void recordStart(const std::string &workspace, double share, double cost = 1.0);
    /// Records that a started request ended after running for @p time.
    void recordEnd(base::Duration time);
    /// Records that a started request ended without having been served, for example because it was refused.
    void recordWithdrawn();

    /// Number of waiting requests.
    std::size_t size() const { return m_locations.size(); }
    /// Whether a request of @p workspace and @p kind is waiting, so that a new one must not overtake it.
    bool hasWaiting(const std::string &workspace, const std::string &kind) const;
    /// Whether a request of @p kind that is at least as urgent as @p rank is waiting, of any workspace.
    bool hasWaitingUpTo(int rank, const std::string &kind) const;
    /// Estimated waiting time of a new request, from the number of running requests and the mean service time.
    base::Duration expectedWait(const std::string &workspace, double share, int priority, int rank = 0) const;
    /// Mean time that requests ran of late; zero before the first has ended.
    base::Duration meanServiceTime() const { return m_serviceTime; }
    /// Expected time between two requests that end; zero if none runs.
    base::Duration releaseInterval() const;
    /// Number of waiting requests of each workspace that has any.
    std::map<std::string, std::size_t> waitingByWorkspace() const;

private:
    /// Rank, negated priority and sequence number: most urgent first, then highest priority, then oldest.
    using Position = std::tuple<int, int, std::uint64_t>;

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
    /// Rank of the least urgent waiting request.
    int lastRank() const;
    /// Number of waiting requests of @p rank in @p queue.
    static std::size_t countOfRank(const WorkspaceQueue &queue, int rank);
    base::Duration timeToServe(const WaitingRequest &request) const;
    void erase(const Location &location);

    std::size_t m_maxWaiting;
    std::uint64_t m_nextSequence = 0;
    std::map<std::string, WorkspaceQueue> m_workspaces;
    std::map<std::string, Location> m_locations;
    /// Number of waiting requests by kind and rank.
    std::map<std::pair<std::string, int>, std::size_t> m_counts;
    double m_virtualTime = 0.0;
    std::uint64_t m_running = 0;
    base::Duration m_serviceTime{};
    base::Duration m_deviation{};
    Location m_next;
};

} // namespace ibisfork::admission
