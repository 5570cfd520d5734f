#include "ctl/logcutoffs.h"

#include <gtest/gtest.h>

#include <sstream>

namespace ibisfork::ctl {

class LogCutOffsTest : public testing::Test
{
protected:
    void line(int time, const std::string &node, const std::string &rest)
    {
        m_log << "time=" << time << " node=" << node << " event=" << rest << '\n';
    }

    void results(int time, const std::string &node, int served, int refused, const std::string &service = "s")
    {
        line(time,
             node,
             "caller_results service=" + service + " served=" + std::to_string(served)
                 + " failed_at_engine=7 refused=" + std::to_string(refused) + " failed=0 caller_left=3");
    }

    std::stringstream m_log;
};

TEST_F(LogCutOffsTest, cutOffNode_isComparedWithTheOthersOfItsService)
{
    line(10000, "n1", "cut_off service=s engine=e1");
    results(11000, "n1", 1, 3);
    results(11000, "n1", 8, 0, "other");
    results(11500, "n2", 9, 0);
    line(13000, "n1", "cut_off_ended service=s engine=e1");
    const auto spans = cutOffSpans(m_log);
    ASSERT_EQ(spans.size(), 1U);
    EXPECT_EQ(spans.front().nodes, std::set<std::string>{"n1"});
    EXPECT_DOUBLE_EQ(spans.front().atCutOffNodes.share(), 0.25);
    EXPECT_EQ(spans.front().atOthers.served, 9U);
    EXPECT_EQ(spans.front().atOthers.asked, 9U);
}

TEST_F(LogCutOffsTest, requestsBeforeTheNodeKnowsOfTheCut_count)
{
    results(9600, "n1", 2, 2);
    line(10000, "n1", "cut_off service=s engine=e1");
    line(12000, "n1", "cut_off_ended service=s engine=e1");
    results(13500, "n1", 5, 0);
    const auto spans = cutOffSpans(m_log);
    ASSERT_EQ(spans.size(), 1U);
    EXPECT_EQ(spans.front().atCutOffNodes.asked, 4U);
}

TEST_F(LogCutOffsTest, cutsOfOneServiceThatOverlap_areOne_withAllTheirNodes)
{
    line(10000, "n1", "cut_off service=s engine=e1");
    line(10400, "n2", "cut_off service=s engine=e2");
    line(10500, "n2", "cut_off service=other engine=e3");
    line(12000, "n1", "cut_off_ended service=s engine=e1");
    line(12100, "n2", "cut_off_ended service=s engine=e1");
    line(20000, "n1", "cut_off service=s engine=e1");
    const auto spans = cutOffSpans(m_log);
    ASSERT_EQ(spans.size(), 3U);
    EXPECT_EQ(spans[1].nodes, (std::set<std::string>{"n1", "n2"}));
    EXPECT_EQ(spans[1].until.count(), 12100);
    EXPECT_EQ(spans[2].until.count(), 20000);
}

TEST_F(LogCutOffsTest, logWithoutACut_hasNoSpans)
{
    results(11500, "n2", 9, 0);
    EXPECT_TRUE(cutOffSpans(m_log).empty());
}

} // namespace ibisfork::ctl
