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

/// Whether a request may be given to a version that is rolled out, asked of the node's own books; @p capped says
/// whether its step has a cap.
using ExposureLookup = std::function<bool(const fleet::VersionId &version, bool capped)>;

/// What a request asks of the choice of version.
struct RoutingQuery
{
    const fleet::Workspace *workspace = nullptr;
    /// A model, a model@version, or empty for any that the workspace permits.
    std::string model;
    /// The version that the request's session holds.
    std::optional<fleet::VersionId> sessionVersion;
    /// Upstreams that this request was already sent to.
    std::vector<std::string> tried;
    /// Versions that answered this request too poorly, or can't be tried again.
    std::vector<fleet::VersionId> triedVersions;
    std::string failureDomain;
    /// The session, or the request where it has none; decides on its part in roll-outs.
    std::string affinityKey;
    /// Cost of the steps that have run.
    double spent = 0.0;
    /// Whether a poor answer can still be replaced by a better version's.
    bool mayEscalate = false;
    /// None: every version that is rolled out is closed.
    ExposureLookup mayExpose;
};

/// Orders the versions that a request may run on. Lists are made once a revision for each workspace.
class VersionChooser
{
public:
    explicit VersionChooser(const fleet::Config &config);

    /// The versions to try, first to last. Adds the others to @p leftOut.
    std::vector<const fleet::Version *> choose(const RoutingQuery &query, std::vector<LeftOut> &leftOut) const;

private:
    struct Candidate
    {
        const fleet::Version *version;
        std::string text;
        /// Why it is closed to all requests at this revision.
        std::optional<LeftOutReason> closed;
        /// Whether it is being rolled out, and then its share and whether a cap holds.
        bool rollingOut = false;
        double share = 1.0;
        bool capped = false;
    };

    struct Plan
    {
        /// Closed ones first, then those that meet the quality target by cost, then the others by quality.
        std::vector<Candidate> direct;
        std::size_t good = 0;
        /// Places in direct of the versions below the target, by cost, that a cascade can begin with.
        std::vector<std::size_t> cheap;
        /// Lowest cost of one that meets the target.
        double cheapestGood = 0.0;
    };

    Candidate candidateOf(const fleet::Version &version, const fleet::Workspace &workspace) const;
    Plan planFor(const fleet::Workspace &workspace) const;
    std::optional<LeftOutReason> refusal(const Candidate &candidate, const RoutingQuery &query) const;

    const fleet::Config &m_config;
    std::map<std::string, Plan, std::less<>> m_plans;
};

} // namespace ibisfork::routing
