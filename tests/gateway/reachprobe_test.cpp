#include <unistd.h>

#include <array>
#include <string_view>
#include <thread>

#include "gateway/noderow.h"
#include "gateway/reachprobe.h"
#include "gatewayfixture.h"
#include "socketaddress.h"

#include <gtest/gtest.h>

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// An engine on a thread of its own, which answers one health check though the loop of the test stands still.
class ThreadEngine
{
public:
    ThreadEngine()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = ibisfork::test::socketAddress({"127.0.0.1", 0});
        EXPECT_EQ(bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(listen(m_listener, 1), 0);
        m_thread = std::thread([this] { answerOne(); });
    }

    ~ThreadEngine()
    {
        m_thread.join();
        close(m_listener);
    }
    ThreadEngine(const ThreadEngine &) = delete;
    ThreadEngine &operator=(const ThreadEngine &) = delete;

    net::Address address() const { return ibisfork::test::boundAddress(m_listener); }

private:
    void answerOne() const
    {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const int connection = accept(m_listener, nullptr, nullptr);
        std::array<char, 1024> bytes{};
        EXPECT_GT(read(connection, bytes.data(), bytes.size()), 0);
        std::this_thread::sleep_for(100ms);
        EXPECT_GT(write(connection, answer.data(), answer.size()), 0);
        close(connection);
    }

    int m_listener;
    std::thread m_thread;
};

class ReachProbeTest : public test::GatewayTest
{
protected:
    ReachProbeTest()
        : m_context(m_base.get(), m_settings, m_metrics)
        , m_probe(m_context)
    {
        const RowVersion version{1, 5};
        PeerNode peer;
        peer.name = "n2";
        peer.region = "r1";
        peer.failureDomain = "d2";
        peer.address = {"127.0.0.1", 1};
        peer.forwarding = net::Address{"127.0.0.1", 2};
        m_context.view.applyOperatorRows({{{"config", m_configuration.dump(), version}}, true, version},
                                         base::monotonicNow());
        m_context.view.applyOwnRows(
            {{{"node/n2", encodeNodeRow(peer), version}}, true, version}, 0, base::monotonicNow());
    }

    Context m_context;
    ReachProbe m_probe;
};

TEST_F(ReachProbeTest, loopStandsStill_answerAndTimeoutAreDueTogether_checkEndsOnce)
{
    const ThreadEngine server;
    EngineEntry engine;
    engine.id = "e1";
    engine.service = "s";
    engine.address = server.address();
    ASSERT_TRUE(m_context.knowsForwardingPeers());
    m_probe.checkPath(engine);
    runFor(50ms);
    std::this_thread::sleep_for(500ms);
    EXPECT_NO_THROW(runFor(50ms));
}

} // namespace ibisfork::gateway
