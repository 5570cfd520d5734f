#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>

#include <fmt/ostream.h>

#include <ibisfork/base/clock.h>
#include <ibisfork/fleet/rows.h>

#include "serving/context.h"

namespace {

using namespace ibisfork;

constexpr unsigned failureDomains = 20;
constexpr unsigned regions = 7;
constexpr unsigned versions = 7;
constexpr unsigned workspaces = 200;
constexpr unsigned upstreamsPerNode = 26;
constexpr double kibibyte = 1024.0;

std::string domainName(unsigned index)
{
    return fmt::format("domain-{}", index % failureDomains);
}

std::string regionOf(unsigned domain)
{
    return fmt::format("region-{}", domain % failureDomains % regions);
}

fleet::VersionId versionId(unsigned index)
{
    return {fmt::format("model-{}", index % versions), "v1"};
}

fleet::Member member(unsigned index, unsigned incarnation)
{
    return {fmt::format("node-{}", index),
            fmt::format("{:016x}", index * 1000000UL + incarnation),
            fmt::format("10.0.{}.{}:7000", index / 250, index % 250),
            domainName(index),
            regionOf(index)};
}

/// A fleet of @p nodes with the target's ratio of upstreams to nodes.
fleet::Config makeConfig(unsigned nodes)
{
    fleet::Config config;
    for (unsigned i = 0; i < failureDomains; ++i) {
        config.failureDomains[domainName(i)] = {domainName(i), regionOf(i), fleet::DomainState::In};
    }
    for (unsigned i = 0; i < versions; ++i) {
        fleet::Version version;
        version.id = versionId(i);
        config.versions[version.id] = version;
    }
    for (unsigned i = 0; i < workspaces; ++i) {
        fleet::Workspace workspace;
        workspace.name = fmt::format("workspace-{}", i);
        workspace.keyHashes = {fmt::format("{:064x}", i)};
        workspace.versions = {versionId(i), versionId(i + 1), versionId(i + 2)};
        config.workspaces[workspace.name] = workspace;
    }
    for (unsigned i = 0; i < nodes * upstreamsPerNode; ++i) {
        fleet::Upstream upstream;
        upstream.id = fmt::format("engine-{}", i);
        upstream.address = fmt::format("10.1.{}.{}:8000", i / 250, i % 250);
        upstream.failureDomain = domainName(i);
        upstream.versions = {versionId(i)};
        config.upstreams[upstream.id] = upstream;
    }
    return config;
}

coord::Snapshot makeSnapshot(unsigned nodes)
{
    coord::Snapshot snapshot{1, fleet::rowsFromConfig(makeConfig(nodes))};
    for (unsigned i = 0; i < nodes; ++i) {
        const auto node = member(i, 0);
        snapshot.rows[fleet::rowprefix::member + node.node] = fleet::memberRow(node);
    }
    return snapshot;
}

double residentMib()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6)) / kibibyte;
        }
    }
    return 0.0;
}

/// Milliseconds that @p work takes.
template<typename Work>
double timed(Work work)
{
    const auto begin = base::monotonicNow();
    work();
    return base::toSeconds(base::monotonicNow() - begin) * 1000.0;
}

std::size_t bytesOf(const coord::Rows &rows)
{
    std::size_t bytes = 0;
    for (const auto &[key, value] : rows) {
        bytes += key.size() + value.size();
    }
    return bytes;
}

/// Measures what a node of a fleet of @p nodes spends on a change of configuration and on one of the member list.
void measure(unsigned nodes)
{
    const double before = residentMib();
    auto snapshot = makeSnapshot(nodes);
    std::shared_ptr<const fleet::Config> config;
    const double parse
        = timed([&] { config = std::make_shared<const fleet::Config>(fleet::configFromRows(snapshot)); });
    upstream::ConcurrencyTracker limits("node-0", member(0, 0).incarnation, coord::SlotTimeBounds{});
    const double slots = timed([&] { limits.update(*config, base::monotonicNow()); });
    std::unique_ptr<serving::FleetView> view;
    const double index = timed([&] { view = std::make_unique<serving::FleetView>(config, limits); });

    snapshot.revision = 2;
    const auto reborn = member(nodes / 2, 1);
    snapshot.rows[fleet::rowprefix::member + reborn.node] = fleet::memberRow(reborn);
    const auto next = fleet::configFromRows(snapshot);
    const double memberChange = timed([&] { limits.update(next, base::monotonicNow()); });
    fmt::print(std::cout,
               "{:>5} {:>9} {:>9.0f} {:>8.1f} {:>8.1f} {:>9.1f} {:>12.1f} {:>8.1f} {:>6}\n",
               nodes,
               config->upstreams.size(),
               static_cast<double>(bytesOf(snapshot.rows)) / kibibyte,
               parse,
               index,
               slots,
               memberChange,
               residentMib() - before,
               limits.heldUpstreams().size());
}

} // namespace

int main()
{
    fmt::print(std::cout, "nodes upstreams  rows_KiB parse_ms index_ms  slots_ms member_chg_ms mem_MiB   held\n");
    for (const unsigned nodes : {7U, 38U, 127U, 380U}) {
        measure(nodes);
    }
    return 0;
}
