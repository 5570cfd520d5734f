#include "gateway/eventsplitter.h"

#include <gtest/gtest.h>

#include <vector>

namespace ibisfork::gateway {

class EventSplitterTest : public testing::Test
{
protected:
    void feed(std::string_view bytes)
    {
        m_splitter.feed(bytes, [this](const StreamEvent &event) {
            m_ids.push_back(event.id.value_or(0));
            m_bytes += event.bytes;
        });
    }

    EventSplitter m_splitter;
    std::vector<std::uint64_t> m_ids;
    std::string m_bytes;
};

TEST_F(EventSplitterTest, events_inOneRead_areHandedOnUnchanged)
{
    feed("id: 1\ndata: a\n\nid:2\ndata: b\n\n");
    EXPECT_EQ(m_ids, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(m_bytes, "id: 1\ndata: a\n\nid:2\ndata: b\n\n");
    EXPECT_FALSE(m_splitter.midEvent());
}

TEST_F(EventSplitterTest, event_byteByByte_isHandedOnOnceWhole)
{
    const std::string text = "v: 3\nid: 7\ndata: a\n\nid: 8\ndata";
    for (const char c : text) {
        feed(std::string(1, c));
    }
    EXPECT_EQ(m_ids, (std::vector<std::uint64_t>{7}));
    EXPECT_EQ(m_bytes, "v: 3\nid: 7\ndata: a\n\n");
    EXPECT_TRUE(m_splitter.midEvent());
}

TEST_F(EventSplitterTest, event_withCarriageReturns_endsAtEmptyLine)
{
    feed("id: 4\r\ndata: a\r\n\r\n");
    EXPECT_EQ(m_ids, (std::vector<std::uint64_t>{4}));
    EXPECT_FALSE(m_splitter.midEvent());
}

TEST_F(EventSplitterTest, event_withoutEnd_isRefusedAboveTheBound)
{
    const std::string endless(EventSplitter::maxEventBytes + 1, 'x');
    EXPECT_FALSE(m_splitter.feed(endless, [](const StreamEvent &) {}));
}

} // namespace ibisfork::gateway
