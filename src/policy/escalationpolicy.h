#pragma once

#include <map>
#include <optional>
#include <string>

#include <ibisfork/fleet/config.h>

#include "policy/thresholdcontroller.h"

namespace ibisfork::policy {

/// Decides for each workspace which answers are escalated to a better version, by a confidence threshold that follows
/// the workspace's quality target.
class EscalationPolicy
{
public:
    /// Applies a new configuration: adds and removes workspaces and sets their quality targets.
    void update(const fleet::Config &config);

    /// Whether any version reports confidence; if none does, ratings are not needed.
    bool needsRatings() const { return m_needsRatings; }
    /// Whether an answer in @p workspace must be replaced by that of a better version. An answer without confidence is
    /// always replaced, as is one in an unknown workspace.
    bool escalates(const std::string &workspace, std::optional<double> confidence) const;
    /// Applies a rating of an answer in @p workspace; @p score is clamped to [0, 1]. Unknown workspaces are ignored.
    void rate(const std::string &workspace, const std::string &judge, double score);

private:
    bool m_needsRatings = false;
    std::map<std::string, ThresholdController> m_controllers;
};

} // namespace ibisfork::policy
