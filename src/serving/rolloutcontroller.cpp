#include "serving/rolloutcontroller.h"

#include <ibisfork/base/log.h>
#include <ibisfork/fleet/exceptions.h>

namespace ibisfork::serving {

namespace {

constexpr std::chrono::milliseconds tickInterval{500};
/// A later first token counts as a failure.
constexpr std::chrono::milliseconds maxFirstTokenTime{310};
/// A lower rating counts as a failure.
constexpr double failingScore = 0.5;

} // namespace

RolloutController::RolloutController(event_base *base,
                                     const settings::Settings &settings,
                                     base::MetricsRegistry &metrics,
                                     const std::string &incarnation)
    : m_metrics(metrics)
    , m_guard(settings.node.name, incarnation)
    , m_ratings(base, settings.platform, settings.timing.platformTimeout)
    , m_timer(base, [this] { tick(); })
{
    m_timer.startEvery(tickInterval);
}

void RolloutController::update(const fleet::Config &config, base::TimePoint now)
{
    m_guard.update(config, now);
    m_escalation.update(config);
    tick();
}

bool RolloutController::mayExpose(const fleet::VersionId &version, bool capped) const
{
    return capped ? m_guard.mayExpose(version) : !m_guard.isStopped(version);
}

void RolloutController::recordFirstToken(const std::string &version, base::Duration after)
{
    observe(version, policy::HealthSignal::FirstToken, after > maxFirstTokenTime);
}

void RolloutController::recordAnswer(const std::string &version)
{
    observe(version, policy::HealthSignal::Answer, false);
    observe(version, policy::HealthSignal::Crash, false);
}

void RolloutController::recordFailure(const std::string &version, bool crashed)
{
    observe(version, policy::HealthSignal::Answer, true);
    observe(version, policy::HealthSignal::Crash, crashed);
}

void RolloutController::observe(const std::string &version, policy::HealthSignal sign, bool failed)
{
    const auto id = fleet::VersionId::parse(version);
    if (m_guard.observe(id, sign, failed)) {
        base::LogLine(base::LogLevel::Warning, "version-stopped")
            .field("version", version)
            .field("sign", base::nameOf(policy::healthSignalNames, sign));
        m_metrics.counter("ibisfork_versions_stopped_total").add();
        submitDueChanges();
    }
}

void RolloutController::tick()
{
    if (!m_guard.hasActiveRollouts() && !m_escalation.needsRatings()) {
        // Ratings from before a roll-out must not count for it, so reading starts afresh with the next one.
        m_ratingsPosition.reset();
        submitDueChanges();
        return;
    }
    readRatings();
    submitDueChanges();
}

void RolloutController::readRatings()
{
    m_ratings.read(m_ratingsPosition.value_or(0), [this](const std::optional<platform::RatingsPage> &page) {
        if (!page) {
            m_metrics.counter("ibisfork_ratings_unread_total").add();
            return;
        }
        if (m_ratingsPosition) {
            applyRatings(*page);
        }
        m_ratingsPosition = page->next;
    });
}

void RolloutController::applyRatings(const platform::RatingsPage &page)
{
    for (const auto &rating : page.ratings) {
        try {
            m_escalation.rate(rating.workspace, rating.judge, rating.score);
            observe(rating.version, policy::HealthSignal::Rating, rating.score < failingScore);
        } catch (const fleet::ConfigError &error) {
            base::LogLine(base::LogLevel::Warning, "rating-unreadable").field("error", error.what());
        }
    }
}

// A change stays due, and is submitted again at each tick, until the fleet's rows contain it: the table may be down, or
// another node may have made the change first.
void RolloutController::submitDueChanges()
{
    if (!m_submit) {
        return;
    }
    for (const auto &change : m_guard.dueChanges(base::monotonicNow())) {
        base::LogLine(base::LogLevel::Info, "rollout").field("change", change.id).field("reason", change.reason);
        m_submit(change, m_guard.revision());
    }
}

} // namespace ibisfork::serving
