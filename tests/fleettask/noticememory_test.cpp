#include "fleettask/noticememory.h"

#include <gtest/gtest.h>

namespace ibisfork::fleettask {

class NoticeMemoryTest : public testing::Test
{
protected:
    NoticeMemory m_memory;
};

TEST_F(NoticeMemoryTest, isNew_sameIdAgain_isFalse)
{
    EXPECT_TRUE(m_memory.isNew("a/1"));
    EXPECT_FALSE(m_memory.isNew("a/1"));
    EXPECT_FALSE(m_memory.isNew(""));
}

TEST_F(NoticeMemoryTest, isNew_beyondCapacity_forgetsTheOldest)
{
    m_memory.isNew("oldest");
    for (std::size_t i = 1; i < NoticeMemory::capacity; ++i) {
        m_memory.isNew(std::to_string(i));
    }
    EXPECT_FALSE(m_memory.isNew("oldest"));
    m_memory.isNew("one more");
    EXPECT_TRUE(m_memory.isNew("oldest"));
}

} // namespace ibisfork::fleettask
