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

/// A request that waits for room at an upstream.
struct WaitingRequest
{
    std::string id;
    std::string workspace;
    /// Requests of one kind find room or none alike.
    std::string kind;
    /// Weight of the workspace among the others.
    double share = 1.0;
    /// Orders the requests of one workspace, highest first.
    int priority = 1;
    base::TimePoint deadline{};
};

/// A request that is not to wait, or to wait no longer.
struct Refusal
{
    std::string id;
    /// When the caller may come back with a chance to be served.
    base::Duration retryAfter{};
};

/// Requests that wait for room, bounded by count and deadline. Room goes to workspaces by their shares, and within a
/// workspace by priority, then age. Not thread-safe.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::size_t mostWaiting);

    /// Queues @p request, or names it among the refused; another may be refused in its place.
    std::vector<Refusal> offer(const WaitingRequest &request, base::TimePoint now);
    /// The waiting requests that can't be served before their deadline any more.
    std::vector<Refusal> expire(base::TimePoint now);
    /// Takes a request out, for instance one whose caller has gone.
    void remove(const std::string &id);

    /// Calls @p dispatch with waiting requests in their order until none finds room; it returns whether one did.
    /// A request that it took is counted by started(), which @p dispatch calls.
    void serve(const std::function<bool(const std::string &id)> &dispatch);

    /// A request of @p workspace, waiting or not, got room.
    void started(const std::string &workspace, double share);
    /// A request that was started left its upstream after @p time.
    void ended(base::Duration time);

    std::size_t size() const { return m_places.size(); }
    /// Whether a request of this kind waits, so that a fresh one must not overtake it.
    bool waits(const std::string &workspace, const std::string &kind) const;
    /// Time that a fresh request would wait, from what runs and how long requests ran of late.
    base::Duration expectedWait(const std::string &workspace, double share, int priority) const;

private:
    /// Highest priority first, then oldest.
    using Place = std::pair<int, std::uint64_t>;

    struct WorkspaceQueue
    {
        std::map<Place, WaitingRequest> waiting;
        double share = 1.0;
        /// Virtual time at which the workspace has had its share of what was served.
        double served = 0.0;
    };

    using Located = std::pair<std::string, Place>;

    const Located *next(const std::set<std::string> &kindsWithoutRoom);
    Located mostOverShare() const;
    double shareOfWaiting() const;
    base::Duration timeToServe() const;
    void take(const Located &located);

    std::size_t m_mostWaiting;
    std::uint64_t m_nextSequence = 0;
    std::map<std::string, WorkspaceQueue> m_workspaces;
    std::map<std::string, Located> m_places;
    double m_virtualTime = 0.0;
    std::uint64_t m_running = 0;
    base::Duration m_serviceTime{};
    base::Duration m_deviation{};
    Located m_next;
};

} // namespace ibisfork::admission
