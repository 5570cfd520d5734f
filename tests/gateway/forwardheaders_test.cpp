#include "gateway/forwardheaders.h"

#include <gtest/gtest.h>

#include "gateway/noderow.h"

namespace ibisfork::gateway {

TEST(ForwardHeadersTest, state_isReadBack)
{
    http::HeaderList headers;
    addForwardState(headers, {3, true});
    const auto state = readForwardState(headers);
    ASSERT_TRUE(state);
    EXPECT_EQ(state->runsLeft, 3U);
    EXPECT_TRUE(state->isCounted);
}

TEST(ForwardHeadersTest, state_missingOrWithoutRuns_isNotRead)
{
    http::HeaderList headers;
    EXPECT_FALSE(readForwardState(headers));
    addForwardState(headers, {0, false});
    EXPECT_FALSE(readForwardState(headers));
}

TEST(ForwardHeadersTest, headersOfNodes_areRemoved_othersStay)
{
    http::HeaderList headers;
    headers.add("X-Own", "1");
    addForwardState(headers, {1, false});
    addForwardRefusal(headers, RefusalScope::Service, "s");
    EXPECT_TRUE(readForwardRefusal(headers));
    const auto left = withoutForwardHeaders(headers);
    EXPECT_FALSE(readForwardRefusal(left));
    EXPECT_FALSE(readForwardState(left));
    EXPECT_EQ(left.find("X-Own"), "1");
}

TEST(ForwardHeadersTest, refusal_isReadBackWithItsScope_thatOfAnEarlierBuildIsOfTheService)
{
    for (const auto scope : {RefusalScope::Request, RefusalScope::Service, RefusalScope::Node}) {
        http::HeaderList headers;
        addForwardRefusal(headers, scope, "s");
        EXPECT_EQ(readForwardRefusal(headers), scope);
        EXPECT_EQ(readRefusedService(headers), "s");
    }
    http::HeaderList earlier;
    earlier.add("Forward-Refused", "1");
    EXPECT_EQ(readForwardRefusal(earlier), RefusalScope::Service);
    EXPECT_FALSE(readRefusedService(earlier));
}

TEST(NodeRowTest, forwardingAddress_isReadBack_andMayBeMissing)
{
    PeerNode node{"n1", "r1", "d1", {"10.0.0.1", 1}, net::Address{"10.0.0.1", 2}};
    const auto read = decodeNodeRow("n1", encodeNodeRow(node));
    ASSERT_TRUE(read && read->forwarding);
    EXPECT_EQ(read->forwarding->text(), "10.0.0.1:2");
    node.forwarding.reset();
    const auto older = decodeNodeRow("n1", encodeNodeRow(node));
    ASSERT_TRUE(older);
    EXPECT_FALSE(older->forwarding);
}

TEST(ForwardHeadersTest, leavingEngine_isReadBackAndNotPassedOn)
{
    http::HeaderList headers;
    addLeavingEngine(headers, {"e 1", 1700});
    const auto engine = readLeavingEngine(headers);
    ASSERT_TRUE(engine);
    EXPECT_EQ(engine->id, "e 1");
    EXPECT_EQ(engine->startTimeMs, 1700);
    EXPECT_TRUE(withoutForwardHeaders(headers).empty());
}

TEST(ForwardHeadersTest, leavingEngine_withoutIdOrTime_isNotRead)
{
    for (const char *value : {"", "1700", "1700 ", "x e1", " e1"}) {
        http::HeaderList headers;
        headers.add("Forward-Engine-Leaving", value);
        EXPECT_FALSE(readLeavingEngine(headers)) << value;
    }
}

} // namespace ibisfork::gateway
