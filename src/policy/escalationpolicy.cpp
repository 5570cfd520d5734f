#include "policy/escalationpolicy.h"

#include <algorithm>

namespace ibisfork::policy {

namespace {

/// Confidence threshold of a workspace until ratings adjust it.
constexpr double initialThreshold = 0.5;

} // namespace

void EscalationPolicy::update(const fleet::Config &config)
{
    m_needsRatings = std::any_of(config.versions.begin(), config.versions.end(), [](const auto &entry) {
        return entry.second.reportsConfidence;
    });
    std::erase_if(m_controllers, [&](const auto &entry) { return !config.workspaces.contains(entry.first); });
    for (const auto &[name, workspace] : config.workspaces) {
        const auto controller = m_controllers.try_emplace(name, workspace.rules.qualityTarget, initialThreshold).first;
        controller->second.setTarget(workspace.rules.qualityTarget);
    }
}

bool EscalationPolicy::escalates(const std::string &workspace, std::optional<double> confidence) const
{
    const auto controller = m_controllers.find(workspace);
    return !confidence || controller == m_controllers.end() || controller->second.escalates(*confidence);
}

void EscalationPolicy::rate(const std::string &workspace, const std::string &judge, double score)
{
    const auto controller = m_controllers.find(workspace);
    if (controller != m_controllers.end()) {
        controller->second.rate(judge, std::clamp(score, 0.0, 1.0));
    }
}

} // namespace ibisfork::policy
