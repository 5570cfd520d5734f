#include "gateway/exchange.h"

#include <utility>

#include "gateway/exchangelimits.h"
#include "http/status.h"

namespace ibisfork::gateway {

namespace {

/// After this many runs that were cut off, a request with prompt parts that no run has
/// shown to be sound is not sent again: it may itself have ended the engines.
constexpr unsigned maxCutOffsOfUnproven = 2;
/// A request that crashes engines is unlikely to be accepted sooner.
constexpr std::chrono::milliseconds retryAfterPoison{30000};

} // namespace

const std::vector<RequestTrait> &Exchange::traits()
{
    if (m_traits.empty()) {
        m_traits = m_parts;
        m_traits.push_back(bodyTrait(m_workspace, m_request.head.target, m_request.body.view()));
    }
    return m_traits;
}

bool Exchange::isPoison()
{
    const auto now = m_context.storeNow();
    // The body is hashed only if there is anything to compare it with.
    return m_context.crashes.hasPoison(now) && m_context.crashes.isPoison(traits(), now);
}

void Exchange::recordCutOff()
{
    // How long ago the first event came says nothing here: this node may have been late to see the end.
    ++m_cutOffs;
    if (m_context.reportLostRun) {
        // Of a run whose parts are sound only the body is suspect, which may crash an engine at any time.
        m_context.reportLostRun({m_engineEntry, m_hasSoundParts ? std::vector{traits().back()} : traits()});
    }
}

bool Exchange::maySuspectItself() const
{
    return m_cutOffs >= maxCutOffsOfUnproven && !m_context.crashes.areProven(m_parts);
}

void Exchange::endPoison()
{
    if (m_mayHaveRun || m_streamBegun) {
        failRequest("crashes_engines");
    } else {
        refuse(http::status::unavailable, "crashes_engines", retryAfterPoison);
    }
}

StoreTime Exchange::runBeganAt() const
{
    const auto age = base::monotonicNow() - m_runBeganAt.value_or(m_lastProgress);
    return m_context.storeNow() - std::chrono::duration_cast<StoreTime>(age);
}

void Exchange::recordSoundParts()
{
    if (!std::exchange(m_hasSoundParts, true)) {
        m_context.crashes.recordSoundRun(m_parts, runBeganAt());
    }
}

void Exchange::recordSoundRun()
{
    recordSoundParts();
    // The body is hashed only if there is anything to compare it with.
    if (m_context.crashes.hasReports()) {
        m_context.crashes.recordSoundRun({traits().back()}, runBeganAt());
    }
}

void Exchange::endIfPoison()
{
    const bool runs = m_phase == Phase::Connecting || m_phase == Phase::AwaitingHead || m_phase == Phase::Reading;
    if (!runs || m_runBeganAt || m_passesOn || !isPoison()) {
        return;
    }
    endHedge(RunEnd::Withdrawn);
    m_mayHaveRun = m_mayHaveRun || m_connection->sent();
    cancelAttempt();
    endPoison();
}

} // namespace ibisfork::gateway
