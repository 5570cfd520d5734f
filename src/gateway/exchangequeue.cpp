#include <algorithm>

#include <fmt/format.h>

#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/exchangelimits.h"
#include "http/status.h"
#include "net/guard.h"

namespace ibisfork::gateway {

namespace {

/// Rank of a request whose route and workspace name no priority.
constexpr int usualRank = 5;
/// A request is expected to take at most this part of its route's objective once it is sent.
constexpr int serveDivisor = 2;
/// Callers that are told to come back later than after this part of their time may not come back at all.
constexpr int returnDivisor = 3;

} // namespace

int Exchange::rank() const
{
    return m_priority.value_or(usualRank);
}

// Of requests that may have run, a refusal would not be true; they wait in another way.
bool Exchange::mayQueue() const
{
    return !m_mayHaveRun && !m_streamBegun && m_context.queueOf(m_service) != nullptr;
}

std::optional<load::RoomLimit> Exchange::roomLimit()
{
    if (!mayQueue()) {
        return std::nullopt;
    }
    load::RoomLimit limit;
    limit.mayWaitAtEngine = rank() <= m_configuration->mostUrgentPriority(m_service);
    limit.runTime = m_context.queueOf(m_service)->queue().meanServiceTime();
    return limit;
}

std::string Exchange::queueKind() const
{
    // Engines that have refused the request may take others.
    return fmt::format("{}/{}", static_cast<int>(m_preference), m_tried.empty() ? "first" : "again");
}

bool Exchange::mustYield() const
{
    return !m_hasTurn && mayQueue() && m_context.queueOf(m_service)->queue().hasWaitingUpTo(rank(), queueKind());
}

void Exchange::awaitRoom()
{
    auto *queue = m_context.queueOf(m_service);
    if (m_hasTurn && m_queue == queue) {
        // Its turn has passed without room; it keeps its place.
        m_hasTurn = false;
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
    waiting.deadline = std::min<base::TimePoint>(m_deadline, m_start + m_route->objective);
    waiting.rank = rank();
    const std::chrono::duration<double> usual(m_context.firstByteTime(m_route->name).value());
    waiting.timeToServe = std::min<base::Duration>(std::chrono::duration_cast<base::Duration>(usual),
                                                   m_route->objective / serveDivisor);
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
    m_hasTurn = true;
    const bool sound = net::runGuarded("request", [this] {
        // The routes and keys in force decide, also where they have changed meanwhile.
        if (m_configuration == m_context.view.configuration()) {
            dispatch();
        } else {
            begin();
        }
    });
    if (!sound) {
        abort();
    }
    const bool hasLeft = std::exchange(m_hasTurn, false);
    if (hasLeft && m_queueId == id) {
        recordQueued();
        m_queueId.clear();
    }
    return hasLeft;
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
