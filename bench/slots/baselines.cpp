#include "slots/baselines.h"

#include <array>

#include <fmt/format.h>

#include "slots/percentiles.h"
#include "slots/simulation.h"

namespace ibisfork::bench {

namespace {

constexpr std::array<double, 2> loads{0.6, 0.9};

void printRow(const Scenario &scenario, const Result &result)
{
    fmt::print("{:<16} {:>4.0f}% {:>8.1f} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7.1f}% {:>9.0f} {:>9.0f}\n",
               base::nameOf(sharingNames, scenario.sharing),
               scenario.load * 100,
               base::toSeconds(scenario.downtime),
               result.overLimit,
               result.falls,
               result.answered,
               result.refused,
               result.lost,
               result.unusedWhileWaiting * 100,
               percentile(result.firstTokenMs, 0.5),
               percentile(result.firstTokenMs, 0.95));
}

} // namespace

void compareBaselines(unsigned seed)
{
    fmt::print("{:<16} {:>5} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>8} {:>9} {:>9}\n",
               "sharing",
               "load",
               "down_s",
               "over",
               "falls",
               "answered",
               "refused",
               "lost",
               "unused",
               "first_p50",
               "first_p95");
    for (const auto load : loads) {
        for (const auto downtime : {std::chrono::milliseconds(3000), std::chrono::milliseconds(0)}) {
            for (const auto &[sharing, name] : sharingNames) {
                const Scenario scenario{sharing, load, downtime, seed};
                printRow(scenario, Simulation(scenario).run());
            }
        }
    }
}

} // namespace ibisfork::bench
