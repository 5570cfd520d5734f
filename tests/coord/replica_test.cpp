#include <ibisfork/coord/replica.h>

#include <gtest/gtest.h>

#include <ibisfork/coord/exceptions.h>

namespace ibisfork::coord {

class ReplicaTest : public testing::Test
{
protected:
    Replica m_replica;
};

TEST_F(ReplicaTest, apply_olderSnapshot_isIgnored)
{
    m_replica.apply(Snapshot{5, {{"a", "new"}}});
    EXPECT_FALSE(m_replica.apply(Snapshot{4, {{"a", "old"}}}));
    EXPECT_EQ(m_replica.revision(), 5U);
    EXPECT_EQ(m_replica.rows().at("a"), "new");
}

TEST_F(ReplicaTest, apply_nextChange_writesAndRemovesRows)
{
    m_replica.apply(Snapshot{1, {{"a", "1"}, {"b", "2"}}});
    EXPECT_TRUE(m_replica.apply(Change{2, "c", "", "", {{"a", std::nullopt}, {"b", "3"}}}));
    EXPECT_EQ(m_replica.rows(), (Rows{{"b", "3"}}));
}

TEST_F(ReplicaTest, apply_duplicateChange_hasNoEffect)
{
    m_replica.apply(Change{1, "c", "", "", {{"a", "1"}}});
    EXPECT_FALSE(m_replica.apply(Change{1, "c", "", "", {{"a", "2"}}}));
    EXPECT_EQ(m_replica.rows().at("a"), "1");
}

TEST_F(ReplicaTest, apply_changeAfterGap_throws)
{
    EXPECT_THROW(m_replica.apply(Change{2, "c", "", "", {}}), CoordError);
    EXPECT_EQ(m_replica.revision(), 0U);
}

} // namespace ibisfork::coord
