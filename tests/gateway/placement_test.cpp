#include "gateway/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 7;

class EnginePlacementTest : public testing::Test
{
protected:
    EnginePlacementTest()
        : m_placement(seed)
    {
        for (int i = 0; i < 6; ++i) {
            EngineEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "s";
            entry.slots = 64;
            m_tracker.put(entry, at(0s));
        }
    }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }
    Placement choose(base::Duration after = 0s)
    {
        return m_placement.choose(m_tracker.ofService("s"), m_request, at(after));
    }

    EngineTracker m_tracker;
    EnginePlacement m_placement;
    PlacementRequest m_request;
};

TEST_F(EnginePlacementTest, sharedPart_engineNotBusy_allNodesChooseTheSame)
{
    m_request.sharedPart = "part";
    std::set<std::string> chosen;
    for (std::uint64_t node = 0; node < 20; ++node) {
        EnginePlacement placement(node);
        chosen.insert(placement.choose(m_tracker.ofService("s"), m_request, at(0s)).engine->entry.id);
    }
    EXPECT_EQ(chosen.size(), 1U);
}

TEST_F(EnginePlacementTest, sharedPart_engineMuchBusier_anotherIsChosen)
{
    m_request.sharedPart = "part";
    const auto first = choose().engine->entry.id;
    m_tracker.recordLoad(first, {60, 20, 64}, at(0s));
    EXPECT_NE(choose().engine->entry.id, first);
}

TEST_F(EnginePlacementTest, triedEngines_areNotChosenAgain)
{
    for (int i = 0; i < 6; ++i) {
        const auto chosen = choose().engine;
        ASSERT_NE(chosen, nullptr);
        m_request.tried.push_back(chosen->entry.id);
    }
    EXPECT_EQ(choose().engine, nullptr);
    EXPECT_EQ(std::set<std::string>(m_request.tried.begin(), m_request.tried.end()).size(), 6U);
}

TEST_F(EnginePlacementTest, manyNodes_sameReports_doNotAllChooseTheIdleEngine)
{
    for (int i = 1; i < 6; ++i) {
        m_tracker.recordLoad("e" + std::to_string(i), {8, 0, 64}, at(0s));
    }
    m_tracker.recordLoad("e0", {0, 0, 64}, at(0s));
    int toIdle = 0;
    constexpr std::uint64_t nodes = 60;
    for (std::uint64_t node = 0; node < nodes; ++node) {
        EnginePlacement placement(node);
        toIdle += placement.choose(m_tracker.ofService("s"), m_request, at(0s)).engine->entry.id == "e0" ? 1 : 0;
    }
    EXPECT_LT(toIdle, static_cast<int>(nodes) / 2);
}

TEST_F(EnginePlacementTest, engineWithLongPromptsWaiting_isPassedOver)
{
    m_tracker.recordSent("e0", 200000, at(0s));
    int toWaiting = 0;
    for (int i = 0; i < 200; ++i) {
        toWaiting += choose().engine->entry.id == "e0" ? 1 : 0;
    }
    // The engine is chosen only if both random picks hit it.
    EXPECT_LT(toWaiting, 20);
}

TEST_F(EnginePlacementTest, engineBackedOff_others_areChosen)
{
    m_tracker.recordFault("e0", EngineFault::Silent, 0s, at(0s));
    for (int i = 0; i < 100; ++i) {
        EXPECT_NE(choose().engine->entry.id, "e0");
    }
}

TEST_F(EnginePlacementTest, allEnginesBackedOff_oneIsTriedAnyway)
{
    for (int i = 0; i < 6; ++i) {
        m_tracker.recordFault("e" + std::to_string(i), EngineFault::Silent, 0s, at(0s));
    }
    EXPECT_NE(choose().engine, nullptr);
}

TEST_F(EnginePlacementTest, engineWithoutRoom_isPassedOver_andNoneIsChosenIfAllAreFull)
{
    m_request.room = load::RoomLimit{false, 100ms};
    for (int i = 1; i < 6; ++i) {
        m_tracker.recordLoad("e" + std::to_string(i), {64, 3, 64}, at(0s));
    }
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(choose().engine->entry.id, "e0");
    }
    m_tracker.recordLoad("e0", {64, 0, 64}, at(0s));
    const auto placement = choose();
    EXPECT_EQ(placement.engine, nullptr);
    EXPECT_TRUE(placement.isFull);
}

TEST_F(EnginePlacementTest, allEnginesHaveRefusedForLackOfRoom_nothingIsSentUntilTheyMayHaveRoom)
{
    m_request.room = load::RoomLimit{true, 100ms};
    for (int i = 0; i < 6; ++i) {
        m_tracker.recordFault("e" + std::to_string(i), EngineFault::Full, 0s, at(0s));
    }
    EXPECT_TRUE(choose().isFull);
    EXPECT_NE(choose(100ms).engine, nullptr);
}

/// Simulates nodes that all send requests to engines that have just become cold, for different numbers of nodes.
class ColdStartsTest : public EnginePlacementTest, public testing::WithParamInterface<unsigned>
{
};

TEST_P(ColdStartsTest, coldEngines_startsOfAllNodes_keepTheBoundInEverySecond)
{
    const unsigned nodes = GetParam();
    constexpr double coldRate = 17;
    constexpr double factor = 1.5;
    constexpr double tolerance = 5;
    m_request.coldRate = coldRate;
    m_request.coldBurst = coldRate * (factor - 1) + tolerance;
    m_request.nodes = nodes;
    std::map<std::string, std::vector<base::Duration>> starts;
    for (unsigned node = 0; node < nodes; ++node) {
        EngineTracker tracker = m_tracker;
        EnginePlacement placement(node);
        for (auto *engine : tracker.ofService("s")) {
            engine->coldUntil = at(20s);
        }
        for (base::Duration now = 0ms; now < 8s; now += 5ms) {
            const auto placed = placement.choose(tracker.ofService("s"), m_request, at(now));
            if (placed.engine != nullptr) {
                starts[placed.engine->entry.id].push_back(now);
            }
        }
    }
    for (auto &[id, times] : starts) {
        std::sort(times.begin(), times.end());
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1s) {
                ++first;
            }
            EXPECT_LE(static_cast<double>(last - first + 1), coldRate * factor + tolerance) << id;
        }
    }
    EXPECT_EQ(starts.size(), 6U);
}

INSTANTIATE_TEST_SUITE_P(Nodes, ColdStartsTest, testing::Values(1U, 7U, 13U, 14U, 30U, 89U, 380U));

TEST_F(EnginePlacementTest, coldEngines_fewNodes_firstRequestIsNotHeldUp)
{
    m_request.coldRate = 17;
    m_request.coldBurst = 13.5;
    m_request.nodes = 7;
    for (auto *engine : m_tracker.ofService("s")) {
        engine->coldUntil = at(20s);
    }
    for (int i = 0; i < 6; ++i) {
        EXPECT_NE(choose().engine, nullptr);
    }
}

TEST_F(EnginePlacementTest, onlyColdEnginesBeyondTheirRate_saysWhenToComeBack)
{
    m_request.coldRate = 2;
    for (auto *engine : m_tracker.ofService("s")) {
        engine->coldUntil = at(10s);
    }
    // By then every engine has had its start for this half second, and some a second one.
    base::Duration now = 0ms;
    for (int i = 0; i < 6; ++i) {
        while (choose(now).engine == nullptr) {
            now += 1ms;
        }
    }
    EXPECT_LE(now, 1s);
    const auto placed = choose(now);
    EXPECT_EQ(placed.engine, nullptr);
    ASSERT_TRUE(placed.held);
    EXPECT_GT(placed.held->until, at(now));
    EXPECT_LE(placed.held->until, at(now + 500ms));
}

/// Simulates long prompts under high load, where the prompts of a subject share a large part.
class SubjectsTest : public testing::Test
{
protected:
    static constexpr std::size_t engineCount = 60;
    static constexpr unsigned subjects = 375;

    SubjectsTest()
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            EngineEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "s";
            entry.slots = 64;
            m_tracker.put(entry, now);
        }
    }

    /// Reports a random load for each engine, as under high load, where the busiest engines change all the time.
    void reportLoads()
    {
        std::normal_distribution<double> load(15, 4);
        for (auto *engine : m_tracker.ofService("s")) {
            const auto running = static_cast<std::uint32_t>(std::max(0.0, load(m_random)));
            m_tracker.recordLoad(engine->entry.id, {running, 0, 64}, now);
        }
    }

    static constexpr base::TimePoint now{1000s};
    EngineTracker m_tracker;
    EnginePlacement m_placement{seed};
    std::mt19937_64 m_random{seed};
};

TEST_F(SubjectsTest, affinityEngineWithOneRequestOfThisNode_noReports_isNotTreatedAsFull)
{
    PlacementRequest request;
    request.sharedPart = "p1";
    request.nodes = 70;
    const auto home = m_placement.choose(m_tracker.ofService("s"), request, now).engine->entry.id;
    m_tracker.recordSent(home, 900, now);
    m_tracker.recordPromptRead(home, 900);
    EXPECT_EQ(m_placement.choose(m_tracker.ofService("s"), request, now).engine->entry.id, home);
}

TEST_F(SubjectsTest, requestsOfOneSubject_loadsDiffer_findTheEngineThatHasReadItsPart)
{
    std::uniform_int_distribution<unsigned> subject(0, subjects - 1);
    std::map<std::string, std::set<std::string>> readBy;
    unsigned readAgain = 0;
    constexpr unsigned requests = 4000;
    for (unsigned i = 0; i < requests; ++i) {
        if (i % 40 == 0) {
            reportLoads();
        }
        PlacementRequest request;
        request.sharedPart = "p" + std::to_string(subject(m_random));
        const auto placed = m_placement.choose(m_tracker.ofService("s"), request, now);
        auto &engines = readBy[request.sharedPart];
        readAgain += !engines.empty() && !engines.contains(placed.engine->entry.id) ? 1 : 0;
        engines.insert(placed.engine->entry.id);
    }
    EXPECT_LT(readAgain, requests / 20);
}

/// One node before engines of unequal speed, whose neighbours slow them down at times. An answer takes 60 ms at the
/// usual engine.
class UnevenEnginesTest : public EnginePlacementTest
{
protected:
    static constexpr int answersToLearn = 400;
    static constexpr int answersToMeasure = 2000;
    static constexpr base::Duration interval = 10ms;
    static constexpr double usualSeconds = 0.06;

    /// Work takes these multiples of the usual time at the engines, over and over.
    static double speedOf(const std::string &engine)
    {
        constexpr std::array<double, 3> speeds{0.7, 0.7, 1.7};
        return speeds[static_cast<std::size_t>(engine.back() - '0') % speeds.size()];
    }

    double slowdownOf(const std::string &engine) const { return engine == m_slowed ? 2.5 : 1.0; }

    /// Sends a request and lets the engine answer it; the time that it took.
    double askSeconds(bool usesEstimate)
    {
        m_now += interval;
        m_request.latency = usesEstimate ? m_tracker.latencyOf("s") : nullptr;
        const auto placed = m_placement.choose(m_tracker.ofService("s"), m_request, m_now);
        const auto id = placed.engine->entry.id;
        const double seconds = usualSeconds * speedOf(id) * slowdownOf(id);
        const auto seen = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
        m_tracker.recordSent(id, 0, m_now);
        m_tracker.recordLoad(id, {0, 0, 64, slowdownOf(id)}, m_now + seen);
        m_tracker.recordFirstByte(id, 0, placed.details.state, seen, m_now + seen);
        m_tracker.recordEnded(id);
        ++m_sent[id];
        return seconds;
    }

    double meanSeconds(bool usesEstimate, int answers)
    {
        double sum = 0;
        for (int i = 0; i < answers; ++i) {
            sum += askSeconds(usesEstimate);
        }
        return sum / answers;
    }

    base::TimePoint m_now = at(0s);
    std::string m_slowed;
    std::map<std::string, int> m_sent;
};

TEST_F(UnevenEnginesTest, slowEngines_theirAnswersHaveShownIt_getLessWork)
{
    meanSeconds(true, answersToLearn);
    const auto byEstimate = meanSeconds(true, answersToMeasure);
    const auto byRequests = meanSeconds(false, answersToMeasure);
    EXPECT_LT(byEstimate, 0.85 * byRequests);
}

TEST_F(UnevenEnginesTest, routeWithoutAnObjective_slowEnginesGetLessWorkAllTheSame)
{
    m_request.objective = 0s;
    meanSeconds(true, answersToLearn);
    const auto byEstimate = meanSeconds(true, answersToMeasure);
    const auto byRequests = meanSeconds(false, answersToMeasure);
    EXPECT_LT(byEstimate, 0.85 * byRequests);
}

TEST_F(UnevenEnginesTest, engineSlowedByItsNeighbours_losesWorkWithinASecond_andGetsItBack)
{
    meanSeconds(true, answersToLearn);
    const auto second = static_cast<int>(1s / interval);
    m_sent.clear();
    meanSeconds(true, 10 * second);
    const auto usual = m_sent["e0"] / 10;
    m_slowed = "e0";
    meanSeconds(true, second);
    m_sent.clear();
    meanSeconds(true, 10 * second);
    EXPECT_LT(m_sent["e0"] / 10, usual / 2);
    m_slowed.clear();
    meanSeconds(true, 5 * second);
    m_sent.clear();
    meanSeconds(true, 10 * second);
    EXPECT_GT(m_sent["e0"] / 10, usual / 2);
}

TEST_F(UnevenEnginesTest, enginesThatSayNothingOfTheirMachines_areComparedByRequests)
{
    for (int i = 0; i < answersToLearn; ++i) {
        m_tracker.recordLoad("e0", {0, 0, 64}, m_now);
        m_tracker.recordFirstByte("e0", 0, {}, 60ms, m_now);
    }
    EXPECT_EQ(m_tracker.latencyOf("s"), nullptr);
}

/// Reports that other nodes have passed on.
class PeerReportsTest : public EnginePlacementTest
{
protected:
    static load::Report report(std::uint32_t running, base::Duration saidAt, double slowdown = 1)
    {
        return {"e0", 0, running, 0, 64, slowdown, at(saidAt)};
    }

    double expectedLoad(base::Duration after) { return m_tracker.find("e0")->expectedLoad(at(after), 60); }
};

TEST_F(PeerReportsTest, newerReport_replacesTheOwnOne)
{
    m_tracker.recordLoad("e0", {5, 0, 64}, at(0s));
    m_tracker.recordLoadOfPeer(report(20, 100ms), at(300ms));
    EXPECT_DOUBLE_EQ(expectedLoad(300ms), 20);
}

TEST_F(PeerReportsTest, olderReport_orOneOfTheFuture_changesNothing)
{
    m_tracker.recordLoad("e0", {5, 0, 64}, at(1s));
    m_tracker.recordLoadOfPeer(report(20, 900ms), at(1s));
    m_tracker.recordLoadOfPeer(report(20, 10s), at(1s));
    EXPECT_DOUBLE_EQ(expectedLoad(1s), 5);
}

TEST_F(PeerReportsTest, reportOfAnEarlierProcess_changesNothing)
{
    auto old = report(20, 100ms);
    old.startTimeMs = 5;
    m_tracker.recordLoadOfPeer(old, at(200ms));
    EXPECT_EQ(m_tracker.find("e0")->reportedAt, base::TimePoint{});
}

TEST_F(PeerReportsTest, requestSentAfterTheReport_isCounted)
{
    m_tracker.recordSent("e0", 0, at(200ms));
    m_tracker.recordLoadOfPeer(report(20, 100ms), at(300ms));
    EXPECT_DOUBLE_EQ(expectedLoad(300ms), 21);
    m_tracker.recordLoadOfPeer(report(21, 250ms), at(400ms));
    EXPECT_DOUBLE_EQ(expectedLoad(400ms), 21);
}

} // namespace ibisfork::gateway
