#include "serving/catchupqueue.h"

#include <gtest/gtest.h>

#include "net/httpcall.h"

namespace ibisfork::serving {

using namespace std::chrono_literals;

/// A server that passes its requests to the queue, and a client that sends one request.
class CatchUpQueueTest : public testing::Test
{
protected:
    void offerOne()
    {
        net::HttpRequest request;
        request.path = "/";
        m_call = net::fetch(m_base.get(), m_server.address(), request, 20s, [this](const auto &outcome) {
            const auto *response = std::get_if<net::HttpResponse>(&outcome);
            m_status = response != nullptr ? response->head.status : 0;
            event_base_loopbreak(m_base.get());
        });
        event_base_dispatch(m_base.get());
    }

    net::EventBasePtr m_base = net::makeEventBase();
    base::TimePoint m_now = base::monotonicNow();
    bool m_enqueued = false;
    int m_status = 0;
    CatchUpQueue m_queue{m_base.get(), [](const net::HttpServerRequest &request) {
                             request.reply->send(200, {}, "");
                         }};
    net::HttpServer m_server{m_base.get(), {"127.0.0.1", 0}, {}, [this](const net::HttpServerRequest &request) {
                                 m_enqueued = m_queue.tryEnqueue(request, m_now);
                                 if (!m_enqueued) {
                                     request.reply->send(503, {}, "");
                                 } else {
                                     event_base_loopbreak(m_base.get());
                                 }
                             }};
    std::unique_ptr<net::HttpCall> m_call;
};

TEST_F(CatchUpQueueTest, tryEnqueue_noNewerRevision_isRefusedAtOnce)
{
    m_queue.update(false, false, m_now);
    offerOne();
    EXPECT_FALSE(m_enqueued);
    EXPECT_EQ(m_status, 503);
}

TEST_F(CatchUpQueueTest, update_confirmedAgain_passesTheRequestOn)
{
    m_queue.update(false, true, m_now);
    offerOne();
    EXPECT_TRUE(m_enqueued);
    EXPECT_EQ(m_status, 0);
    m_queue.update(true, false, m_now);
    event_base_dispatch(m_base.get());
    EXPECT_EQ(m_status, 200);
}

TEST_F(CatchUpQueueTest, tryEnqueue_afterTimeout_isRefusedAtOnce)
{
    m_queue.update(false, true, m_now);
    m_now += CatchUpQueue::catchUpTimeout;
    m_queue.update(false, true, m_now);
    offerOne();
    EXPECT_FALSE(m_enqueued);
    EXPECT_EQ(m_status, 503);
}

} // namespace ibisfork::serving
