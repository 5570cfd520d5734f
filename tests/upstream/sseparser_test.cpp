#include "upstream/sseparser.h"

#include <gtest/gtest.h>

namespace ibisfork::upstream {

class SseParserTest : public testing::Test
{
protected:
    std::vector<ServerSentEvent> m_events;
    SseParser m_parser{[this](const ServerSentEvent &event) {
        m_events.push_back(event);
    }};
};

TEST_F(SseParserTest, feed_eventInSingleBytes_isParsed)
{
    for (const char c : std::string("id: 3\r\nevent: end\ndata: a\ndata: b\n\n")) {
        m_parser.feed(std::string_view(&c, 1));
    }
    ASSERT_EQ(m_events.size(), 1U);
    EXPECT_EQ(m_events[0].id, "3");
    EXPECT_EQ(m_events[0].event, "end");
    EXPECT_EQ(m_events[0].data, "a\nb");
}

TEST_F(SseParserTest, feed_commentAndEmptyLines_giveNoEvent)
{
    m_parser.feed(": keep-alive\n\n\n");
    EXPECT_TRUE(m_events.empty());
}

TEST_F(SseParserTest, feed_lineLongerThanTheMaximum_isRejected)
{
    EXPECT_FALSE(m_parser.feed(std::string(SseParser::maxLineBytes + 1, 'x')));
}

} // namespace ibisfork::upstream
