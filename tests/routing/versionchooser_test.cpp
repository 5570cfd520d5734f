#include "routing/versionchooser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fmt/format.h>

#include "routing/router.h"
#include <ibisfork/fleet/rollout.h>

namespace ibisfork::routing {

using testing::ElementsAre;
using testing::IsEmpty;

class VersionChooserTest : public testing::Test
{
protected:
    VersionChooserTest()
    {
        addVersion("small", 1, 0.70);
        addVersion("medium", 3, 0.85);
        addVersion("large", 10, 0.95);
        fleet::Workspace workspace;
        workspace.name = "w";
        for (const auto &[id, version] : m_config.versions) {
            workspace.versions.push_back(id);
        }
        m_config.workspaces["w"] = workspace;
        m_query.workspace = &m_config.workspaces["w"];
        m_query.affinityKey = "s1";
        m_query.mayExpose = [](const fleet::VersionId &, bool capped) {
            return !capped;
        };
    }

    fleet::Version &addVersion(const std::string &name, double cost, double quality)
    {
        auto &version = m_config.versions[{"m", name}];
        version.id = {"m", name};
        version.costPerRequest = cost;
        version.expectedQuality = quality;
        version.reportsConfidence = true;
        return version;
    }

    void rollOut(const fleet::RolloutStep &step, fleet::RolloutState state = fleet::RolloutState::Running)
    {
        auto &version = addVersion("next", 2, 0.9);
        version.state = fleet::VersionState::RollingOut;
        version.rolloutSteps = {step};
        m_config.workspaces["w"].versions.push_back(version.id);
        m_config.rollouts[version.id].version = version.id;
        m_config.rollouts[version.id].state = state;
    }

    std::vector<std::string> choose()
    {
        m_excluded.clear();
        m_chooser = std::make_unique<VersionChooser>(m_config);
        std::vector<std::string> names;
        for (const auto *version : m_chooser->choose(m_query, m_excluded)) {
            names.push_back(version->id.version);
        }
        return names;
    }

    std::string exclusionOf(const std::string &name) const
    {
        for (const auto &excluded : m_excluded) {
            if (excluded.candidate == "m@" + name) {
                return std::string(base::nameOf(exclusionReasonNames, excluded.reason));
            }
        }
        return {};
    }

    fleet::Config m_config;
    RoutingQuery m_query;
    std::vector<ExcludedCandidate> m_excluded;
    std::unique_ptr<VersionChooser> m_chooser;
};

TEST_F(VersionChooserTest, choose_noCascade_isTheCheapestThatMeetsTheTarget)
{
    EXPECT_THAT(choose(), ElementsAre("medium", "large", "small"));
}

TEST_F(VersionChooserTest, choose_mayEscalate_startsWithTheCheapest)
{
    m_query.mayEscalate = true;
    EXPECT_THAT(choose(), ElementsAre("small", "medium", "large"));
}

TEST_F(VersionChooserTest, choose_noConfidenceReported_doesNotStartACascade)
{
    m_query.mayEscalate = true;
    m_config.versions.at({"m", "small"}).reportsConfidence = false;
    EXPECT_THAT(choose(), ElementsAre("medium", "large", "small"));
}

TEST_F(VersionChooserTest, choose_cascadeForbiddenOrTooExpensive_startsWithATargetVersion)
{
    m_query.mayEscalate = true;
    m_config.workspaces["w"].rules.costBound = 3.5;
    EXPECT_THAT(choose(), ElementsAre("medium", "small"));
    EXPECT_EQ(exclusionOf("large"), "over-cost-bound");
    m_config.workspaces["w"].rules.costBound = 1e9;
    m_config.workspaces["w"].rules.cascade = false;
    EXPECT_THAT(choose(), ElementsAre("medium", "large", "small"));
}

TEST_F(VersionChooserTest, choose_afterAPoorAnswer_isTheNextWithinTheCostBound)
{
    m_query.mayEscalate = true;
    m_query.triedVersions = {{"m", "small"}};
    m_query.costSoFar = 1;
    m_config.workspaces["w"].rules.costBound = 5;
    EXPECT_THAT(choose(), ElementsAre("medium"));
}

TEST_F(VersionChooserTest, choose_notPermittedOrWithdrawn_isExcludedForAll)
{
    m_config.workspaces["w"].versions = {{"m", "small"}, {"m", "medium"}};
    m_config.versions.at({"m", "medium"}).state = fleet::VersionState::Withdrawn;
    m_query.model = "m@medium";
    EXPECT_THAT(choose(), IsEmpty());
    EXPECT_EQ(exclusionOf("medium"), "withdrawn");
    EXPECT_EQ(exclusionOf("large"), "not-permitted");
}

TEST_F(VersionChooserTest, choose_session_keepsItsVersion)
{
    m_query.sessionVersion = fleet::VersionId{"m", "large"};
    EXPECT_THAT(choose(), ElementsAre("large"));
}

TEST_F(VersionChooserTest, choose_rollout_takesItsShareOfSessionsAndKeepsThem)
{
    rollOut({0.1, 0});
    constexpr int sessions = 10000;
    int sampled = 0;
    for (int session = 0; session < sessions; ++session) {
        m_query.affinityKey = fmt::format("session-{}", session);
        sampled += choose().front() == "next" ? 1 : 0;
    }
    // The tolerance is five standard deviations of the binomial distribution.
    EXPECT_NEAR(sampled, 1000, 150);
}

TEST_F(VersionChooserTest, choose_rolloutHaltedOrWithoutRow_getsNoRequests)
{
    rollOut({1.0, 0}, fleet::RolloutState::Halted);
    m_query.model = "m@next";
    EXPECT_THAT(choose(), IsEmpty());
    EXPECT_EQ(exclusionOf("next"), "rollout-halted");
    m_config.rollouts.clear();
    EXPECT_THAT(choose(), IsEmpty());
    EXPECT_EQ(exclusionOf("next"), "exposure-cap");
    m_query.model = "m";
    EXPECT_THAT(choose(), ElementsAre("medium", "large", "small"));
}

TEST_F(VersionChooserTest, choose_rolloutCapped_asksMayExpose)
{
    rollOut({1.0, 5});
    EXPECT_EQ(choose().front(), "medium");
    EXPECT_EQ(exclusionOf("next"), "exposure-cap");
    m_query.mayExpose = [](const fleet::VersionId &, bool) {
        return true;
    };
    EXPECT_EQ(choose().front(), "next");
}

TEST_F(VersionChooserTest, choose_rolloutStoppedHere_isExcludedForItsSessionsToo)
{
    rollOut({1.0, 0});
    m_query.sessionVersion = fleet::VersionId{"m", "next"};
    EXPECT_THAT(choose(), ElementsAre("next"));
    m_query.mayExpose = [](const fleet::VersionId &, bool) {
        return false;
    };
    EXPECT_THAT(choose(), IsEmpty());
}

TEST_F(VersionChooserTest, choose_rolloutDone_isTreatedAsAnyOther)
{
    rollOut({0.0, 5}, fleet::RolloutState::Done);
    EXPECT_THAT(choose(), ElementsAre("next", "medium", "large", "small"));
}

} // namespace ibisfork::routing
