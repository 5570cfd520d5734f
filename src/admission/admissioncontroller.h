#pragma once

#include <functional>
#include <map>
#include <string>

#include <ibisfork/base/metrics.h>

#include "admission/admissionqueue.h"
#include "admission/returntimes.h"
#include "net/timer.h"

namespace ibisfork::admission {

/// Callbacks for a request that waits for upstream capacity.
struct WaitingHandlers
{
    /// Tries to dispatch the request; returns whether it has left the queue.
    std::function<bool()> dispatch;
    /// The request is rejected; its caller should come back after @p retryAfter.
    std::function<void(base::Duration retryAfter)> refuse;
};

/// Queues requests while no upstream has capacity and dispatches them when a request ends or a poll finds capacity.
class AdmissionController
{
public:
    static constexpr std::size_t defaultMaxWaiting = 1000;

    /// @p labels: of the metrics, where a process has several queues.
    AdmissionController(event_base *base,
                        base::MetricsRegistry &metrics,
                        const base::MetricsRegistry::Labels &labels = {},
                        std::size_t maxWaiting = defaultMaxWaiting);

    /// Queues @p request. If the queue is full or the deadline can't be met, refuses it or another waiting request at
    /// once.
    void wait(const WaitingRequest &request, WaitingHandlers handlers);
    /// Removes the request @p id from the queue without calling a handler.
    void remove(const std::string &id);
    const AdmissionQueue &queue() const { return m_queue; }
    /// Bounds what is queued from now on; what waits already stays.
    void setMaxWaiting(std::size_t maxWaiting) { m_queue.setMaxWaiting(maxWaiting); }

    /// Counts a request that was dispatched to an upstream; see AdmissionQueue::recordStart().
    void recordStart(const std::string &workspace, double share, double cost = 1.0)
    {
        m_queue.recordStart(workspace, share, cost);
    }
    /// Notes that a request released its upstream slot after @p time, and serves the queue.
    void recordEnd(base::Duration time);
    /// Notes that a request released its upstream slot without having been served, and serves the queue.
    void recordWithdrawn();

private:
    void wake();
    void dispatchWaiting();
    void refuse(const std::vector<RejectedRequest> &refusals);
    void schedule();

    AdmissionQueue m_queue;
    ReturnTimes m_returns;
    std::map<std::string, WaitingHandlers> m_handlers;
    base::Counter &m_refused;
    base::Gauge &m_waiting;
    net::Timer m_wake;
    net::Timer m_poll;
};

} // namespace ibisfork::admission
