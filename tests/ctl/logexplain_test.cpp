#include "ctl/logexplain.h"

#include <gtest/gtest.h>

#include <sstream>

namespace ibisfork::ctl {

class LogExplainTest : public testing::Test
{
protected:
    std::istringstream m_log{"time=1 node=n1 event=engine engine=e1 leaving=false\n"
                             "time=2 node=n1 event=engine engine=e2 leaving=false\n"
                             "time=3 node=n1 event=attempt_failed id=abc engine=e1 reason=connection_lost\n"
                             "time=4 node=n1 event=request id=abcd engine=e2 status=200\n"
                             "time=5 node=n1 event=request id=abc engine=e1 status=502\n"};
};

TEST_F(LogExplainTest, request_ofTheId_comesWithTheStateOfItsEngines)
{
    const auto lines = linesAbout("abc", m_log);
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_NE(lines[0].find("engine=e1"), std::string::npos);
    EXPECT_NE(lines[1].find("attempt_failed"), std::string::npos);
    EXPECT_NE(lines[2].find("status=502"), std::string::npos);
}

TEST_F(LogExplainTest, unknownId_hasNoLines)
{
    EXPECT_TRUE(linesAbout("zzz", m_log).empty());
}

} // namespace ibisfork::ctl
