#pragma once

#include <map>
#include <optional>
#include <string>

#include <ibisfork/fleet/config.h>

#include "policy/thresholdloop.h"

namespace ibisfork::policy {

/// The escalation thresholds of all workspaces.
class EscalationBook
{
public:
    void update(const fleet::Config &config);

    /// Whether any version reports its confidence, so that ratings are of use.
    bool inUse() const { return m_inUse; }
    /// Whether an answer in @p workspace is to be replaced; one without the confidence that was to come with it is.
    bool escalates(const std::string &workspace, std::optional<double> confidence) const;
    void rate(const std::string &workspace, const std::string &judge, double score);

private:
    bool m_inUse = false;
    std::map<std::string, ThresholdLoop> m_loops;
};

} // namespace ibisfork::policy
