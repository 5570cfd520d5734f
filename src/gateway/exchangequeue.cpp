#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/exchangelimits.h"
#include "http/status.h"
#include "net/guard.h"

namespace ibisfork::gateway {

namespace {

/// A request is expected to take at most one part in this many of its route's objective once it is sent.
constexpr int serveDivisor = 2;
/// Callers that are told to come back after more than one part in this many of their time may not come back at all.
constexpr int returnDivisor = 3;

} // namespace

int Exchange::rank() const
{
    return std::clamp(m_priority.value_or(m_route->priority), 0, lowestPriority);
}

// Of requests that may have run, a refusal would not be true; they wait in another way.
const admission::AdmissionQueue *Exchange::usableQueue() const
{
    const auto *controller = m_mayHaveRun || m_streamBegun ? nullptr : m_context.queueOf(m_service);
    return controller == nullptr ? nullptr : &controller->queue();
}

std::optional<load::RoomLimit> Exchange::roomLimit() const
{
    const auto *queue = usableQueue();
    if (queue == nullptr) {
        return std::nullopt;
    }
    load::RoomLimit limit;
    limit.mayWaitAtEngine = rank() <= m_configuration->mostUrgentPriority(m_service);
    limit.runTime = queue->meanServiceTime();
    return limit;
}

std::string Exchange::queueKind() const
{
    auto tried = m_tried;
    std::sort(tried.begin(), tried.end());
    return fmt::format("{}/{}", static_cast<int>(m_preference), fmt::join(tried, ","));
}

bool Exchange::mustYield() const
{
    const auto *queue = m_hasTurn ? nullptr : usableQueue();
    return queue != nullptr && queue->size() > 0 && queue->hasWaitingUpTo(rank(), queueKind());
}

void Exchange::awaitRoom()
{
    auto *queue = m_context.queueOf(m_service);
    if (std::exchange(m_hasTurn, false)) {
        // Its turn has passed without room; it keeps its place.
        return;
    }
    const auto now = base::monotonicNow();
    m_phase = Phase::Waiting;
    m_retryAt = m_deadline;
    arm();
    m_queue = queue;
    m_queuedAt = now;
    m_queueId = fmt::format("{}", m_context.nextQueueId++);
    admission::WaitingRequest waiting{m_queueId, m_workspace, queueKind()};
    // An objective of 0 is none.
    const auto objective = m_route->objective.count() > 0 ? m_route->objective : m_route->timeout;
    waiting.deadline = std::min<base::TimePoint>(m_deadline, m_start + objective);
    waiting.rank = rank();
    const std::chrono::duration<double> usual(m_context.firstByteTime(m_route->name).value());
    waiting.timeToServe
        = std::min<base::Duration>(std::chrono::duration_cast<base::Duration>(usual), objective / serveDivisor);
    EventLog::routine("queued")
        .field("id", m_call.id)
        .field("service", m_service)
        .field("rank", rank())
        .field("waiting", queue->queue().size())
        .field("expected_wait_ms", base::toMilliseconds(queue->queue().expectedWait(m_workspace, 1, 1, rank())));
    queue->wait(waiting,
                {[this] { return takeTurn(); },
                 [this](base::Duration retryAfter) {
                     refuseQueued(retryAfter);
                 }});
}

bool Exchange::takeTurn()
{
    const auto id = m_queueId;
    const bool sound = net::runGuarded("request", [this] {
        if (m_configuration != m_context.view.configuration() || mayOutlastNode()) {
            // The routes and keys in force decide, and a node that stops takes on no more than it can end.
            leaveQueue();
            begin();
            return;
        }
        m_hasTurn = true;
        dispatch();
        if (std::exchange(m_hasTurn, false)) {
            leaveQueue();
        }
    });
    if (!sound) {
        abort();
    }
    return m_queueId != id;
}

void Exchange::recordQueued()
{
    const auto waited = base::monotonicNow() - m_queuedAt;
    m_queuedFor += waited;
    m_context.metrics.histogram("ibisfork_queue_wait_seconds", {{"service", m_service}})
        .observe(base::toSeconds(waited));
}

void Exchange::refuseQueued(base::Duration retryAfter)
{
    if (!net::runGuarded("request", [&] { refuseForRoom(retryAfter); })) {
        abort();
    }
}

void Exchange::refuseForRoom(base::Duration retryAfter)
{
    recordQueued();
    m_queueId.clear();
    const auto most = std::max<base::Duration>((m_deadline - base::monotonicNow()) / returnDivisor, retryAfterFull);
    const auto after = std::clamp<base::Duration>(retryAfter, retryAfterFull, most);
    refuse(http::status::unavailable, "no_room_in_time", std::chrono::ceil<std::chrono::milliseconds>(after));
}

void Exchange::leaveQueue()
{
    if (!m_queueId.empty()) {
        recordQueued();
        m_queue->remove(std::exchange(m_queueId, {}));
    }
}

} // namespace ibisfork::gateway
