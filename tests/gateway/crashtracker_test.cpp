#include "gateway/crashtracker.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

namespace {

RequestTrait part(const std::string &id)
{
    return {TraitKind::PromptPart, id};
}

RequestTrait body(const std::string &id)
{
    return {TraitKind::Body, id};
}

} // namespace

/// Trackers of several nodes that learn of each other's evidence at once.
class CrashTrackerTest : public testing::Test
{
protected:
    static constexpr std::size_t nodes = 7;

    CrashTrackerTest()
        : m_trackers(nodes)
    { }

    /// An engine ends under requests of one node. @p shared: other nodes learn of it.
    void crash(std::size_t node,
               const std::string &engine,
               const std::vector<RequestTrait> &traits,
               StoreTime at,
               bool shared = true)
    {
        m_trackers[node].recordLostRun(engine, traits, at);
        m_trackers[node].confirmLoss(engine, true, at);
        if (shared) {
            share(node, at);
        }
    }

    void share(std::size_t node, StoreTime at)
    {
        const auto evidence = decodeCrashEvidence(encodeCrashEvidence(m_trackers[node].evidenceToShare(at)));
        ASSERT_TRUE(evidence);
        for (std::size_t other = 0; other < nodes; ++other) {
            if (other != node) {
                m_trackers[other].setPeerEvidence("n" + std::to_string(node), &*evidence);
            }
        }
    }

    /// A run goes well at every node.
    void soundRunEverywhere(const std::vector<RequestTrait> &traits, StoreTime beganAt)
    {
        for (auto &tracker : m_trackers) {
            tracker.recordSoundRun(traits, beganAt);
        }
    }

    /// Number of nodes that refuse a request with @p traits.
    std::size_t refusing(const std::vector<RequestTrait> &traits, StoreTime at)
    {
        std::size_t count = 0;
        for (auto &tracker : m_trackers) {
            count += tracker.isPoison(traits, at) ? 1 : 0;
        }
        return count;
    }

    /// A request that may not be repeated arrives at one node after the other and crashes an engine at each. Returns
    /// the number of crashed engines.
    unsigned crashesOverNodes(bool shared)
    {
        unsigned crashes = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            const auto at = 1000ms * static_cast<int>(node + 1);
            if (!m_trackers[node].isPoison({body("f")}, at)) {
                ++crashes;
                crash(node, "e" + std::to_string(node), {body("f")}, at, shared);
            }
        }
        return crashes;
    }

    std::vector<CrashTracker> m_trackers;
    const std::vector<RequestTrait> m_bad{part("first"), part("bad")};
    const std::vector<RequestTrait> m_sound{part("first"), part("good")};
};

TEST_F(CrashTrackerTest, request_crashedThreeEngines_isPoison)
{
    auto &tracker = m_trackers.front();
    crash(0, "e1", {body("f")}, 0s);
    crash(0, "e2", {body("f")}, 1s);
    EXPECT_FALSE(tracker.isPoison({body("f")}, 1s));
    crash(0, "e3", {body("f")}, 2s);
    EXPECT_TRUE(tracker.isPoison({body("f")}, 2s));
    EXPECT_FALSE(tracker.isPoison({body("g")}, 2s));
}

TEST_F(CrashTrackerTest, sameEngine_crashedTwice_countsOnce)
{
    crash(0, "e1", {body("f")}, 0s);
    crash(0, "e1", {body("f")}, 1s);
    crash(0, "e1", {body("f")}, 2s);
    EXPECT_FALSE(m_trackers.front().isPoison({body("f")}, 2s));
}

// Guards against evidence that is lost when a node sees the runs of an ended engine end one after the other (BUDGET).
TEST_F(CrashTrackerTest, anotherLostRunOfTheSameEnd_isSeenLater_firstOneStaysSuspect)
{
    for (int i = 0; i < 3; ++i) {
        const auto number = std::to_string(i);
        crash(0, "e" + number, {body("bad")}, 1000ms * (i + 1));
        crash(0, "e" + number, {body("other" + number)}, 1000ms * (i + 1) + 300ms);
    }
    EXPECT_EQ(refusing({body("bad")}, 5000ms), nodes);
}

TEST_F(CrashTrackerTest, request_answeredMeanwhile_isNotPoison)
{
    crash(0, "e1", {body("f")}, 0s);
    crash(0, "e2", {body("f")}, 1s);
    m_trackers.front().recordSoundRun({body("f")}, 1500ms);
    crash(0, "e3", {body("f")}, 2s);
    EXPECT_FALSE(m_trackers.front().isPoison({body("f")}, 2s));
}

TEST_F(CrashTrackerTest, engineThatLivesOn_lostRuns_areNoEvidence)
{
    auto &tracker = m_trackers.front();
    for (int i = 0; i < 5; ++i) {
        const auto engine = "e" + std::to_string(i);
        EXPECT_TRUE(tracker.recordLostRun(engine, m_bad, i * 1s));
        EXPECT_FALSE(tracker.recordLostRun(engine, m_bad, i * 1s));
        tracker.confirmLoss(engine, false, i * 1s + 250ms);
    }
    EXPECT_FALSE(tracker.isPoison(m_bad, 6s));
    EXPECT_TRUE(tracker.evidenceToShare(6s).reports.empty());
}

TEST_F(CrashTrackerTest, engineWithManyRequests_crashes_itsReportStaysSmall)
{
    std::vector<RequestTrait> many;
    for (int i = 0; i < 500; ++i) {
        many.push_back(body("f" + std::to_string(i)));
    }
    for (int i = 0; i < 100; ++i) {
        crash(0, "e" + std::to_string(i), many, 0s);
    }
    constexpr std::size_t maxRowBytes = 65536UL * 3 / 4;
    EXPECT_LT(encodeCrashEvidence(m_trackers.front().evidenceToShare(1s)).size(), maxRowBytes);
}

TEST_F(CrashTrackerTest, manyRequestsWaitedAtTheEngines_badPartIsStillFound)
{
    std::vector<RequestTrait> many;
    for (int i = 0; i < 60; ++i) {
        many.push_back(body("f" + std::to_string(i)));
        many.push_back(part("a" + std::to_string(i)));
    }
    soundRunEverywhere(many, 0s);
    many.push_back(part("bad"));
    for (int i = 1; i <= 3; ++i) {
        crash(0, "e" + std::to_string(i), many, i * 1s);
    }
    EXPECT_EQ(refusing(m_bad, 3100ms), nodes);
}

TEST_F(CrashTrackerTest, engineEndsUnderSoundRequestsOnly_nothingIsShared)
{
    auto &tracker = m_trackers.front();
    tracker.recordLostRun("e1", m_sound, 1s);
    tracker.recordSoundRun(m_sound, 1100ms);
    tracker.confirmLoss("e1", true, 1250ms);
    EXPECT_TRUE(tracker.evidenceToShare(2s).reports.empty());
}

TEST_F(CrashTrackerTest, requestAtEveryNode_nodesShareEvidence_threeEnginesCrash)
{
    EXPECT_EQ(crashesOverNodes(true), CrashVerdict::minEngines);
}

TEST_F(CrashTrackerTest, requestAtEveryNode_nothingShared_eachNodeLearnsByItself)
{
    EXPECT_EQ(crashesOverNodes(false), nodes);
}

TEST_F(CrashTrackerTest, newRequestsWithABadPart_atSeveralNodes_areRefusedByAllFromTheThirdOn_soundOnesByNone)
{
    soundRunEverywhere(m_sound, 0s);
    crash(0, "e1", {m_bad[0], m_bad[1], body("a")}, 1s);
    crash(1, "e2", {m_bad[0], m_bad[1], body("b")}, 2s);
    EXPECT_EQ(refusing({m_bad[0], m_bad[1], body("c")}, 2s), 0U);
    crash(2, "e3", {m_bad[0], m_bad[1], body("c")}, 3s);
    EXPECT_EQ(refusing({m_bad[0], m_bad[1], body("d")}, 3100ms), nodes);
    EXPECT_EQ(refusing(m_sound, 3100ms), 0U);
}

TEST_F(CrashTrackerTest, soundPart_besideTheBadOneInEveryCrash_isNotBlamed)
{
    soundRunEverywhere({part("first")}, 0s);
    // No run with "neighbour" has gone well yet, and node 1 does not know that "bad" ran at the same engines.
    const std::vector<RequestTrait> neighbour{part("first"), part("neighbour")};
    for (int i = 1; i <= 3; ++i) {
        crash(0, "e" + std::to_string(i), m_bad, i * 1s);
        crash(1, "e" + std::to_string(i), neighbour, i * 1s);
    }
    crash(2, "e4", m_bad, 4s);
    EXPECT_EQ(refusing(m_bad, 4100ms), nodes);
    EXPECT_EQ(refusing(neighbour, 4100ms), 0U);
}

TEST_F(CrashTrackerTest, twoPartsSeenOnlyTogether_requestWithOneOfThem_isLetThroughAndTellsWhichIsBad)
{
    const std::vector<RequestTrait> both{part("bad"), part("other")};
    for (int i = 1; i <= 3; ++i) {
        crash(0, "e" + std::to_string(i), both, i * 1s);
    }
    EXPECT_EQ(refusing(both, 3100ms), nodes);
    EXPECT_EQ(refusing({part("bad")}, 3100ms), 0U);
    m_trackers[1].recordSoundRun({part("other")}, 3200ms);
    share(1, 3300ms);
    EXPECT_EQ(refusing({part("bad")}, 3400ms), nodes);
    EXPECT_EQ(refusing({part("other")}, 3400ms), 0U);
}

TEST_F(CrashTrackerTest, allEnginesEndAtOnce_partOfManyRequests_isNotBlamed)
{
    soundRunEverywhere(m_sound, 0s);
    for (std::size_t node = 0; node < nodes; ++node) {
        for (int engine = 0; engine < 9; ++engine) {
            crash(node, "e" + std::to_string(engine), m_sound, 5s + engine * 1ms);
        }
    }
    EXPECT_EQ(refusing(m_sound, 6s), 0U);
}

TEST_F(CrashTrackerTest, partThatWentWellBefore_crashesFiveEngines_isPoison)
{
    soundRunEverywhere(m_bad, 0s);
    for (int i = 1; i <= 5; ++i) {
        soundRunEverywhere({part("first")}, i * 1s - 100ms);
        EXPECT_EQ(refusing(m_bad, i * 1s), 0U);
        crash(static_cast<std::size_t>(i), "e" + std::to_string(i), m_bad, i * 1s);
    }
    soundRunEverywhere({part("first")}, 5500ms);
    share(0, 5600ms);
    EXPECT_EQ(refusing(m_bad, 5700ms), nodes);
    EXPECT_EQ(refusing(m_sound, 5700ms), 0U);
}

TEST_F(CrashTrackerTest, verdict_keptForASecond_becomesAConviction_thatOutlivesAllNodes)
{
    for (int i = 1; i <= 3; ++i) {
        crash(0, "e" + std::to_string(i), {part("bad")}, i * 1s);
    }
    EXPECT_TRUE(m_trackers[0].convictionsToWrite(3100ms).empty());
    const auto convictions = m_trackers[0].convictionsToWrite(4100ms);
    ASSERT_EQ(convictions.size(), 1U);
    const auto stored = decodeConviction(encodeConviction(convictions.front()));
    ASSERT_TRUE(stored);
    CrashTracker restarted;
    restarted.setConviction(*stored);
    EXPECT_TRUE(restarted.isPoison({part("bad")}, 5s));
    EXPECT_TRUE(restarted.convictionsToWrite(5s).empty());
}

TEST_F(CrashTrackerTest, nodeStartedAgain_itsEarlierReports_countBesideNewOnes)
{
    crash(0, "e1", {part("bad")}, 1s);
    crash(0, "e2", {part("bad")}, 2s);
    const auto shared = m_trackers[0].evidenceToShare(2s);
    CrashTracker restarted;
    restarted.recordLostRun("e3", {part("bad")}, 3s);
    restarted.confirmLoss("e3", true, 3s);
    EXPECT_FALSE(restarted.isPoison({part("bad")}, 3100ms));
    restarted.restore(shared);
    EXPECT_TRUE(restarted.isPoison({part("bad")}, 3200ms));
    EXPECT_EQ(restarted.evidenceToShare(3200ms).reports.size(), 3U);
}

TEST_F(CrashTrackerTest, nodeStartedAgain_itsEarlierSoundRuns_stillRefute)
{
    auto &tracker = m_trackers[0];
    for (int i = 1; i <= 3; ++i) {
        crash(0, "e" + std::to_string(i), m_bad, i * 1s);
    }
    tracker.recordSoundRun({part("first")}, 4s);
    CrashTracker restarted;
    restarted.restore(tracker.evidenceToShare(4100ms));
    EXPECT_FALSE(restarted.isPoison(m_sound, 4200ms));
    EXPECT_TRUE(restarted.isPoison(m_bad, 4200ms));
}

TEST_F(CrashTrackerTest, storeThatLostTheConviction_getsItAgain)
{
    CrashTracker tracker;
    tracker.setConviction({{part("bad")}, 1s, 1});
    tracker.beginFullRead();
    EXPECT_TRUE(tracker.isPoison({part("bad")}, 5s));
    EXPECT_EQ(tracker.convictionsToWrite(5s).size(), 1U);
}

TEST_F(CrashTrackerTest, convictionExpired_oneMoreCrash_convictsForLonger)
{
    const Conviction first{{part("bad")}, 1s, 1};
    CrashTracker tracker;
    tracker.setConviction(first);
    EXPECT_FALSE(tracker.isPoison({part("bad")}, first.until()));
    tracker.recordLostRun("e9", {part("bad")}, first.until() + 1s);
    tracker.confirmLoss("e9", true, first.until() + 1s);
    EXPECT_TRUE(tracker.isPoison({part("bad")}, first.until() + 2s));
    const auto again = tracker.convictionsToWrite(first.until() + 3s);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().count, 2U);
    EXPECT_GT(again.front().until() - again.front().since, first.until() - first.since);
}

TEST_F(CrashTrackerTest, convictionOfASoundPart_runThatGoesWell_liftsIt)
{
    CrashTracker tracker;
    tracker.setConviction({{part("good")}, 1s, 1});
    EXPECT_TRUE(tracker.isPoison({part("good")}, 2s));
    tracker.recordSoundRun({part("good")}, 2s);
    EXPECT_FALSE(tracker.isPoison({part("good")}, 3s));
    EXPECT_EQ(tracker.evidenceToShare(3s).soundRuns.size(), 1U) << "other nodes have to learn of it";
}

TEST_F(CrashTrackerTest, soundRunsGoOn_sharedEvidence_doesNotChangeWithEachRun)
{
    soundRunEverywhere(m_sound, 0s);
    for (int i = 1; i <= 3; ++i) {
        crash(1, "e" + std::to_string(i), m_bad, i * 1s);
    }
    auto &tracker = m_trackers[0];
    tracker.recordSoundRun(m_sound, 4s);
    const auto shared = encodeCrashEvidence(tracker.evidenceToShare(4s));
    EXPECT_NE(shared.find("first"), std::string::npos);
    tracker.recordSoundRun(m_sound, 5s);
    EXPECT_EQ(encodeCrashEvidence(tracker.evidenceToShare(5s)), shared);
    crash(1, "e9", m_bad, 6s);
    tracker.recordSoundRun(m_sound, 7s);
    EXPECT_NE(encodeCrashEvidence(tracker.evidenceToShare(7s)), shared);
}

TEST_F(CrashTrackerTest, unreadableRows_areNotTaken)
{
    EXPECT_FALSE(decodeCrashEvidence("{"));
    EXPECT_FALSE(decodeCrashEvidence("{\"reports\": 5}"));
    EXPECT_FALSE(decodeConviction("{\"traits\": [], \"since_ms\": 1, \"count\": 1}"));
    EXPECT_FALSE(decodeConviction("3"));
}

TEST(RequestTraitTest, body_distinguishesWorkspacePathAndBody)
{
    const auto one = bodyTrait("w", "/a", "b");
    EXPECT_EQ(one, bodyTrait("w", "/a", "b"));
    EXPECT_NE(one, bodyTrait("x", "/a", "b"));
    EXPECT_NE(one, bodyTrait("w", "/b", "b"));
    EXPECT_NE(one, bodyTrait("w", "/a", "c"));
}

TEST(RequestTraitTest, parts_lastOneBelongsToTheRequestAlone)
{
    EXPECT_EQ(partTraits({{"a", 1}, {"b", 2}}), std::vector{part("a")});
    EXPECT_TRUE(partTraits({{"a", 1}}).empty());
    EXPECT_TRUE(partTraits({}).empty());
}

TEST(RequestTraitTest, text_isReadBack)
{
    EXPECT_EQ(parseTrait(traitText(part("5c1e"))), part("5c1e"));
    EXPECT_EQ(parseTrait(traitText(body("00"))), body("00"));
    EXPECT_FALSE(parseTrait("other:1"));
    EXPECT_FALSE(parseTrait("part"));
}

TEST_F(CrashTrackerTest, soundRunsRefuteCrashes_rowsOfAllNodes_changeOnceAndStay)
{
    crash(0, "e1", m_sound, 1s);
    crash(1, "e2", m_sound, 2s);
    std::vector<CrashEvidence> told(nodes);
    std::size_t writes = 0;
    for (auto at = StoreTime(3s); at < 13s; at += 350ms) {
        soundRunEverywhere(m_sound, at);
        for (std::size_t node = 0; node < nodes; ++node) {
            const auto evidence = m_trackers[node].evidenceToShare(at);
            writes += encodeCrashEvidence(evidence) == encodeCrashEvidence(told[node]) ? 0 : 1;
            told[node] = evidence;
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            for (std::size_t other = 0; other < nodes; ++other) {
                m_trackers[other].setPeerEvidence("n" + std::to_string(node), other == node ? nullptr : &told[node]);
            }
        }
    }
    EXPECT_LE(writes, nodes);
    EXPECT_EQ(refusing(m_sound, 13s), 0U);
}

TEST_F(CrashTrackerTest, soundRuns_ofMorePartsThanAreKept_keepTheNewestWithinTheBound)
{
    constexpr int parts = 20000;
    constexpr std::size_t mostKept = 4000;
    auto &tracker = m_trackers[0];
    for (int i = 0; i < parts; ++i) {
        tracker.recordSoundRun({part("system"), part("p" + std::to_string(i))}, StoreTime(1000 + i));
        ASSERT_LE(tracker.soundTraits(), mostKept);
    }
    EXPECT_TRUE(tracker.areProven({part("system"), part("p" + std::to_string(parts - 1))}));
    EXPECT_TRUE(tracker.areProven({part("p" + std::to_string(parts - 2500))}));
    EXPECT_FALSE(tracker.areProven({part("p0")}));
}

TEST_F(CrashTrackerTest, soundRunsOfSuspects_amongManyOthers_areKept)
{
    crash(0, "e1", {part("suspect")}, 500ms);
    auto &tracker = m_trackers[0];
    tracker.hasPoison(600ms);
    ASSERT_TRUE(tracker.hasReports());
    tracker.recordSoundRun({part("suspect")}, 700ms);
    for (int i = 0; i < 20000; ++i) {
        tracker.recordSoundRun({part("p" + std::to_string(i))}, StoreTime(1000 + i));
    }
    EXPECT_TRUE(tracker.areProven({part("suspect")}));
}

TEST(RequestTraitTest, partsWithLongIds_areKnownByShortOnesThatDiffer)
{
    const std::string longId(8000, 'x');
    const auto traits = partTraits({{longId + "a", 1}, {longId + "b", 1}, {"short", 1}, {"last", 1}});
    ASSERT_EQ(traits.size(), 3);
    EXPECT_LE(traits[0].id.size(), 64);
    EXPECT_NE(traits[0].id, traits[1].id);
    EXPECT_EQ(traits[2].id, "short");
}

} // namespace ibisfork::gateway
