#include "gatewayfixture.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using test::GatewayTest;
using namespace std::chrono_literals;

/// Longer than the routes allow between two events, and than a plain request waits before it is sent elsewhere.
constexpr auto enginePause = 700ms;

/// Engines that fall silent for a moment and go on. Which engine a request meets first is left to the node, so all of
/// them decide by the number of requests that they have had together.
class SilentEngineTest : public GatewayTest
{
protected:
    /// Adds three engines. The first request that one of them gets is answered with @p first, resumed ones with
    /// @p resumed at the engine that had the first one, and with @p others at the others.
    void addEngines(const test::EngineReply &first, const test::EngineReply &resumed, const test::EngineReply &others)
    {
        for (const std::string id : {"e1", "e2", "e3"}) {
            addEngine(id).willDecide([this, id, first, resumed, others](const http::Request &request) {
                if (m_firstEngine.empty()) {
                    m_firstEngine = id;
                    return first;
                }
                m_resumed = request;
                return id == m_firstEngine ? resumed : others;
            });
        }
    }

    /// Lets the engines take reservations, which the operators' configuration says of their service.
    void allowReservations() { m_configuration["services"][0]["engineType"] = {{"holdMs", 2000}}; }

    void replyToReservations(const test::EngineReply &reply)
    {
        for (const auto &item : m_engines) {
            item.second->willReserve(reply);
        }
    }

    std::size_t requests() const
    {
        std::size_t count = 0;
        for (const auto &item : m_engines) {
            count += item.second->requests().size();
        }
        return count;
    }

    std::size_t reservationCalls() const
    {
        std::size_t count = 0;
        for (const auto &item : m_engines) {
            count += item.second->reservationCalls();
        }
        return count;
    }

    std::string m_firstEngine;
    /// The last request that was not the first one.
    http::Request m_resumed;
};

TEST_F(SilentEngineTest, streamHasBegunAndItsEnginePauses_theOthersRefuse_streamIsNotBrokenOff)
{
    addEngines(test::pausingStream(1, 2, 4, enginePause), test::streamReply(3, 4), test::refusal(503));
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
}

TEST_F(SilentEngineTest, streamHasBegunAndItsEnginePauses_noOtherGrantsAReservation_streamStays)
{
    allowReservations();
    addEngines(test::pausingStream(1, 2, 4, enginePause), test::refusal(503), test::refusal(503));
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
    EXPECT_EQ(requests(), 1U);
    EXPECT_GE(reservationCalls(), 1U);
}

TEST_F(SilentEngineTest, streamHasBegunAndAllEnginesPause_reservationsAreNotAnswered_streamStays)
{
    allowReservations();
    addEngines(test::pausingStream(1, 2, 4, enginePause), test::refusal(503), test::refusal(503));
    replyToReservations({""});
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
    EXPECT_EQ(requests(), 1U);
}

TEST_F(SilentEngineTest, streamHasBegunAndItsEnginePauses_anotherGrantsAReservation_streamGoesOnThere)
{
    allowReservations();
    addEngines(test::pausingStream(1, 2, 4, 1500ms), test::refusal(503), test::streamReply(3, 4));
    replyToReservations(test::reservationReply("h7"));
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
    EXPECT_EQ(requests(), 2U);
    EXPECT_EQ(m_resumed.head.headers.find("Ibisfork-Hold"), "h7");
    EXPECT_EQ(m_resumed.head.headers.find("Last-Event-Id"), "2");
    EXPECT_TRUE(until([&] { return m_engines[m_firstEngine]->open() == 0; }));
}

TEST_F(SilentEngineTest, streamHasBegunAndItsEngineSendsAByteNowAndThen_streamGoesOnAtAnother)
{
    allowReservations();
    auto stalled = test::pausingStream(1, 2, 4, 50ms);
    // An event that does not end before the route's timeout.
    stalled.rest = "ff\r\n" + std::string(255, 'x');
    stalled.isRestByteByByte = true;
    addEngines(stalled, test::refusal(503), test::streamReply(3, 4));
    replyToReservations(test::reservationReply("h7"));
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
    EXPECT_EQ(m_resumed.head.headers.find("Last-Event-Id"), "2");
}

TEST_F(SilentEngineTest, streamHasBegunAndItsEngineIsSlowButSound_noOtherTakesIt_streamStays)
{
    allowReservations();
    auto slow = test::pausingStream(1, 2, 3, 20ms);
    slow.isRestByteByByte = true;
    addEngines(slow, test::refusal(503), test::refusal(503));
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 3));
    EXPECT_EQ(requests(), 1U);
}

TEST_F(SilentEngineTest, engineGoesOnWhileAReservationIsUnderWay_streamStays)
{
    allowReservations();
    addEngines(test::pausingStream(1, 2, 4, 400ms), test::refusal(503), test::streamReply(3, 4));
    auto late = test::reservationReply("h7");
    late.delay = 200ms;
    replyToReservations(late);
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
    EXPECT_EQ(reservationCalls(), 1U);
    runFor(300ms);
    EXPECT_EQ(requests(), 1U);
}

TEST_F(SilentEngineTest, streamHasBegunAndItsEngineEnds_theOthersAreFullForAMoment_streamGoesOnLater)
{
    const auto fullUntil = base::monotonicNow() + 1s;
    for (const auto *id : {"e1", "e2"}) {
        addEngine(id).willDecide([this, fullUntil](const http::Request &) {
            if (std::exchange(m_firstEngine, "taken").empty()) {
                return test::brokenStream(1, 2);
            }
            return base::monotonicNow() < fullUntil ? test::refusal(503) : test::streamReply(3, 4);
        });
    }
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
}

TEST_F(SilentEngineTest, plainRequestLeavesAnEngineThatPauses_theOthersRefuse_isAnsweredByTheFirst)
{
    auto late = test::plainReply(200, "late");
    late.delay = enginePause;
    addEngines(late, test::plainReply(200, "good"), test::refusal(503));
    start();
    const auto answer = ask(request("GET", "/read/x"));
    EXPECT_EQ(answer.status, 200);
}

TEST_F(SilentEngineTest, streamHasBegun_noEngineTakesItInItsTime_connectionEndsWithTheTime)
{
    addEngines(test::brokenStream(1, 2), test::refusal(503), test::refusal(503));
    start();
    const auto sentAt = base::monotonicNow();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.broken);
    EXPECT_GE(base::monotonicNow() - sentAt, 1900ms);
    EXPECT_LE(base::monotonicNow() - sentAt, 2400ms);
}

TEST_F(SilentEngineTest, streamHasBegun_anotherEngineAnswersWithoutAStream_streamGoesOnAtTheNext)
{
    std::deque<test::EngineReply> replies{
        test::brokenStream(1, 2), test::plainReply(404, "nothing here"), test::streamReply(3, 4)};
    for (const auto *id : {"e1", "e2"}) {
        addEngine(id).willDecide([&replies](const http::Request &) {
            auto reply = replies.front();
            replies.pop_front();
            return reply;
        });
    }
    start();
    const auto answer = ask(request("POST", "/chat/x", {}, "abc"));
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, test::streamBody(1, 4));
}

} // namespace ibisfork::gateway
