#include "admission/admissioncontroller.h"

namespace ibisfork::admission {

namespace {

/// Capacity also grows through ramp-up, borrowed slots, new revisions and requests of other nodes that end, none of
/// which notify this class.
constexpr std::chrono::milliseconds pollInterval{20};

} // namespace

AdmissionController::AdmissionController(event_base *base,
                                         base::MetricsRegistry &metrics,
                                         const base::MetricsRegistry::Labels &labels,
                                         std::size_t maxWaiting)
    : m_queue(maxWaiting)
    , m_refused(metrics.counter("ibisfork_admission_refused_total", labels))
    , m_waiting(metrics.gauge("ibisfork_admission_waiting", labels))
    , m_wake(base, [this] { dispatchWaiting(); })
    , m_poll(base, [this] { dispatchWaiting(); })
{ }

void AdmissionController::wait(const WaitingRequest &request, WaitingHandlers handlers)
{
    m_handlers[request.id] = std::move(handlers);
    refuse(m_queue.enqueue(request, base::monotonicNow()));
    schedule();
}

void AdmissionController::remove(const std::string &id)
{
    m_queue.remove(id);
    m_handlers.erase(id);
    m_waiting.set(static_cast<std::int64_t>(m_queue.size()));
}

void AdmissionController::recordEnd(base::Duration time)
{
    m_queue.recordEnd(time);
    wake();
}

void AdmissionController::recordWithdrawn()
{
    m_queue.recordWithdrawn();
    wake();
}

void AdmissionController::wake()
{
    if (m_queue.size() > 0) {
        // Deferred to the event loop, so that no other request is dispatched from inside the one that ends.
        m_wake.startOnce({});
    }
}

void AdmissionController::dispatchWaiting()
{
    refuse(m_queue.expire(base::monotonicNow()));
    m_queue.dispatchWaiting([this](const std::string &id) {
        const auto dispatch = m_handlers.at(id).dispatch;
        const bool served = dispatch();
        if (served) {
            m_handlers.erase(id);
        }
        return served;
    });
    schedule();
}

void AdmissionController::refuse(const std::vector<RejectedRequest> &refusals)
{
    const auto now = base::monotonicNow();
    for (const auto &refusal : refusals) {
        const auto handlers = m_handlers.extract(refusal.id);
        if (!handlers.empty()) {
            m_refused.add();
            handlers.mapped().refuse(m_returns.next(refusal.retryAfter, m_queue.releaseInterval(), now));
        }
    }
}

void AdmissionController::schedule()
{
    m_waiting.set(static_cast<std::int64_t>(m_queue.size()));
    if (m_queue.size() > 0) {
        m_poll.startOnce(pollInterval);
    } else {
        m_poll.stop();
    }
}

} // namespace ibisfork::admission
