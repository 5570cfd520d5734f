#include "policy/escalationpolicy.h"

#include <algorithm>

namespace ibisfork::policy {

namespace {

/// Confidence threshold of a workspace until ratings adjust it.
constexpr double firstThreshold = 0.5;

} // namespace

void EscalationPolicy::update(const fleet::Config &config)
{
    m_inUse = std::any_of(config.versions.begin(), config.versions.end(), [](const auto &entry) {
        return entry.second.reportsConfidence;
    });
    std::erase_if(m_loops, [&](const auto &entry) { return !config.workspaces.contains(entry.first); });
    for (const auto &[name, workspace] : config.workspaces) {
        const auto loop = m_loops.try_emplace(name, workspace.rules.qualityTarget, firstThreshold).first;
        loop->second.setTarget(workspace.rules.qualityTarget);
    }
}

bool EscalationPolicy::escalates(const std::string &workspace, std::optional<double> confidence) const
{
    const auto loop = m_loops.find(workspace);
    return !confidence || loop == m_loops.end() || loop->second.escalates(*confidence);
}

void EscalationPolicy::rate(const std::string &workspace, const std::string &judge, double score)
{
    const auto loop = m_loops.find(workspace);
    if (loop != m_loops.end()) {
        loop->second.rate(judge, std::clamp(score, 0.0, 1.0));
    }
}

} // namespace ibisfork::policy
