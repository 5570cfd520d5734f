#include "policy/benches.h"

#include <fmt/format.h>

#include "routing/router.h"

namespace ibisfork::bench {

namespace {

using nlohmann::json;

constexpr int upstreams = 1500;
constexpr int versions = 7;
constexpr int workspaces = 200;
constexpr int decisions = 20000;

fleet::Config bigConfig()
{
    fleet::Config config;
    config.failureDomains["d"] = {"d", "r", fleet::DomainState::In};
    std::vector<fleet::VersionId> ids;
    for (int index = 0; index < versions; ++index) {
        ids.push_back({"m", fmt::format("v{}", index)});
        auto &version = config.versions[ids.back()];
        version.id = ids.back();
        version.costPerRequest = index + 1;
        version.expectedQuality = 0.6 + 0.05 * index;
    }
    for (int index = 0; index < workspaces; ++index) {
        const auto name = fmt::format("w{}", index);
        config.workspaces[name] = {name, {}, ids, {}, {}};
    }
    for (int index = 0; index < upstreams; ++index) {
        auto &upstream = config.upstreams[fmt::format("engine-{:04}", index)];
        upstream.id = fmt::format("engine-{:04}", index);
        upstream.failureDomain = "d";
        upstream.versions = {ids[index % versions]};
    }
    return config;
}

} // namespace

json routingBench()
{
    const auto config = bigConfig();
    const routing::Router router(config, [](const std::string &) { return true; });
    std::vector<double> microseconds;
    for (int decision = 0; decision < decisions; ++decision) {
        routing::RoutingQuery query;
        query.workspace = &config.workspaces.at(fmt::format("w{}", decision % workspaces));
        query.model = "m";
        query.affinityKey = fmt::format("s{}", decision);
        const auto start = base::monotonicNow();
        const auto chosen = router.choose(query, [](const std::string &) {
            return routing::UpstreamCapacity{4, 1, 0.2};
        });
        const auto took = base::monotonicNow() - start;
        microseconds.push_back(chosen.upstream.empty() ? 1e9 : base::toSeconds(took) * 1e6);
    }
    std::sort(microseconds.begin(), microseconds.end());
    return json::array({{{"decisions", decisions},
                         {"p50_us", microseconds[decisions / 2]},
                         {"p99_us", microseconds[decisions * 99 / 100]}}});
}

} // namespace ibisfork::bench
