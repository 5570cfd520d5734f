#include "admission/admissionqueue.h"

#include <algorithm>

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
    const auto wait = expectedWait(request.workspace, request.share, request.priority);
    if (now + wait + timeToServe() > request.deadline) {
        return {{request.id, wait}};
    }
    auto &queue = m_workspaces[request.workspace];
    queue.share = request.share;
    const Position position{-request.priority, m_nextSequence++};
    queue.waiting[position] = request;
    m_locations[request.id] = {request.workspace, position};
    if (m_locations.size() <= m_maxWaiting) {
        return {};
    }
    const auto evicted = mostOverShare();
    const auto rejected = m_workspaces.at(evicted.first).waiting.at(evicted.second);
    erase(evicted);
    return {{rejected.id, expectedWait(rejected.workspace, rejected.share, rejected.priority)}};
}

std::vector<RejectedRequest> AdmissionQueue::expire(base::TimePoint now)
{
    std::vector<RejectedRequest> rejected;
    for (const auto &[name, queue] : m_workspaces) {
        for (const auto &[position, request] : queue.waiting) {
            if (now + timeToServe() > request.deadline) {
                rejected.push_back({request.id, expectedWait(name, queue.share, request.priority)});
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

void AdmissionQueue::recordStart(const std::string &workspace, double share)
{
    ++m_running;
    auto &queue = m_workspaces[workspace];
    queue.share = share;
    // An idle workspace accumulates no credit.
    const auto start = std::max(queue.virtualFinish, m_virtualTime);
    queue.virtualFinish = start + 1.0 / share;
    m_virtualTime = start;
}

void AdmissionQueue::recordEnd(base::Duration time)
{
    m_running -= m_running > 0 ? 1 : 0;
    if (m_serviceTime.count() == 0) {
        m_serviceTime = time;
        return;
    }
    const auto deviation = time > m_serviceTime ? time - m_serviceTime : m_serviceTime - time;
    m_deviation = scaled(m_deviation, 1.0 - serviceTimeWeight) + scaled(deviation, serviceTimeWeight);
    m_serviceTime = scaled(m_serviceTime, 1.0 - serviceTimeWeight) + scaled(time, serviceTimeWeight);
}

// Pessimistic estimate: a request that starts but misses its deadline wastes capacity that another could have used.
base::Duration AdmissionQueue::timeToServe() const
{
    constexpr int deviations = 2;
    return m_serviceTime + deviations * m_deviation;
}

bool AdmissionQueue::hasWaiting(const std::string &workspace, const std::string &kind) const
{
    const auto queue = m_workspaces.find(workspace);
    return queue != m_workspaces.end()
        && std::any_of(queue->second.waiting.begin(), queue->second.waiting.end(), [&](const auto &entry) {
               return entry.second.kind == kind;
           });
}

// Each running request ends after one mean service time, which gives the rate at which capacity becomes free. A
// workspace gets its share of this rate, or all of the rate if no other workspace has waiting requests.
base::Duration AdmissionQueue::expectedWait(const std::string &workspace, double share, int priority) const
{
    if (m_running == 0) {
        return {};
    }
    const auto queue = m_workspaces.find(workspace);
    std::size_t ahead = 0;
    double shares = totalWaitingShare();
    if (queue != m_workspaces.end()) {
        // Positions are ordered by descending priority.
        const auto after = queue->second.waiting.lower_bound({-priority + 1, 0});
        ahead = static_cast<std::size_t>(std::distance(queue->second.waiting.begin(), after));
    }
    if (queue == m_workspaces.end() || queue->second.waiting.empty()) {
        shares += share;
    }
    const auto byShare = static_cast<double>(ahead + 1) * shares / share;
    const auto byAll = static_cast<double>(m_locations.size() + 1);
    return scaled(m_serviceTime, std::min(byShare, byAll) / static_cast<double>(m_running));
}

const AdmissionQueue::Location *AdmissionQueue::next(const std::set<std::string> &blockedKinds)
{
    const WorkspaceQueue *best = nullptr;
    for (const auto &[name, queue] : m_workspaces) {
        if (best != nullptr
            && std::max(queue.virtualFinish, m_virtualTime) >= std::max(best->virtualFinish, m_virtualTime)) {
            continue;
        }
        const auto request = std::find_if(queue.waiting.begin(), queue.waiting.end(), [&](const auto &entry) {
            return !blockedKinds.contains(entry.second.kind);
        });
        if (request != queue.waiting.end()) {
            best = &queue;
            m_next = {name, request->first};
        }
    }
    return best == nullptr ? nullptr : &m_next;
}

AdmissionQueue::Location AdmissionQueue::mostOverShare() const
{
    Location location;
    double most = -1.0;
    for (const auto &[name, queue] : m_workspaces) {
        const auto overShare = static_cast<double>(queue.waiting.size()) / queue.share;
        if (!queue.waiting.empty() && overShare > most) {
            most = overShare;
            location = {name, queue.waiting.rbegin()->first};
        }
    }
    return location;
}

double AdmissionQueue::totalWaitingShare() const
{
    double shares = 0.0;
    for (const auto &[name, queue] : m_workspaces) {
        shares += queue.waiting.empty() ? 0.0 : queue.share;
    }
    return shares;
}

void AdmissionQueue::erase(const Location &location)
{
    auto &queue = m_workspaces.at(location.first);
    const auto request = queue.waiting.find(location.second);
    m_locations.erase(request->second.id);
    queue.waiting.erase(request);
}

} // namespace ibisfork::admission
