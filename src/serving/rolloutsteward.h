#pragma once

#include <functional>
#include <optional>
#include <string>

#include <ibisfork/base/metrics.h>
#include <ibisfork/coord/change.h>

#include "net/timer.h"
#include "platform/ratingsclient.h"
#include "policy/escalationpolicy.h"
#include "policy/rolloutguard.h"
#include "settings/settings.h"

namespace ibisfork::serving {

/// Hands a change to the fleet task; it may take effect only if none after @p base touched its rows.
using ChangeSubmitter = std::function<void(const coord::Change &change, coord::Revision base)>;

/// Feeds the guard of roll-outs and the thresholds of escalation with outcomes and ratings, and submits the changes
/// that are due.
class RolloutSteward
{
public:
    RolloutSteward(event_base *base,
                   const settings::Settings &settings,
                   base::MetricsRegistry &metrics,
                   const std::string &incarnation);

    /// Must be called before the event loop runs.
    void onChange(ChangeSubmitter submit) { m_submit = std::move(submit); }
    void update(const fleet::Config &config, base::TimePoint now);

    /// Whether a request may be given to a version that is rolled out, within a step that has a cap or has none.
    bool mayExpose(const fleet::VersionId &version, bool capped) const;
    /// Whether an answer in @p workspace is too poor to give.
    bool escalates(const std::string &workspace, std::optional<double> confidence) const
    {
        return m_escalation.escalates(workspace, confidence);
    }
    void dispatched(const fleet::VersionId &version) { m_guard.recordDispatch(version); }
    void firstToken(const std::string &version, base::Duration after);
    void answered(const std::string &version);
    void failed(const std::string &version, bool crashed);

private:
    void tick();
    void readRatings();
    void rated(const platform::RatingsPage &page);
    void observe(const std::string &version, policy::HealthSignal sign, bool failed);
    void submitDue();

    base::MetricsRegistry &m_metrics;
    policy::RolloutGuard m_guard;
    policy::EscalationPolicy m_escalation;
    ChangeSubmitter m_submit;
    platform::RatingsClient m_ratings;
    std::optional<std::uint64_t> m_ratingsRead;
    net::Timer m_timer;
};

} // namespace ibisfork::serving
