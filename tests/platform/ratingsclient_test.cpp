#include "platform/ratingsclient.h"

#include <gtest/gtest.h>

#include "net/httpserver.h"
#include "platform/faketable.h"

namespace ibisfork::platform {

using namespace std::chrono_literals;

class RatingsClientTest : public testing::Test
{
protected:
    /// Reads once against a service that answers with @p body.
    std::optional<RatingsPage> read(int status, const std::string &body)
    {
        m_status = status;
        m_body = body;
        bool answered = false;
        std::optional<RatingsPage> page;
        m_client.read(7, [&](std::optional<RatingsPage> result) {
            page = std::move(result);
            answered = true;
        });
        EXPECT_TRUE(runUntil(m_base.get(), [&] { return answered; }));
        return page;
    }

    net::EventBasePtr m_base = net::makeEventBase();
    int m_status = 200;
    std::string m_body;
    std::string m_path;
    bool m_silent = false;
    std::shared_ptr<net::HttpReply> m_kept;
    net::HttpServer m_server{m_base.get(), {"127.0.0.1", 0}, {}, [this](const net::HttpServerRequest &request) {
                                 m_path = request.request.path;
                                 m_kept = request.reply;
                                 if (!m_silent) {
                                     request.reply->send(m_status, {}, m_body);
                                 }
                             }};
    RatingsClient m_client{m_base.get(), m_server.address(), 500ms};
};

TEST_F(RatingsClientTest, read_page_givesRatingsAndWhereToReadOn)
{
    const auto page = read(
        200, R"({"next":9,"ratings":[{"request":"r","workspace":"w","version":"m@v","judge":"j","score":0.25}]})");
    EXPECT_EQ(m_path, "/v1/ratings?after=7");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->next, 9U);
    ASSERT_EQ(page->ratings.size(), 1U);
    EXPECT_EQ(page->ratings.front().version, "m@v");
    EXPECT_EQ(page->ratings.front().judge, "j");
    EXPECT_EQ(page->ratings.front().score, 0.25);
}

TEST_F(RatingsClientTest, read_oneRatingUnreadable_doesNotHoldUpTheOthers)
{
    const auto page
        = read(200, R"({"next":9,"ratings":[{"score":"high","version":"m@v"},5,{"version":"m@v","score":1}]})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->ratings.size(), 1U);
}

TEST_F(RatingsClientTest, read_serviceFails_givesNothing)
{
    const std::vector<std::pair<int, std::string>> table{
        {503, R"({"next":9,"ratings":[]})"}, {200, "{"}, {200, "[]"}, {200, R"({"ratings":[]})"}, {200, ""}};
    for (const auto &[status, body] : table) {
        EXPECT_FALSE(read(status, body)) << status << ' ' << body;
    }
}

TEST_F(RatingsClientTest, read_serviceSilent_givesNothingAndCanBeReadAgain)
{
    m_silent = true;
    EXPECT_FALSE(read(200, ""));
    m_silent = false;
    EXPECT_TRUE(read(200, R"({"next":9,"ratings":[]})"));
}

} // namespace ibisfork::platform
