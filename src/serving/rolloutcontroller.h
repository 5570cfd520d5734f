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

/// Submits @p change to the fleet task. The change takes effect only if no change after revision @p base has modified
/// the same rows.
using ChangeSubmitter = std::function<void(const coord::Change &change, coord::Revision base)>;

/// Feeds request outcomes and ratings into the roll-out guard and the escalation thresholds, and submits the
/// configuration changes that follow.
class RolloutController
{
public:
    RolloutController(event_base *base,
                      const settings::Settings &settings,
                      base::MetricsRegistry &metrics,
                      const std::string &incarnation);

    /// Sets the receiver of changes. Must be called before the event loop runs.
    void onChange(ChangeSubmitter submit) { m_submit = std::move(submit); }
    /// Applies the configuration of a new revision.
    void update(const fleet::Config &config, base::TimePoint now);

    /// Whether a request may be sent to @p version, which is being rolled out; @p capped tells whether its step has an
    /// exposure cap.
    bool mayExpose(const fleet::VersionId &version, bool capped) const;
    /// Whether @p confidence is too low for an answer in @p workspace, so that a better version should be asked.
    bool escalates(const std::string &workspace, std::optional<double> confidence) const
    {
        return m_escalation.escalates(workspace, confidence);
    }
    /// Counts a request sent to @p version.
    void recordDispatch(const fleet::VersionId &version) { m_guard.recordDispatch(version); }
    /// Records that the first token of @p version arrived @p after the request was sent.
    void recordFirstToken(const std::string &version, base::Duration after);
    /// Records a complete answer from @p version.
    void recordAnswer(const std::string &version);
    /// Records a failed request to @p version; @p crashed tells whether the engine crashed.
    void recordFailure(const std::string &version, bool crashed);

private:
    void tick();
    void readRatings();
    void applyRatings(const platform::RatingsPage &page);
    void observe(const std::string &version, policy::HealthSignal sign, bool failed);
    void submitDueChanges();

    base::MetricsRegistry &m_metrics;
    policy::RolloutGuard m_guard;
    policy::EscalationPolicy m_escalation;
    ChangeSubmitter m_submit;
    platform::RatingsClient m_ratings;
    std::optional<std::uint64_t> m_ratingsPosition;
    net::Timer m_timer;
};

} // namespace ibisfork::serving
