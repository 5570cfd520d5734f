#include "admission/admissionqueue.h"

#include <algorithm>
#include <limits>

namespace ibisfork::admission {

namespace {

/// Weight of the newest request in the moving averages of service time and its deviation.
constexpr double serviceTimeWeight = 0.05;

base::Duration scaled(base::Duration duration, double factor)
{
    return base::Duration(static_cast<base::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t maxWaiting)
    : m_maxWaiting(maxWaiting)
{ }

std::vector<RejectedRequest> AdmissionQueue::enqueue(const WaitingRequest &request, base::TimePoint now)
{
    const auto wait = expectedWait(request.workspace, request.share, request.priority, request.rank);
    if (now + wait + timeToServe(request) > request.deadline) {
        return {{request.id, wait}};
    }
    auto &queue = m_workspaces[request.workspace];
    queue.share = request.share;
    const Position position{request.rank, -request.priority, m_nextSequence++};
    queue.waiting[position] = request;
    m_locations[request.id] = {request.workspace, position};
    ++m_counts[{request.kind, request.rank}];
    if (m_locations.size() <= m_maxWaiting) {
        return {};
    }
    const auto evicted = mostOverShare();
    const auto rejected = m_workspaces.at(evicted.first).waiting.at(evicted.second);
    erase(evicted);
    return {{rejected.id, expectedWait(rejected.workspace, rejected.share, rejected.priority, rejected.rank)}};
}

std::vector<RejectedRequest> AdmissionQueue::expire(base::TimePoint now)
{
    std::vector<RejectedRequest> rejected;
    for (const auto &[name, queue] : m_workspaces) {
        for (const auto &[position, request] : queue.waiting) {
            if (now + timeToServe(request) > request.deadline) {
                rejected.push_back({request.id, expectedWait(name, queue.share, request.priority, request.rank)});
            }
        }
    }
    for (const auto &request : rejected) {
        remove(request.id);
    }
    return rejected;
}

void AdmissionQueue::remove(const std::string &id)
{
    const auto location = m_locations.find(id);
    if (location != m_locations.end()) {
        erase(Location(location->second));
    }
}

void AdmissionQueue::dispatchWaiting(const std::function<bool(const std::string &id)> &dispatch)
{
    std::set<std::string> blockedKinds;
    while (const auto *location = next(blockedKinds)) {
        const auto request = m_workspaces.at(location->first).waiting.at(location->second);
        if (dispatch(request.id)) {
            remove(request.id);
        } else {
            blockedKinds.insert(request.kind);
        }
    }
}

void AdmissionQueue::recordStart(const std::string &workspace, double share, double cost)
{
    ++m_running;
    auto &queue = m_workspaces[workspace];
    queue.share = share;
    // An idle workspace accumulates no credit.
    const auto start = std::max(queue.virtualFinish, m_virtualTime);
    queue.virtualFinish = start + cost / share;
    m_virtualTime = start;
}

void AdmissionQueue::recordEnd(base::Duration time)
{
    recordWithdrawn();
    if (m_serviceTime.count() == 0) {
        m_serviceTime = time;
        return;
    }
    const auto deviation = time > m_serviceTime ? time - m_serviceTime : m_serviceTime - time;
    m_deviation = scaled(m_deviation, 1.0 - serviceTimeWeight) + scaled(deviation, serviceTimeWeight);
    m_serviceTime = scaled(m_serviceTime, 1.0 - serviceTimeWeight) + scaled(time, serviceTimeWeight);
}

void AdmissionQueue::recordWithdrawn()
{
    m_running -= m_running > 0 ? 1 : 0;
}

base::Duration AdmissionQueue::releaseInterval() const
{
    return m_running == 0 ? base::Duration::zero() : scaled(m_serviceTime, 1.0 / static_cast<double>(m_running));
}

// Pessimistic estimate: a request that starts but misses its deadline wastes capacity that another could have used.
base::Duration AdmissionQueue::timeToServe(const WaitingRequest &request) const
{
    constexpr int deviations = 2;
    return request.timeToServe.value_or(m_serviceTime + deviations * m_deviation);
}

bool AdmissionQueue::hasWaiting(const std::string &workspace, const std::string &kind) const
{
    const auto queue = m_workspaces.find(workspace);
    return queue != m_workspaces.end()
        && std::any_of(queue->second.waiting.begin(), queue->second.waiting.end(), [&](const auto &entry) {
               return entry.second.kind == kind;
           });
}

bool AdmissionQueue::hasWaitingUpTo(int rank, const std::string &kind) const
{
    const auto first = m_counts.lower_bound({kind, std::numeric_limits<int>::min()});
    return first != m_counts.end() && first->first.first == kind && first->first.second <= rank;
}

std::map<std::string, std::size_t> AdmissionQueue::waitingByWorkspace() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[name, queue] : m_workspaces) {
        if (!queue.waiting.empty()) {
            counts[name] = queue.waiting.size();
        }
    }
    return counts;
}

std::size_t AdmissionQueue::countOfRank(const WorkspaceQueue &queue, int rank)
{
    constexpr int first = std::numeric_limits<int>::min();
    const auto begin = queue.waiting.lower_bound({rank, first, 0});
    const auto end = queue.waiting.lower_bound({rank + 1, first, 0});
    return static_cast<std::size_t>(std::distance(begin, end));
}

// Each running request ends after one mean service time, which gives the rate at which capacity becomes free. What is
// more urgent is served first. Of the rest of the rate a workspace gets its share, or all of it if no other workspace
// has requests of the same rank waiting.
base::Duration AdmissionQueue::expectedWait(const std::string &workspace, double share, int priority, int rank) const
{
    if (m_running == 0) {
        return {};
    }
    std::size_t moreUrgent = 0;
    std::size_t ofRank = 0;
    double shares = share;
    for (const auto &[name, queue] : m_workspaces) {
        const auto here = countOfRank(queue, rank);
        const auto before = queue.waiting.lower_bound({rank, std::numeric_limits<int>::min(), 0});
        moreUrgent += static_cast<std::size_t>(std::distance(queue.waiting.begin(), before));
        ofRank += here;
        shares += here > 0 && name != workspace ? queue.share : 0.0;
    }
    const auto own = m_workspaces.find(workspace);
    std::size_t ahead = 0;
    if (own != m_workspaces.end()) {
        // Positions are ordered by descending priority.
        const auto &waiting = own->second.waiting;
        const auto begin = waiting.lower_bound({rank, std::numeric_limits<int>::min(), 0});
        const auto after = waiting.lower_bound({rank, -priority + 1, 0});
        ahead = static_cast<std::size_t>(std::distance(begin, after));
    }
    const auto byShare = static_cast<double>(ahead + 1) * shares / share;
    const auto byAll = static_cast<double>(ofRank + 1);
    const auto turns = static_cast<double>(moreUrgent) + std::min(byShare, byAll);
    return scaled(m_serviceTime, turns / static_cast<double>(m_running));
}

const AdmissionQueue::Location *AdmissionQueue::next(const std::set<std::string> &blockedKinds)
{
    const WorkspaceQueue *best = nullptr;
    for (const auto &[name, queue] : m_workspaces) {
        const auto request = std::find_if(queue.waiting.begin(), queue.waiting.end(), [&](const auto &entry) {
            return !blockedKinds.contains(entry.second.kind);
        });
        if (request == queue.waiting.end()) {
            continue;
        }
        const auto order = [this](int rank, const WorkspaceQueue &of) {
            return std::pair(rank, std::max(of.virtualFinish, m_virtualTime));
        };
        const bool isFirst
            = best == nullptr || order(request->second.rank, queue) < order(std::get<0>(m_next.second), *best);
        if (isFirst) {
            best = &queue;
            m_next = {name, request->first};
        }
    }
    return best == nullptr ? nullptr : &m_next;
}

int AdmissionQueue::lastRank() const
{
    int last = std::numeric_limits<int>::min();
    for (const auto &[name, queue] : m_workspaces) {
        if (!queue.waiting.empty()) {
            last = std::max(last, queue.waiting.rbegin()->second.rank);
        }
    }
    return last;
}

AdmissionQueue::Location AdmissionQueue::mostOverShare() const
{
    const auto rank = lastRank();
    Location location;
    double most = 0.0;
    for (const auto &[name, queue] : m_workspaces) {
        const auto overShare = static_cast<double>(countOfRank(queue, rank)) / queue.share;
        if (overShare > most) {
            most = overShare;
            location = {name, queue.waiting.rbegin()->first};
        }
    }
    return location;
}

void AdmissionQueue::erase(const Location &location)
{
    auto &queue = m_workspaces.at(location.first);
    const auto request = queue.waiting.find(location.second);
    const auto count = m_counts.find({request->second.kind, request->second.rank});
    if (--count->second == 0) {
        m_counts.erase(count);
    }
    m_locations.erase(request->second.id);
    queue.waiting.erase(request);
}

} // namespace ibisfork::admission
