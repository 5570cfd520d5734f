#include <algorithm>
#include <map>
#include <ostream>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "gateway/placement.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// The users' bound on the requests in any 4 s: one and a half times the limit, and 5 more.
constexpr base::Duration window = 4s;
constexpr double windowSeconds = 4;
constexpr double factor = 1.5;
constexpr double tolerance = 5;
constexpr std::size_t engineCount = 6;

struct LimitCase
{
    const char *name;
    unsigned nodes;
    double perSecond;
};

std::ostream &operator<<(std::ostream &out, const LimitCase &item)
{
    return out << item.name;
}

/// Several nodes send to the same engines, of which one names a limit to each node in its first answer.
class StartLimitTest : public testing::TestWithParam<LimitCase>
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    static EngineTracker engines()
    {
        EngineTracker tracker;
        for (std::size_t i = 0; i < engineCount; ++i) {
            EngineEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "s";
            entry.slots = 64;
            tracker.put(entry, at(0s));
        }
        return tracker;
    }

    /// Sends to the engines of one node from @p from until @p to; the limited engine's starts are added to m_starts,
    /// but for the first one, by which the node learns of the limit.
    void playNode(std::uint64_t seed, base::Duration from, base::Duration to)
    {
        auto tracker = engines();
        EnginePlacement placement(seed);
        PlacementRequest request;
        request.nodes = GetParam().nodes;
        for (auto now = from; now < to; now += 20ms) {
            const auto placed = placement.choose(tracker.ofService("s"), request, at(now));
            if (placed.engine == nullptr || placed.engine->entry.id != "e0") {
                continue;
            }
            if (placed.engine->startLimit) {
                m_starts.push_back(now);
            }
            tracker.recordStartLimit("e0", GetParam().perSecond);
        }
    }

    /// Most starts at the limited engine in any window.
    std::size_t mostInAWindow()
    {
        std::sort(m_starts.begin(), m_starts.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_starts.size(); ++last) {
            while (m_starts[last] - m_starts[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    static double allowed() { return factor * windowSeconds * GetParam().perSecond + tolerance; }

    std::vector<base::Duration> m_starts;
};

TEST_P(StartLimitTest, engineNamesALimit_startsOfAllNodes_keepItInEveryWindow)
{
    for (std::uint64_t node = 0; node < GetParam().nodes; ++node) {
        playNode(node, 0s, 30s);
    }
    EXPECT_LE(static_cast<double>(mostInAWindow()), allowed());
}

TEST_P(StartLimitTest, nodesJoinAndRestart_startsOfAllNodes_keepTheLimit)
{
    for (std::uint64_t node = 0; node < GetParam().nodes; ++node) {
        const auto restart = 1s * (5 + node % 20);
        playNode(node, 1s * (node % 4), restart);
        playNode(node + 1000, restart + 1s, 30s);
    }
    EXPECT_LE(static_cast<double>(mostInAWindow()), allowed());
}

INSTANTIATE_TEST_SUITE_P(Nodes,
                         StartLimitTest,
                         testing::Values(LimitCase{"sevenNodesOneASecond", 7, 1},
                                         LimitCase{"sevenNodesTenASecond", 7, 10},
                                         LimitCase{"sevenNodesNone", 7, 0},
                                         LimitCase{"oneNode", 1, 2.5},
                                         LimitCase{"thirtyNodes", 30, 1.1},
                                         LimitCase{"manyNodesOneASecond", 89, 1},
                                         LimitCase{"manyNodesFiftyASecond", 89, 50},
                                         LimitCase{"targetSize", 380, 4}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace ibisfork::gateway
