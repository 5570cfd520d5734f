#include "plan.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

namespace ibisfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestGap{100};
constexpr milliseconds longestGap{1500};
constexpr milliseconds shortestFault{300};
constexpr milliseconds longestFault{3500};
/// One fault in so many is followed by the same one at once.
constexpr unsigned seriesOneIn = 4;
constexpr unsigned mostTargets = 1000;

milliseconds draw(std::mt19937_64 &random, milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
}

} // namespace

std::vector<Fault> planOf(std::uint64_t seed, base::Duration length)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> kinds(0, faultKindNames.size() - 1);
    std::uniform_int_distribution<unsigned> targets(0, mostTargets);
    std::vector<Fault> plan;
    Fault next;
    for (base::Duration at = longestGap; at + longestFault < length; at += draw(random, shortestGap, longestGap)) {
        const bool again = !plan.empty() && targets(random) % seriesOneIn == 0;
        next.kind = again ? plan.back().kind : faultKindNames.at(kinds(random)).value;
        next.at = at;
        next.target = targets(random);
        next.lasts = draw(random, shortestFault, longestFault);
        plan.push_back(next);
    }
    return plan;
}

std::string describe(const Fault &fault)
{
    return fmt::format("{:6} ms {} target {} for {} ms",
                       base::toMilliseconds(fault.at),
                       base::nameOf(faultKindNames, fault.kind),
                       fault.target,
                       base::toMilliseconds(fault.lasts));
}

} // namespace ibisfork::soak
