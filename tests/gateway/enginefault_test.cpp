#include "gatewayfixture.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

using test::GatewayTest;

/// A fault of an engine, and the status that callers of each kind of route get when two engines show it.
struct FaultCase
{
    const char *name;
    test::EngineReply reply;
    int idempotentStatus;
    int atMostOnceStatus;
};

std::ostream &operator<<(std::ostream &out, const FaultCase &item)
{
    return out << item.name;
}

class EngineFaultTest : public GatewayTest, public testing::WithParamInterface<FaultCase>
{
protected:
    /// Starts two engines that each show the fault once and then answer normally.
    void startFaulty()
    {
        for (const auto *id : {"e1", "e2"}) {
            addEngine(id).willReply({GetParam().reply, test::plainReply(200, "good")});
        }
        start();
    }

    std::size_t sent() const { return m_engines.at("e1")->requests().size() + m_engines.at("e2")->requests().size(); }
};

TEST_P(EngineFaultTest, idempotentRequest_getsTheExpectedAnswer)
{
    // Both engines show the fault on their first request, so the retry fails too.
    startFaulty();
    const auto answer = ask(request("GET", "/read/x"));
    EXPECT_EQ(answer.status, GetParam().idempotentStatus);
    EXPECT_LE(sent(), 2U);
}

TEST_P(EngineFaultTest, requestThatMayRunOnce_runsAtMostOnce)
{
    startFaulty();
    const auto answer = ask(request("POST", "/book/x", {}, "abc"));
    EXPECT_EQ(answer.status, GetParam().atMostOnceStatus);
    const bool refusedByEngine = GetParam().reply.bytes.find("Not-Executed") != std::string::npos;
    EXPECT_LE(sent(), refusedByEngine ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    EngineFaultTest,
    testing::Values(
        FaultCase{"reset before the answer", {"", false, true}, 502, 502},
        FaultCase{"closed before the answer", {"", true}, 502, 502},
        FaultCase{"silent", {""}, 504, 504},
        FaultCase{"own failure", test::plainReply(500, "bad"), 500, 500},
        FaultCase{"bytes that are no answer", {"hello\r\n\r\n", true}, 502, 502},
        FaultCase{"answer cut short",
                  {"HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\n"
                   "Content-Length: 9\r\n\r\nabc",
                   true},
                  502,
                  502},
        FaultCase{"answer without length, reset",
                  {"HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\n\r\nabc", false, true},
                  502,
                  502},
        FaultCase{"success without signature", test::plainReply(200, "abc", ""), 502, 502},
        FaultCase{"answer to another request",
                  {"HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: zz\r\nIbisfork-Response-Seal: s\r\n"
                   "Content-Length: 3\r\n\r\nabc"},
                  502,
                  502}));

} // namespace ibisfork::gateway
