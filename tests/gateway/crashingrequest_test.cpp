#include <gtest/gtest.h>

#include <fmt/format.h>

#include "crashnodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::EngineFleet;
using test::FakeCaller;

/// Several nodes in this process, at which one request comes again and again that crashes each engine that runs it. Its
/// prompt parts are those of sound requests.
class CrashingRequestTest : public test::CrashNodesTest, public testing::WithParamInterface<EngineFleet::CrashTimes>
{
protected:
    static constexpr std::size_t knownAfterCrashes = 3;
    static constexpr std::size_t allowedRetries = 3;
    static constexpr std::chrono::milliseconds soundInterval{50};
    static constexpr const char *badBody = "bad";

    CrashingRequestTest()
        : CrashNodesTest([](const http::Request &request) { return request.body.view() == badBody; })
        , m_sound(m_base.get(), [this] { sendSound(); })
    {
        for (auto &route : m_configuration["routes"]) {
            route["itlTargetMs"] = 1000;
        }
        m_fleet.crashAfterEvents(GetParam());
    }

    void send(const std::string &body)
    {
        const auto id = ++m_serial;
        const auto text = fmt::format("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: a{}\r\n"
                                      "Ibisfork-Credential: key1\r\nIbisfork-Prefix-Hash: first:900,own{}:40\r\n"
                                      "Content-Length: {}\r\n\r\n{}",
                                      id,
                                      id,
                                      body.size(),
                                      body);
        m_calls.push_back(std::make_unique<FakeCaller>(m_base.get(), m_gateways[id % nodes]->callers()));
        m_calls.back()->send(text);
    }

    void sendSound() { send(fmt::format("sound{}", m_serial)); }

    std::vector<std::unique_ptr<FakeCaller>> m_calls;
    unsigned m_serial = 0;
    net::Timer m_sound;
};

// Guards against a crash that is no evidence since the run had delivered events (BUDGET).
TEST_P(CrashingRequestTest, requestThatCrashesEnginesAfterItsBegin_comesAgain_reachesNoMoreEngines)
{
    startNodes();
    m_sound.startEvery(soundInterval);
    runFor(500ms);
    for (int i = 0; i < 10 && m_fleet.crashes() < knownAfterCrashes; ++i) {
        send(badBody);
        runFor(800ms);
    }
    ASSERT_GE(m_fleet.crashes(), knownAfterCrashes);
    runFor(contactTime);
    const auto before = m_fleet.crashingRequests();
    for (std::size_t i = 0; i < 3 * nodes; ++i) {
        send(badBody);
        runFor(300ms);
    }
    EXPECT_LE(m_fleet.crashingRequests() - before, allowedRetries);
}

INSTANTIATE_TEST_SUITE_P(Times,
                         CrashingRequestTest,
                         testing::Values(EngineFleet::CrashTimes{1000ms, 20ms},
                                         EngineFleet::CrashTimes{1000ms, 195ms},
                                         EngineFleet::CrashTimes{1000ms, 400ms},
                                         EngineFleet::CrashTimes{250ms, 300ms},
                                         EngineFleet::CrashTimes{400ms, 900ms}),
                         [](const auto &info) {
                             return fmt::format("secondEventAfter{}msEndAfter{}ms",
                                                info.param.secondEvent.count(),
                                                info.param.end.count());
                         });

} // namespace ibisfork::gateway
