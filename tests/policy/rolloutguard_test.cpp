#include "policy/rolloutguard.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

#include <fmt/format.h>

#include <ibisfork/fleet/rollout.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::policy {

using namespace std::chrono_literals;

class ChangeDetectorTest : public testing::Test
{
protected:
    /// Returns the number of observations until the alarm, or 0 if there is none within @p most.
    static int alarmAfter(VersionMonitor &monitor, double rate, int most, std::mt19937_64 &random)
    {
        std::bernoulli_distribution fails(rate);
        for (int count = 1; count <= most; ++count) {
            monitor.observe(HealthSignal::Rating, fails(random));
            if (!monitor.verdict().empty()) {
                return count;
            }
        }
        return 0;
    }
};

TEST_F(ChangeDetectorTest, observe_healthyVersion_alarmsNoMoreOftenThanConfigured)
{
    // At one false alarm per million observations, two million observations give at most four with probability > 0.94.
    std::mt19937_64 random(7);
    int alarms = 0;
    for (int run = 0; run < 20; ++run) {
        VersionMonitor monitor;
        alarms += alarmAfter(monitor, 0.05, 100000, random) > 0 ? 1 : 0;
    }
    EXPECT_LE(alarms, 4);
}

TEST_F(ChangeDetectorTest, observe_badAfterManyHealthyOutcomes_alarmsAsSoonAsAtTheStart)
{
    std::mt19937_64 random(11);
    std::vector<int> delays;
    for (int run = 0; run < 200; ++run) {
        VersionMonitor monitor;
        ASSERT_EQ(alarmAfter(monitor, 0.05, 2000, random), 0);
        delays.push_back(alarmAfter(monitor, 0.5, 1000, random));
    }
    std::sort(delays.begin(), delays.end());
    EXPECT_GT(delays.front(), 0);
    EXPECT_LE(delays[100], 30);
}

class RolloutGuardTest : public testing::Test
{
protected:
    RolloutGuardTest()
    {
        m_config.revision = 5;
        auto &version = m_config.versions[m_id];
        version.id = m_id;
        version.state = fleet::VersionState::RollingOut;
        version.rolloutSteps = {{0.1, 20}, {1.0, 0}};
        for (const auto *node : {"n1", "n2"}) {
            m_config.members[node] = {node, fmt::format("{}-inc", node), "", "", ""};
        }
    }

    void startRollout()
    {
        m_config.rollouts[m_id] = fleet::firstStep(m_config, m_config.versions.at(m_id), 5);
        update();
    }

    void update()
    {
        ++m_config.revision;
        m_guard.update(m_config, m_now);
    }

    /// Applies the row written by a due change to the configuration.
    void applyChange(const coord::Change &change)
    {
        coord::Snapshot snapshot{0, {{change.rows.front().key, *change.rows.front().value}}};
        m_config.rollouts = fleet::configFromRows(snapshot).rollouts;
        update();
    }

    fleet::VersionId m_id{"m", "v2"};
    fleet::Config m_config;
    base::TimePoint m_now{1000s};
    RolloutGuard m_guard{"n1", "n1-inc"};
};

TEST_F(RolloutGuardTest, dueChanges_noRow_startsWithTheCapDivided)
{
    m_guard.update(m_config, m_now);
    const auto changes = m_guard.dueChanges(m_now);
    ASSERT_EQ(changes.size(), 1U);
    applyChange(changes.front());
    EXPECT_EQ(m_config.rollouts.at(m_id).allowances, (coord::Allowances{{"n1-inc", 10}, {"n2-inc", 10}}));
    EXPECT_TRUE(m_guard.dueChanges(m_now).empty());
}

TEST_F(RolloutGuardTest, recordDispatch_allowanceUsed_exposesNoMore)
{
    startRollout();
    for (int request = 0; request < 10; ++request) {
        EXPECT_TRUE(m_guard.mayExpose(m_id));
        m_guard.recordDispatch(m_id);
    }
    EXPECT_FALSE(m_guard.mayExpose(m_id));
    update();
    EXPECT_FALSE(m_guard.mayExpose(m_id));
}

TEST_F(RolloutGuardTest, observe_clearlyBad_stopsLocallyAtOnceAndHaltsThroughTheTable)
{
    startRollout();
    for (int request = 0; request < 10 && !m_guard.isStopped(m_id); ++request) {
        m_guard.observe(m_id, HealthSignal::Crash, true);
    }
    EXPECT_TRUE(m_guard.isStopped(m_id));
    EXPECT_FALSE(m_guard.mayExpose(m_id));
    // The table may be unavailable, so the change stays due until the row is halted.
    EXPECT_EQ(m_guard.dueChanges(m_now + 1h).size(), 1U);
    applyChange(m_guard.dueChanges(m_now + 1h).front());
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Halted);
    EXPECT_THAT(m_config.rollouts.at(m_id).evidence, testing::HasSubstr("crashes"));
    EXPECT_TRUE(m_guard.dueChanges(m_now + 2h).empty());
    EXPECT_TRUE(m_guard.isStopped(m_id));
}

TEST_F(RolloutGuardTest, dueChanges_twoNodesFindTheSame_returnTheSameChangeId)
{
    startRollout();
    RolloutGuard other("n2", "n2-inc");
    other.update(m_config, m_now);
    m_guard.stop(m_id, "errors: 5 of 5 failed");
    other.stop(m_id, "ratings: 9 of 12 failed");
    EXPECT_EQ(m_guard.dueChanges(m_now).front().id, other.dueChanges(m_now).front().id);
}

TEST_F(RolloutGuardTest, dueChanges_oneNodeHaltsAndOneAdvances_onlyOneTakesEffect)
{
    startRollout();
    RolloutGuard other("n2", "n2-inc");
    other.update(m_config, m_now);
    m_guard.stop(m_id, "errors: 5 of 5 failed");
    for (int rating = 0; rating < 10; ++rating) {
        other.observe(m_id, HealthSignal::Rating, false);
    }
    const auto advance = other.dueChanges(m_now + 60s).front();
    // Both changes have the same id, and only the first change with an id takes effect.
    EXPECT_EQ(m_guard.dueChanges(m_now + 60s).front().id, advance.id);
    // The node whose change had no effect then halts the next step.
    applyChange(advance);
    EXPECT_NE(m_guard.dueChanges(m_now + 61s).front().id, advance.id);
    applyChange(m_guard.dueChanges(m_now + 61s).front());
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Halted);
}

TEST_F(RolloutGuardTest, dueChanges_ratingsMissing_staysAtTheStep)
{
    startRollout();
    EXPECT_TRUE(m_guard.dueChanges(m_now + 24h).empty());
    for (int rating = 0; rating < 10; ++rating) {
        m_guard.observe(m_id, HealthSignal::Rating, false);
    }
    EXPECT_TRUE(m_guard.dueChanges(m_now + 59s).empty());
    applyChange(m_guard.dueChanges(m_now + 60s).front());
    EXPECT_EQ(m_config.rollouts.at(m_id).step, 1U);
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Running);
}

TEST_F(RolloutGuardTest, dueChanges_nodeDiedAfterTheChange_anotherNodeAdvances)
{
    startRollout();
    RolloutGuard other("n2", "n2-inc");
    other.update(m_config, m_now);
    for (int rating = 0; rating < 10; ++rating) {
        m_guard.observe(m_id, HealthSignal::Rating, false);
        other.observe(m_id, HealthSignal::Rating, false);
    }
    applyChange(m_guard.dueChanges(m_now + 60s).front());
    other.update(m_config, m_now + 60s);
    for (int rating = 0; rating < 100; ++rating) {
        other.observe(m_id, HealthSignal::Rating, false);
    }
    const auto changes = other.dueChanges(m_now + 120s);
    ASSERT_EQ(changes.size(), 1U);
    applyChange(changes.front());
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Done);
    // A version can become bad after its last step.
    other.stop(m_id, "ratings: 9 of 12 failed");
    applyChange(other.dueChanges(m_now + 1h).front());
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Halted);
}

TEST_F(RolloutGuardTest, observe_halfOfAStepFails_isStoppedAndNeverAdvances)
{
    startRollout();
    for (int rating = 0; rating < 10; ++rating) {
        m_guard.observe(m_id, HealthSignal::Rating, rating % 2 == 0);
    }
    EXPECT_TRUE(m_guard.isStopped(m_id));
    applyChange(m_guard.dueChanges(m_now + 60s).front());
    EXPECT_EQ(m_config.rollouts.at(m_id).state, fleet::RolloutState::Halted);
}

TEST_F(RolloutGuardTest, dueChanges_ratingsUndecided_waitsForAnOperator)
{
    startRollout();
    for (int rating = 0; rating < 20; ++rating) {
        m_guard.observe(m_id, HealthSignal::Rating, rating % 7 == 6 || rating == 3);
    }
    EXPECT_FALSE(m_guard.isStopped(m_id));
    EXPECT_TRUE(m_guard.dueChanges(m_now + 1h).empty());
}

TEST_F(RolloutGuardTest, update_rowRemovedByAnOperator_startsAgainWithoutOldEvidence)
{
    startRollout();
    m_guard.stop(m_id, "errors");
    m_config.rollouts.clear();
    update();
    EXPECT_FALSE(m_guard.isStopped(m_id));
    const auto changes = m_guard.dueChanges(m_now);
    ASSERT_EQ(changes.size(), 1U);
    applyChange(changes.front());
    EXPECT_TRUE(m_guard.mayExpose(m_id));
    EXPECT_GT(m_config.rollouts.at(m_id).run, 5U);
}

} // namespace ibisfork::policy
