#include "admission/admissionqueue.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fmt/format.h>

namespace ibisfork::admission {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

class AdmissionQueueTest : public testing::Test
{
protected:
    std::vector<std::string> enqueue(const std::string &id,
                                     const std::string &workspace,
                                     int priority = 1,
                                     base::Duration within = 100s,
                                     double share = 1.0)
    {
        return ids(m_queue.enqueue({id, workspace, "kind-" + workspace, share, priority, m_now + within}, m_now));
    }

    static std::vector<std::string> ids(const std::vector<RejectedRequest> &rejected)
    {
        std::vector<std::string> names;
        for (const auto &request : rejected) {
            names.push_back(request.id);
        }
        return names;
    }

    /// Sets up @p running running requests and a mean service time of one second.
    void startRequests(int running)
    {
        for (int request = 0; request < running + 1; ++request) {
            m_queue.recordStart("other", 1.0);
        }
        m_queue.recordEnd(1s);
    }

    /// Dispatches up to @p count requests and returns their ids in order.
    std::vector<std::string> dispatch(std::size_t count)
    {
        std::vector<std::string> dispatched;
        m_queue.dispatchWaiting([&](const std::string &id) {
            if (dispatched.size() == count) {
                return false;
            }
            dispatched.push_back(id);
            m_queue.recordStart(id.substr(0, 1),
                                m_shares.contains(id.substr(0, 1)) ? m_shares.at(id.substr(0, 1)) : 1.0);
            return true;
        });
        return dispatched;
    }

    base::TimePoint m_now{1000s};
    std::map<std::string, double> m_shares;
    AdmissionQueue m_queue{8};
};

TEST_F(AdmissionQueueTest, dispatchWaiting_oneWorkspace_ordersByPriorityThenAge)
{
    enqueue("a1", "a");
    enqueue("a2", "a", 5);
    enqueue("a3", "a");
    EXPECT_THAT(dispatch(3), ElementsAre("a2", "a1", "a3"));
}

TEST_F(AdmissionQueueTest, dispatchWaiting_largeWorkspace_doesNotStarveASmallOne)
{
    for (int request = 0; request < 6; ++request) {
        enqueue(fmt::format("a{}", request), "a", 9);
    }
    enqueue("b0", "b");
    enqueue("b1", "b");
    EXPECT_THAT(dispatch(4), testing::UnorderedElementsAre("a0", "a1", "b0", "b1"));
}

TEST_F(AdmissionQueueTest, dispatchWaiting_shares_areKept)
{
    m_shares = {{"a", 2.0}, {"b", 1.0}};
    for (int request = 0; request < 4; ++request) {
        enqueue(fmt::format("a{}", request), "a", 1, 100s, 2.0);
        enqueue(fmt::format("b{}", request), "b");
    }
    const auto dispatched = dispatch(6);
    EXPECT_EQ(std::count_if(dispatched.begin(), dispatched.end(), [](const auto &id) { return id[0] == 'a'; }), 4);
}

TEST_F(AdmissionQueueTest, dispatchWaiting_noCapacityForOneKind_dispatchesOthers)
{
    enqueue("a0", "a");
    enqueue("b0", "b");
    std::vector<std::string> dispatched;
    m_queue.dispatchWaiting([&](const std::string &id) {
        dispatched.push_back(id);
        return id == "b0";
    });
    EXPECT_THAT(dispatched, ElementsAre("a0", "b0"));
    EXPECT_TRUE(m_queue.hasWaiting("a", "kind-a"));
    EXPECT_EQ(m_queue.size(), 1U);
}

TEST_F(AdmissionQueueTest, enqueue_full_rejectsTheLastOfTheWorkspaceMostOverItsShare)
{
    for (int request = 0; request < 7; ++request) {
        enqueue(fmt::format("a{}", request), "a", request == 3 ? 0 : 1);
    }
    enqueue("b0", "b", 0);
    EXPECT_THAT(enqueue("b1", "b", 0), ElementsAre("a3"));
    EXPECT_THAT(enqueue("a7", "a"), ElementsAre("a7"));
    EXPECT_EQ(m_queue.size(), 8U);
}

TEST_F(AdmissionQueueTest, enqueue_deadlineCannotBeMet_isRejectedAtOnceWithTheWait)
{
    startRequests(2);
    for (int request = 0; request < 4; ++request) {
        EXPECT_THAT(enqueue(fmt::format("a{}", request), "a"), IsEmpty());
    }
    // Five requests at two per second, plus one second of service time.
    EXPECT_THAT(enqueue("late", "a", 1, 3400ms), ElementsAre("late"));
    EXPECT_THAT(enqueue("fits", "a", 1, 3600ms), IsEmpty());
    EXPECT_EQ(m_queue.expectedWait("a", 1.0, 1), 3s);
}

TEST_F(AdmissionQueueTest, expire_deadlineTooNear_isRejectedAtOnce)
{
    startRequests(2);
    enqueue("a0", "a", 1, 2s);
    EXPECT_THAT(ids(m_queue.expire(m_now + 900ms)), IsEmpty());
    EXPECT_THAT(ids(m_queue.expire(m_now + 1100ms)), ElementsAre("a0"));
    EXPECT_EQ(m_queue.size(), 0U);
}

TEST_F(AdmissionQueueTest, dispatchWaiting_ranksDiffer_mostUrgentGoesFirstWhateverItsWorkspace)
{
    enqueue("a0", "a", 9);
    m_queue.enqueue({"b0", "b", "kind-b", 1.0, 1, m_now + 100s, -1}, m_now);
    m_queue.enqueue({"c0", "c", "kind-c", 1.0, 1, m_now + 100s, 1}, m_now);
    EXPECT_THAT(dispatch(3), ElementsAre("b0", "a0", "c0"));
}

TEST_F(AdmissionQueueTest, enqueue_full_lastRankIsRejectedFirst)
{
    m_queue.enqueue({"c0", "c", "kind-c", 1.0, 1, m_now + 100s, 1}, m_now);
    for (int request = 0; request < 7; ++request) {
        EXPECT_THAT(enqueue(fmt::format("a{}", request), "a"), IsEmpty());
    }
    EXPECT_THAT(enqueue("a7", "a"), ElementsAre("c0"));
}

TEST_F(AdmissionQueueTest, enqueue_timeToServeIsKnown_itDecidesInPlaceOfTheMean)
{
    startRequests(2);
    EXPECT_THAT(ids(m_queue.enqueue({"short", "a", "k", 1.0, 1, m_now + 700ms, 0, 100ms}, m_now)), IsEmpty());
    EXPECT_THAT(ids(m_queue.enqueue({"long", "a", "k", 1.0, 1, m_now + 3s, 0, 5s}, m_now)), ElementsAre("long"));
}

TEST_F(AdmissionQueueTest, expectedWait_moreUrgentOnesWait_theirTurnsComeFirst)
{
    startRequests(2);
    enqueue("a0", "a");
    enqueue("b0", "b");
    EXPECT_EQ(m_queue.expectedWait("c", 1.0, 1, 1), 1500ms);
    EXPECT_EQ(m_queue.expectedWait("c", 1.0, 1, -1), 500ms);
}

TEST_F(AdmissionQueueTest, hasWaitingUpTo_onlyRequestsOfTheKindThatAreAsUrgentCount)
{
    m_queue.enqueue({"a0", "a", "kind", 1.0, 1, m_now + 100s, 1}, m_now);
    EXPECT_FALSE(m_queue.hasWaitingUpTo(0, "kind"));
    EXPECT_TRUE(m_queue.hasWaitingUpTo(1, "kind"));
    EXPECT_FALSE(m_queue.hasWaitingUpTo(1, "other"));
    m_queue.remove("a0");
    EXPECT_FALSE(m_queue.hasWaitingUpTo(1, "kind"));
}

TEST_F(AdmissionQueueTest, recordWithdrawn_requestWasNotServed_meanTimeStays)
{
    startRequests(2);
    m_queue.recordWithdrawn();
    EXPECT_EQ(m_queue.meanServiceTime(), 1s);
    EXPECT_EQ(m_queue.releaseInterval(), 1s);
}

TEST_F(AdmissionQueueTest, remove_callerGone_isNotDispatched)
{
    enqueue("a0", "a");
    m_queue.remove("a0");
    m_queue.remove("a0");
    EXPECT_THAT(dispatch(1), IsEmpty());
}

} // namespace ibisfork::admission
