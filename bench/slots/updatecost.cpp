#include "slots/updatecost.h"

#include <fmt/format.h>

#include <ibisfork/coord/slottracker.h>

#include "slots/percentiles.h"

namespace ibisfork::bench {

namespace {

constexpr unsigned nodes = 380;
constexpr unsigned upstreams = 10000;
constexpr unsigned regions = 7;
constexpr std::uint32_t slotsPerUpstream = 16;
constexpr unsigned changes = 200;
constexpr double changesPerDay = 3700;
constexpr double secondsPerDay = 86400;

std::string regionOf(unsigned index)
{
    return fmt::format("r{}", index % regions);
}

} // namespace

void measureUpdate()
{
    std::vector<coord::SlotMember> members;
    for (unsigned i = 0; i < nodes; ++i) {
        members.push_back({fmt::format("node-{:04}", i), regionOf(i)});
    }
    std::vector<coord::SlotUpstream> all;
    for (unsigned i = 0; i < upstreams; ++i) {
        all.push_back({fmt::format("engine-{:05}", i), regionOf(i), slotsPerUpstream});
    }
    coord::SlotTracker tracker("node-0003", {std::chrono::seconds(60)});
    coord::Revision revision = 1;
    const auto update = [&] {
        const auto start = base::monotonicNow();
        tracker.update(revision++, true, members, all, start);
        return base::toSeconds(base::monotonicNow() - start) * 1e3;
    };
    const double first = update();
    std::vector<double> times;
    for (unsigned change = 0; change < changes; ++change) {
        members[change * 7 % nodes].name = fmt::format("node-new-{:04}", change);
        times.push_back(update());
    }
    const double mean = meanOf(times);
    fmt::print("update {} nodes, {} upstreams, {} slots each: first {:.2f} ms; one member replaced: mean {:.2f} ms, "
               "p99 {:.2f} ms; {} changes a day take {:.4f}% of a core\n",
               nodes,
               upstreams,
               slotsPerUpstream,
               first,
               mean,
               percentile(times, 0.99),
               changesPerDay,
               mean / 1e3 * changesPerDay / secondsPerDay * 100);
}

} // namespace ibisfork::bench
