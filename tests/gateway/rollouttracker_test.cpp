#include "gateway/rollouttracker.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

constexpr std::uint64_t orderRow = 30;

class RolloutTrackerTest : public testing::Test
{
protected:
    RolloutTrackerTest() { m_book.setOrder({"s", "v2", 24s}, orderRow, at(0s)); }

    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }

    double newShare(base::Duration after)
    {
        constexpr int requests = 4000;
        int chosen = 0;
        for (int i = 0; i < requests; ++i) {
            const auto preference = m_book.prefer("s", "r" + std::to_string(i), false, at(after));
            chosen += preference == VersionPreference::New ? 1 : 0;
        }
        return static_cast<double>(chosen) / requests;
    }

    void runs(const std::string &version, int good, int bad, base::Duration firstByte = 50ms)
    {
        for (int i = 0; i < good; ++i) {
            m_book.recordOutcome("s", version, "r", {false, firstByte});
        }
        for (int i = 0; i < bad; ++i) {
            m_book.recordOutcome("s", version, "r", {true, firstByte});
        }
    }

    RolloutTracker m_book;
};

TEST_F(RolloutTrackerTest, share_firstHalf_staysBelowTheUsualExposure)
{
    EXPECT_GT(newShare(1s), 0.0);
    EXPECT_LT(newShare(11s), 0.12);
}

TEST_F(RolloutTrackerTest, share_afterTheMove_isAll)
{
    EXPECT_EQ(newShare(15s), 1.0);
}

TEST_F(RolloutTrackerTest, goodVersion_nearTheEnd_isCompletedOnce)
{
    EXPECT_EQ(m_book.dueStatus("s", at(1s))->state, RolloutState::InProgress);
    m_book.setStatus("s", {"v2", RolloutState::InProgress}, orderRow + 1);
    EXPECT_FALSE(m_book.dueStatus("s", at(15s)));
    runs("v2", 100, 0);
    EXPECT_EQ(m_book.dueStatus("s", at(20s))->state, RolloutState::Completed);
    m_book.setStatus("s", {"v2", RolloutState::Completed}, orderRow + 2);
    EXPECT_FALSE(m_book.dueStatus("s", at(23s)));
    EXPECT_EQ(newShare(23s), 1.0);
}

TEST_F(RolloutTrackerTest, failingVersion_fewFailures_isLeftAtOnce)
{
    runs("v1", 60, 1);
    runs("v2", 3, 3);
    EXPECT_EQ(newShare(2s), 0.0);
    EXPECT_EQ(m_book.dueStatus("s", at(2s))->state, RolloutState::Reverted);
}

TEST_F(RolloutTrackerTest, versionFailingOnOneRoute_manyGoodRunsOnOthers_isLeft)
{
    for (int i = 0; i < 200; ++i) {
        m_book.recordOutcome("s", "v2", "fine", {false, 50ms});
        m_book.recordOutcome("s", "v1", "fine", {false, 50ms});
        m_book.recordOutcome("s", "v1", "broken", {false, 50ms});
    }
    for (int i = 0; i < 3; ++i) {
        m_book.recordOutcome("s", "v2", "broken", {true, 50ms});
    }
    EXPECT_EQ(m_book.dueStatus("s", at(2s))->state, RolloutState::Reverted);
}

TEST_F(RolloutTrackerTest, slowVersion_isLeft)
{
    runs("v1", 60, 0, 60ms);
    runs("v2", 6, 0, 600ms);
    EXPECT_EQ(m_book.dueStatus("s", at(2s))->state, RolloutState::Reverted);
}

TEST_F(RolloutTrackerTest, newVersion_runsMostlyTheLargeModelByChance_andIsNoSlower_isKept)
{
    for (int i = 0; i < 40; ++i) {
        m_book.recordOutcome("s", "v1", "r", {false, 60ms, "small"});
    }
    for (int i = 0; i < 8; ++i) {
        m_book.recordOutcome("s", "v1", "r", {false, 500ms, "large"});
    }
    for (int i = 0; i < 8; ++i) {
        m_book.recordOutcome("s", "v2", "r", {false, 700ms, "large"});
    }
    EXPECT_NE(m_book.dueStatus("s", at(2s))->state, RolloutState::Reverted);
}

TEST_F(RolloutTrackerTest, newVersion_slowAtEachModel_isLeft)
{
    for (int i = 0; i < 20; ++i) {
        m_book.recordOutcome("s", "v1", "r", {false, 60ms, "small"});
        m_book.recordOutcome("s", "v1", "r", {false, 500ms, "large"});
    }
    for (int i = 0; i < 3; ++i) {
        m_book.recordOutcome("s", "v2", "r", {false, 480ms, "small"});
        m_book.recordOutcome("s", "v2", "r", {false, 4000ms, "large"});
    }
    EXPECT_EQ(m_book.dueStatus("s", at(2s))->state, RolloutState::Reverted);
}

TEST_F(RolloutTrackerTest, bothVersionsFail_underTheSameTrouble_newOneIsKept)
{
    runs("v1", 60, 40);
    runs("v2", 6, 4);
    EXPECT_GT(newShare(2s), 0.0);
}

TEST_F(RolloutTrackerTest, session_firstHalf_staysOnOldAtEveryNode)
{
    for (int i = 0; i < 500; ++i) {
        EXPECT_EQ(m_book.prefer("s", "session" + std::to_string(i), true, at(11900ms)), VersionPreference::Old);
    }
}

TEST_F(RolloutTrackerTest, session_movedToNew_neverGoesBack)
{
    for (int i = 0; i < 200; ++i) {
        bool moved = false;
        for (auto after = 0s; after < 24s; after += 1s) {
            const bool isNew
                = m_book.prefer("s", "session" + std::to_string(i), true, at(after)) == VersionPreference::New;
            EXPECT_TRUE(isNew || !moved);
            moved = isNew;
        }
        EXPECT_TRUE(moved);
    }
}

TEST_F(RolloutTrackerTest, startWrittenByAnotherNode_lateReader_goesByIt)
{
    RolloutTracker late;
    late.setStart("s", orderRow, at(0s));
    late.setOrder({"s", "v2", 24s}, orderRow, at(13s));
    EXPECT_EQ(late.prefer("s", "any", false, at(15s)), VersionPreference::New);
    RolloutTracker later;
    later.setOrder({"s", "v2", 24s}, orderRow, at(13s));
    later.setStart("s", orderRow, at(0s));
    EXPECT_EQ(later.prefer("s", "any", false, at(15s)), VersionPreference::New);
}

TEST_F(RolloutTrackerTest, startOfAnEarlierOrder_isNotTaken)
{
    RolloutTracker book;
    book.setStart("s", orderRow - 1, at(0s));
    book.setOrder({"s", "v2", 24s}, orderRow, at(13s));
    EXPECT_FALSE(book.dueStatus("s", at(15s)) && book.dueStatus("s", at(15s))->state == RolloutState::Completed);
}

TEST_F(RolloutTrackerTest, statusOfAnEarlierOrder_newOrderOfTheSameVersion_beginsAnew)
{
    m_book.setStatus("s", {"v2", RolloutState::Reverted}, orderRow + 1);
    EXPECT_EQ(newShare(2s), 0.0);
    m_book.setOrder({"s", "v2", 24s}, orderRow + 5, at(30s));
    EXPECT_GT(newShare(32s), 0.0);
}

TEST_F(RolloutTrackerTest, requestThatGoesOn_staysOnItsVersionUnlessThatIsStopped)
{
    EXPECT_EQ(m_book.preferSame("s", "v1"), VersionPreference::Old);
    EXPECT_EQ(m_book.preferSame("s", "v2"), VersionPreference::New);
    EXPECT_EQ(m_book.preferSame("other", "v1"), VersionPreference::Any);
    m_book.setStatus("s", {"v2", RolloutState::Reverted}, orderRow + 1);
    EXPECT_EQ(m_book.preferSame("s", "v2"), VersionPreference::Old);
}

TEST_F(RolloutTrackerTest, revertedVersion_nextOrder_getsNothingUnlessOrderedAgain)
{
    std::vector<Engine> engines(3);
    std::vector<Engine *> all;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].entry.softwareVersion = "v" + std::to_string(i + 1);
        all.push_back(&engines[i]);
    }
    const auto versions = [&](VersionPreference preference) {
        std::string out;
        for (const auto *engine : m_book.permitted("s", all, preference)) {
            out += engine->entry.softwareVersion;
        }
        return out;
    };
    m_book.setStatus("s", {"v2", RolloutState::Reverted}, orderRow + 1);
    m_book.setOrder({"s", "v3", 24s}, orderRow + 5, at(30s));
    EXPECT_EQ(versions(VersionPreference::Old), "v1");
    EXPECT_EQ(versions(VersionPreference::New), "v3");
    m_book.removeOrder("s");
    EXPECT_EQ(versions(VersionPreference::Any), "v1v3");
    m_book.setOrder({"s", "v2", 24s}, orderRow + 9, at(60s));
    EXPECT_EQ(versions(VersionPreference::New), "v2");
}

TEST_F(RolloutTrackerTest, versionStoppedHereOnly_nextOrder_getsNothing)
{
    runs("v1", 60, 1);
    runs("v2", 3, 3);
    m_book.setOrder({"s", "v3", 24s}, orderRow + 5, at(30s));
    Engine stopped;
    stopped.entry.softwareVersion = "v2";
    EXPECT_TRUE(m_book.permitted("s", {&stopped}, VersionPreference::Old).empty());
}

TEST_F(RolloutTrackerTest, engines_ofTheNewVersionMissing_oldOnesServeItsShare)
{
    Engine old;
    old.entry.softwareVersion = "v1";
    EXPECT_EQ(m_book.permitted("s", {&old}, VersionPreference::New).size(), 1U);
    Engine next;
    next.entry.softwareVersion = "v2";
    EXPECT_TRUE(m_book.permitted("s", {&next}, VersionPreference::Old).empty());
}

} // namespace ibisfork::gateway
