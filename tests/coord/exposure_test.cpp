#include <ibisfork/coord/exposure.h>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace ibisfork::coord {

class ExposureTest : public testing::Test
{
protected:
    static std::vector<std::string> nodes(int count)
    {
        std::vector<std::string> names;
        for (int node = 0; node < count; ++node) {
            names.push_back(fmt::format("inc-{}", node));
        }
        return names;
    }
};

TEST_F(ExposureTest, divideCap_anyMembers_sumsToTheCap)
{
    for (const int members : {1, 7, 29, 31, 380}) {
        std::uint32_t sum = 0;
        for (const auto &[incarnation, allowance] : divideCap(30, nodes(members))) {
            sum += allowance;
        }
        EXPECT_EQ(sum, 30U) << members;
    }
    EXPECT_TRUE(divideCap(30, {}).empty());
}

TEST_F(ExposureTest, consume_membersChangeWithinAStep_sumStaysUnderTheCap)
{
    const auto written = divideCap(10, nodes(4));
    std::uint32_t taken = 0;
    // Nodes 0 and 1 leave and nodes 4 and 5 join within the step; each node receives the row twice.
    for (const auto &name : {"inc-0", "inc-1", "inc-2", "inc-3", "inc-4", "inc-5"}) {
        ExposureTracker tracker(name);
        tracker.update("m@v", "1/0", written);
        while (tracker.consume("m@v")) {
            ++taken;
        }
        tracker.update("m@v", "1/0", written);
        EXPECT_FALSE(tracker.consume("m@v"));
    }
    EXPECT_EQ(taken, 10U);
}

TEST_F(ExposureTest, consume_restartedNode_getsNoAllowance)
{
    ExposureTracker restarted("inc-0-again");
    restarted.update("m@v", "1/0", divideCap(10, nodes(1)));
    EXPECT_FALSE(restarted.consume("m@v"));
}

TEST_F(ExposureTest, consume_afterClose_isRefused)
{
    ExposureTracker tracker("inc-0");
    tracker.update("m@v", "1/0", divideCap(10, nodes(1)));
    EXPECT_TRUE(tracker.consume("m@v"));
    tracker.close("m@v");
    EXPECT_FALSE(tracker.consume("m@v"));
}

TEST_F(ExposureTest, consume_nextStep_hasItsOwnAllowance)
{
    ExposureTracker tracker("inc-0");
    tracker.update("m@v", "1/0", divideCap(1, nodes(1)));
    EXPECT_TRUE(tracker.consume("m@v"));
    tracker.update("m@v", "1/1", divideCap(2, nodes(1)));
    EXPECT_TRUE(tracker.consume("m@v"));
    EXPECT_TRUE(tracker.consume("m@v"));
    EXPECT_FALSE(tracker.consume("m@v"));
}

} // namespace ibisfork::coord
