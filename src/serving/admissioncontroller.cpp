#include "serving/admissioncontroller.h"

namespace ibisfork::serving {

namespace {

constexpr std::size_t maxWaiting = 1000;
/// Capacity also grows through ramp-up, borrowed slots and new revisions, none of which notify this class.
constexpr std::chrono::milliseconds pollInterval{20};

} // namespace

AdmissionController::AdmissionController(event_base *base, base::MetricsRegistry &metrics)
    : m_queue(maxWaiting)
    , m_refused(metrics.counter("ibisfork_admission_refused_total"))
    , m_waiting(metrics.gauge("ibisfork_admission_waiting"))
    , m_wake(base, [this] { dispatchWaiting(); })
    , m_poll(base, [this] { dispatchWaiting(); })
{ }

void AdmissionController::wait(const admission::WaitingRequest &request, WaitingHandlers handlers)
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

void AdmissionController::refuse(const std::vector<admission::RejectedRequest> &refusals)
{
    for (const auto &refusal : refusals) {
        const auto handlers = m_handlers.extract(refusal.id);
        if (!handlers.empty()) {
            m_refused.add();
            handlers.mapped().refuse(refusal.retryAfter);
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

} // namespace ibisfork::serving
