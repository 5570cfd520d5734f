#include <ibisfork/coord/rendezvous.h>

#include <gtest/gtest.h>

namespace ibisfork::coord {

class RendezvousTest : public testing::Test
{
protected:
    std::vector<std::string> m_candidates{"node-1", "node-2", "node-3", "node-4"};
};

TEST_F(RendezvousTest, choose_anyOrderOfCandidates_givesTheSame)
{
    const std::vector<std::string> reversed{m_candidates.rbegin(), m_candidates.rend()};
    EXPECT_EQ(rendezvousChoose("key", m_candidates, 2), rendezvousChoose("key", reversed, 2));
}

TEST_F(RendezvousTest, choose_fewerCandidatesThanCount_givesAll)
{
    EXPECT_EQ(rendezvousChoose("key", m_candidates, 9).size(), m_candidates.size());
}

TEST_F(RendezvousTest, choose_candidateNotChosenLeaves_keepsTheChoice)
{
    const auto chosen = rendezvousChoose("key", m_candidates, 2);
    for (const auto &candidate : m_candidates) {
        if (candidate != chosen[0] && candidate != chosen[1]) {
            auto fewer = m_candidates;
            std::erase(fewer, candidate);
            EXPECT_EQ(rendezvousChoose("key", fewer, 2), chosen);
        }
    }
}

} // namespace ibisfork::coord
