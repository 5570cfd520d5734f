#include "load/reportboard.h"

#include <gtest/gtest.h>

namespace ibisfork::load {

using namespace std::chrono_literals;

class ReportBoardTest : public testing::Test
{
protected:
    static base::TimePoint at(base::Duration after) { return base::TimePoint(1000s) + after; }
    static Report report(const std::string &engine, base::Duration saidAt)
    {
        return {engine, 0, 3, 0, 8, std::nullopt, at(saidAt)};
    }

    ReportBoard m_board;
};

TEST_F(ReportBoardTest, sameReport_byTwoWays_countsOnce)
{
    EXPECT_TRUE(m_board.put(report("e1", 0s), at(0s)));
    EXPECT_FALSE(m_board.put(report("e1", 0s), at(100ms)));
    EXPECT_FALSE(m_board.put(report("e1", 5ms), at(100ms)));
    EXPECT_EQ(m_board.version(), 1U);
}

TEST_F(ReportBoardTest, olderReport_thatComesLater_isRefused)
{
    EXPECT_TRUE(m_board.put(report("e1", 500ms), at(500ms)));
    EXPECT_FALSE(m_board.put(report("e1", 100ms), at(600ms)));
    EXPECT_EQ(m_board.changesAfter(0, 10).front().saidAt, at(500ms));
}

TEST_F(ReportBoardTest, reportThatIsTooOld_isNeitherTakenNorKept)
{
    EXPECT_FALSE(m_board.put(report("e1", 0s), at(ReportBoard::lifetime + 1ms)));
    EXPECT_TRUE(m_board.put(report("e1", 0s), at(0s)));
    m_board.dropOld(at(ReportBoard::lifetime + 1ms));
    EXPECT_TRUE(m_board.changesAfter(0, 10).empty());
}

TEST_F(ReportBoardTest, changes_areThoseAfterTheVersion_theNewestFirst)
{
    m_board.put(report("e1", 100ms), at(1s));
    const auto version = m_board.version();
    m_board.put(report("e2", 300ms), at(1s));
    m_board.put(report("e3", 200ms), at(1s));
    const auto changes = m_board.changesAfter(version, 10);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes.front().engine, "e2");
    const auto newest = m_board.changesAfter(0, 1);
    ASSERT_EQ(newest.size(), 1U);
    EXPECT_EQ(newest.front().engine, "e2");
}

} // namespace ibisfork::load
