#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include "net/httpserver.h"
#include "net/timer.h"
#include "upstream/servicecall.h"

namespace ibisfork::upstream {

using namespace std::chrono_literals;

/// Sends @p text in response to the first bytes received and closes the connection; counts connections and requests.
class FakeServer
{
public:
    FakeServer(event_base *base, std::string text)
        : m_text(std::move(text))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base,
                                             &FakeServer::onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE,
                                             -1,
                                             reinterpret_cast<sockaddr *>(&address),
                                             sizeof(address));
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }
    ~FakeServer() { evconnlistener_free(m_listener); }
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    net::Address address() const { return {"127.0.0.1", m_port}; }
    unsigned connections = 0;
    unsigned requests = 0;

private:
    static void onAccept(evconnlistener *listener, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        ++static_cast<FakeServer *>(self)->connections;
        auto *bev = bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(bev, &FakeServer::onRead, nullptr, nullptr, self);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *bev, void *self)
    {
        auto *server = static_cast<FakeServer *>(self);
        ++server->requests;
        const auto &text = server->m_text;
        [[maybe_unused]] const auto sent = ::send(bufferevent_getfd(bev), text.data(), text.size(), MSG_NOSIGNAL);
        bufferevent_free(bev);
    }

    std::string m_text;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
};

class ServiceCallTest : public testing::Test
{
protected:
    ServiceOutcome call(const net::Address &address, net::HttpMethod method, std::size_t maxAnswer = 1000)
    {
        net::HttpRequest request;
        request.method = method;
        request.path = "/book";
        request.body = method == net::HttpMethod::Post ? "visit" : "";
        ServiceOutcome outcome;
        const ServiceCall running(
            m_base.get(), address, request, {2s, maxAnswer}, [&](const ServiceOutcome &result) { outcome = result; });
        // The event loop keeps running after the response, so that a retry would be detected.
        net::Timer end(m_base.get(), [this] { event_base_loopbreak(m_base.get()); });
        end.startOnce(200ms);
        event_base_dispatch(m_base.get());
        return outcome;
    }

    net::EventBasePtr m_base = net::makeEventBase();
};

struct TruncationCase
{
    const char *name;
    const char *text;
};

class ServiceCallTruncationTest : public ServiceCallTest, public testing::WithParamInterface<TruncationCase>
{
};

TEST_P(ServiceCallTruncationTest, post_truncatedResponse_failsAndIsSentOnce)
{
    const FakeServer server(m_base.get(), GetParam().text);
    const auto outcome = call(server.address(), net::HttpMethod::Post);
    ASSERT_TRUE(std::holds_alternative<net::HttpFailure>(outcome));
    EXPECT_TRUE(std::get<net::HttpFailure>(outcome).bytesLeft);
    EXPECT_EQ(server.connections, 1U);
    EXPECT_EQ(server.requests, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Truncations,
    ServiceCallTruncationTest,
    testing::Values(TruncationCase{"nothing", ""},
                    TruncationCase{"halfHead", "HTTP/1.1 200 OK\r\nContent-Le"},
                    TruncationCase{"halfBody", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"},
                    TruncationCase{"noFraming", "HTTP/1.1 200 OK\r\n\r\nabc"},
                    TruncationCase{"halfChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
                    TruncationCase{"noLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}),
    [](const auto &info) { return info.param.name; });

TEST_F(ServiceCallTest, post_connectionRefused_sendsNothing)
{
    net::Address address;
    {
        const FakeServer server(m_base.get(), "");
        address = server.address();
    }
    const auto outcome = call(address, net::HttpMethod::Post);
    ASSERT_TRUE(std::holds_alternative<net::HttpFailure>(outcome));
    EXPECT_FALSE(std::get<net::HttpFailure>(outcome).bytesLeft);
}

TEST_F(ServiceCallTest, get_responseLongerThanTheMaximum_fails)
{
    const FakeServer server(m_base.get(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789");
    const auto outcome = call(server.address(), net::HttpMethod::Get, 5);
    ASSERT_TRUE(std::holds_alternative<net::HttpFailure>(outcome));
    EXPECT_EQ(std::get<net::HttpFailure>(outcome).kind, net::HttpFailureKind::TooLong);
}

TEST_F(ServiceCallTest, head_lengthWithoutBody_isComplete)
{
    const FakeServer server(m_base.get(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    EXPECT_TRUE(std::holds_alternative<net::HttpResponse>(call(server.address(), net::HttpMethod::Head)));
}

TEST_F(ServiceCallTest, endToEndHeaders_ofTheConnection_areRemoved)
{
    net::HttpHeaders headers;
    headers.add("connection", "close, X-Hop");
    headers.add("X-Hop", "1");
    headers.add("Content-Length", "3");
    headers.add("Accept", "text/plain");
    const auto kept = endToEndHeaders(headers);
    ASSERT_EQ(kept.fields().size(), 1U);
    EXPECT_EQ(kept.find("accept"), "text/plain");
}

} // namespace ibisfork::upstream
