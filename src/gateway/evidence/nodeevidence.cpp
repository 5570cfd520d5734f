#include "gateway/evidence/nodeevidence.h"

#include <algorithm>

namespace ibisfork::gateway::evidence {

void FleetEvidence::add(const std::string &service, const RolloutEvidence &other)
{
    const auto found = std::find_if(rollouts.begin(), rollouts.end(), [&](const ServiceEvidence &item) {
        const auto &known = item.evidence;
        return item.service == service && known.orderRow == other.orderRow && known.step == other.step;
    });
    if (found == rollouts.end()) {
        rollouts.push_back({service, other});
    } else {
        found->evidence.add(other);
    }
}

void FleetEvidence::add(const NodeEvidence &other)
{
    for (const auto &[service, evidence] : other.rollouts) {
        add(service, evidence);
    }
    crashes.add(other.crashes);
}

void FleetEvidence::add(const FleetEvidence &other)
{
    for (const auto &item : other.rollouts) {
        add(item.service, item.evidence);
    }
    crashes.add(other.crashes);
}

} // namespace ibisfork::gateway::evidence
