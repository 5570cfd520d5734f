#include "slots/routecost.h"

#include <random>

#include <fmt/format.h>

#include "routing/router.h"
#include "slots/percentiles.h"
#include "upstream/concurrencytracker.h"

namespace ibisfork::bench {

namespace {

constexpr unsigned upstreams = 1500;
constexpr unsigned versions = 7;
constexpr unsigned workspaces = 200;
constexpr unsigned nodes = 54;
constexpr unsigned decisions = 200000;

fleet::Config regionConfig()
{
    fleet::Config config;
    config.revision = 1;
    for (unsigned i = 0; i < 3; ++i) {
        const auto name = fmt::format("d{}", i);
        config.failureDomains[name] = {name, "r1", fleet::DomainState::In};
    }
    std::vector<fleet::VersionId> ids;
    for (unsigned i = 0; i < versions; ++i) {
        fleet::Version version;
        version.id = {"report", fmt::format("v{}", i)};
        version.costPerRequest = 1 + i;
        version.expectedQuality = 0.7 + 0.04 * i;
        ids.push_back(version.id);
        config.versions[version.id] = version;
    }
    for (unsigned i = 0; i < workspaces; ++i) {
        fleet::Workspace workspace;
        workspace.name = fmt::format("w{:03}", i);
        workspace.versions = ids;
        config.workspaces[workspace.name] = workspace;
    }
    for (unsigned i = 0; i < nodes; ++i) {
        const auto name = fmt::format("node-{}", i);
        config.members[name] = {name, "life-1", {}, fmt::format("d{}", i % 3), "r1"};
    }
    return config;
}

void addUpstreams(fleet::Config &config)
{
    ++config.revision;
    for (unsigned i = 0; i < upstreams; ++i) {
        fleet::Upstream upstream;
        upstream.id = fmt::format("engine-{:04}", i);
        upstream.failureDomain = fmt::format("d{}", i % 3);
        upstream.versions = {{"report", fmt::format("v{}", i % versions)}};
        config.upstreams[upstream.id] = upstream;
    }
}

} // namespace

void measureDecision()
{
    auto config = regionConfig();
    const auto now = base::monotonicNow();
    upstream::ConcurrencyTracker limits("node-7", "life-1", {std::chrono::seconds(60)});
    limits.update(config, now);
    addUpstreams(config);
    limits.update(config, now);
    const auto held = limits.heldUpstreams();
    for (const auto &id : held) {
        limits.recordLoadReport(id, {"i", 5, std::chrono::hours(1), {}, false}, now, now);
    }
    const auto usable = [&](const std::string &upstream) {
        return limits.holds(upstream);
    };
    const routing::Router router(config, usable, 1);
    std::mt19937 random(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same requests each time
    std::vector<double> times;
    unsigned chosen = 0;
    for (unsigned i = 0; i < decisions; ++i) {
        routing::RoutingQuery query;
        query.workspace = &config.workspaces.at(fmt::format("w{:03}", random() % workspaces));
        query.failureDomain = "d1";
        const auto start = base::monotonicNow();
        const auto decision = router.choose(query, [&](const std::string &id) {
            return routing::UpstreamCapacity{
                limits.availableCapacity(id, now), limits.running(id), limits.occupancy(id)};
        });
        times.push_back(base::toSeconds(base::monotonicNow() - start) * 1e6);
        chosen += decision.version ? 1 : 0;
    }
    fmt::print("decision {} upstreams ({} with slots of this node), {} versions, {} workspaces: mean {:.2f} us, "
               "p99 {:.2f} us; {} of {} found an upstream\n",
               upstreams,
               held.size(),
               versions,
               workspaces,
               meanOf(times),
               percentile(times, 0.99),
               chosen,
               decisions);
}

} // namespace ibisfork::bench
