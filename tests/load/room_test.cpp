#include "load/room.h"

#include <gtest/gtest.h>

namespace ibisfork::load {

using namespace std::chrono_literals;

class RoomTest : public testing::Test
{
protected:
    bool hasRoomFor(bool isUrgent) const { return hasRoom(m_occupancy, {isUrgent, 100ms}); }

    Occupancy m_occupancy{0, 8, 10ms, 0, 0};
};

TEST_F(RoomTest, freeSlot_anyRequestFindsRoom)
{
    m_occupancy.requests = 7;
    EXPECT_TRUE(hasRoomFor(false));
    EXPECT_TRUE(hasRoomFor(true));
}

TEST_F(RoomTest, allSlotsTaken_onlyUrgentRequestsMayWaitAtTheEngine)
{
    m_occupancy.requests = 8;
    EXPECT_FALSE(hasRoomFor(false));
    EXPECT_TRUE(hasRoomFor(true));
    m_occupancy.requests = 10;
    EXPECT_FALSE(hasRoomFor(true));
}

TEST_F(RoomTest, fullEngine_reportAsOldAsARun_takesOneRequest)
{
    m_occupancy.requests = 12;
    m_occupancy.reportAge = 100ms;
    EXPECT_TRUE(hasRoomFor(false));
    m_occupancy.sentSinceReport = 1;
    EXPECT_FALSE(hasRoomFor(false));
}

TEST_F(RoomTest, noReport_ownRequestsCount)
{
    m_occupancy.reportAge.reset();
    m_occupancy.requests = 40;
    m_occupancy.own = 7;
    EXPECT_TRUE(hasRoomFor(false));
    m_occupancy.own = 8;
    EXPECT_FALSE(hasRoomFor(false));
}

} // namespace ibisfork::load
