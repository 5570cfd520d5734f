#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <ibisfork/fleet/config.h>

#include "routing/decision.h"

namespace ibisfork::routing {

/// Returns whether this node may send a request to a version that is being rolled out. @p capped: whether the current
/// roll-out step limits the number of requests.
using ExposureLookup = std::function<bool(const fleet::VersionId &version, bool capped)>;

/// Request-specific input to the choice of version and upstream.
struct RoutingQuery
{
    const fleet::Workspace *workspace = nullptr;
    /// "model", "model@version", or empty for any model that the workspace permits.
    std::string model;
    /// The version that the request's session is pinned to.
    std::optional<fleet::VersionId> sessionVersion;
    /// Upstreams that this request was already sent to.
    std::vector<std::string> tried;
    /// Versions excluded for this request because their answer was not good enough or they can't be retried.
    std::vector<fleet::VersionId> triedVersions;
    std::string failureDomain;
    /// Session id, or request id for a request without a session. Hashed to decide whether the request takes part in a
    /// roll-out.
    std::string affinityKey;
    /// Cost of the cascade steps run so far, in the unit of Version::costPerRequest.
    double costSoFar = 0.0;
    /// Whether a low-confidence answer can still be replaced by that of a better version.
    bool mayEscalate = false;
    /// If not set, versions that are being rolled out are not eligible.
    ExposureLookup mayExpose;
};

/// Orders the versions that a request may run on. The candidate list of each workspace is built once per revision of
/// the configuration.
class VersionChooser
{
public:
    /// @p config must outlive the chooser.
    explicit VersionChooser(const fleet::Config &config);

    /// Returns the versions to try, in order. Appends all other versions to @p excluded.
    std::vector<const fleet::Version *> choose(const RoutingQuery &query,
                                               std::vector<ExcludedCandidate> &excluded) const;

private:
    struct Candidate
    {
        const fleet::Version *version;
        /// "model@version".
        std::string name;
        /// Set if no request may use the version at this revision.
        std::optional<ExclusionReason> exclusion;
        /// Whether the version is being rolled out, and if so its share of requests and whether the step is capped.
        bool rollingOut = false;
        double share = 1.0;
        bool capped = false;
    };

    struct Plan
    {
        /// Excluded versions first, then those that meet the quality target by rising cost, then the others by falling
        /// quality.
        std::vector<Candidate> ranked;
        /// Number of eligible versions that meet the quality target.
        std::size_t targetMetCount = 0;
        /// Indexes into @c ranked of the versions below the quality target that a cascade can start with, by rising
        /// cost.
        std::vector<std::size_t> cascadeStarts;
        /// Lowest cost of a version that meets the quality target.
        double minTargetCost = 0.0;
    };

    Candidate makeCandidate(const fleet::Version &version, const fleet::Workspace &workspace) const;
    Plan makePlan(const fleet::Workspace &workspace) const;
    std::optional<ExclusionReason> exclusionReason(const Candidate &candidate, const RoutingQuery &query) const;

    const fleet::Config &m_config;
    std::map<std::string, Plan, std::less<>> m_plans;
};

} // namespace ibisfork::routing
