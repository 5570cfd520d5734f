#pragma once

#include "gateway/gatewayfixture.h"
#include "process/gatewayprocess.h"
#include "process/heldport.h"

namespace ibisfork::process {

/// One node as a process; its store, engines and callers are in the test.
class GatewayWorldTest : public gateway::test::GatewayTest
{
protected:
    GatewayWorldTest()
        : GatewayWorldTest(freeAddresses(4))
    { }

    std::string settingsWith(const net::Address &store, const std::string &more = {}) const
    {
        return GatewayProcess::settings({{"callers", m_callers},
                                         {"readiness", m_readiness},
                                         {"operators", m_operators},
                                         {"forwarding", m_forwarding},
                                         {"store", store.text()}},
                                        more);
    }

    /// Status of one request to @p address; 0 if there is no answer.
    int statusOf(const std::string &address, const std::string &bytes, base::Duration within = std::chrono::seconds(1))
    {
        gateway::test::FakeCaller caller(m_base.get(), net::Address::parse(address));
        caller.send(bytes);
        until([&] { return caller.done(); }, within);
        return caller.answer().complete ? caller.answer().status : 0;
    }

    bool isReady()
    {
        return statusOf(m_readiness, "GET /ibisfork/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n") == 200;
    }

    bool becomesReady(base::Duration within = std::chrono::seconds(10))
    {
        const auto end = base::monotonicNow() + within;
        while (base::monotonicNow() < end) {
            if (isReady()) {
                return true;
            }
            runFor(std::chrono::milliseconds(50));
        }
        return false;
    }

    /// Whether a request to an engine is served.
    bool serves() { return statusOf(m_callers, request("GET", "/read/x"), std::chrono::seconds(3)) == 200; }

    std::string m_callers;
    std::string m_readiness;
    std::string m_operators;
    std::string m_forwarding;
    GatewayProcess m_node;

private:
    explicit GatewayWorldTest(const std::vector<std::string> &addresses)
        : m_callers(addresses[0])
        , m_readiness(addresses[1])
        , m_operators(addresses[2])
        , m_forwarding(addresses[3])
    { }
};

} // namespace ibisfork::process
