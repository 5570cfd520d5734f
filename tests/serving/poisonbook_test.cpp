#include "serving/poisonbook.h"

#include <gtest/gtest.h>

namespace ibisfork::serving {

class PoisonBookTest : public testing::Test
{
protected:
    /// Starts runs of @p fingerprints at @p upstream, then reports a crash of the upstream from each run.
    void crash(const std::string &upstream, const std::vector<std::string> &fingerprints)
    {
        for (const auto &fingerprint : fingerprints) {
            m_book.started(upstream, fingerprint, fingerprint);
        }
        for (const auto &fingerprint : fingerprints) {
            m_book.crashed(fingerprint);
            m_book.ended(fingerprint);
        }
    }

    std::vector<std::string> m_told;
    PoisonBook m_book{[this](const std::string &fingerprint) {
        m_told.push_back(fingerprint);
    }};
};

TEST_F(PoisonBookTest, requestAlone_crashesTwice_isCondemnedOnce)
{
    crash("e1", {"bad"});
    EXPECT_FALSE(m_book.condemned("bad"));
    crash("e2", {"bad"});
    EXPECT_TRUE(m_book.condemned("bad"));
    EXPECT_EQ(m_told, std::vector<std::string>{"bad"});
}

TEST_F(PoisonBookTest, neighbours_besideTwoCrashes_areNotCondemned)
{
    crash("e1", {"bad", "n1", "n2"});
    crash("e2", {"bad", "n3", "n4"});
    EXPECT_TRUE(m_book.condemned("bad"));
    for (const auto *neighbour : {"n1", "n2", "n3", "n4"}) {
        EXPECT_FALSE(m_book.condemned(neighbour)) << neighbour;
    }
}

TEST_F(PoisonBookTest, suspects_runningElsewhere_areKeptApart)
{
    crash("e1", {"bad", "n1"});
    m_book.started("e2", "bad", "bad");
    EXPECT_EQ(m_book.keptApartFrom("n1"), std::vector<std::string>{"e2"});
    EXPECT_TRUE(m_book.keptApartFrom("fresh").empty());
}

TEST_F(PoisonBookTest, twoSuspects_crashTogether_noneIsCondemnedUntilOneCrashesApart)
{
    crash("e1", {"bad", "n1"});
    crash("e2", {"bad", "n1"});
    EXPECT_TRUE(m_told.empty());
    crash("e3", {"bad"});
    EXPECT_EQ(m_told, std::vector<std::string>{"bad"});
}

TEST_F(PoisonBookTest, suspect_answered_isCleared)
{
    crash("e1", {"n1"});
    m_book.answered("n1");
    crash("e2", {"n1"});
    EXPECT_FALSE(m_book.condemned("n1"));
}

TEST_F(PoisonBookTest, fleetCondemned_lifted_isForgotten)
{
    crash("e1", {"bad"});
    crash("e2", {"bad"});
    m_book.setFleetCondemned({"bad", "other"});
    EXPECT_TRUE(m_book.condemned("other"));
    m_book.setFleetCondemned({});
    EXPECT_FALSE(m_book.condemned("bad"));
    EXPECT_FALSE(m_book.condemned("other"));
}

} // namespace ibisfork::serving
