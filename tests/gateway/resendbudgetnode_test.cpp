#include "gatewayfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// A node that may send no request a second time.
class NoResendBudgetTest : public test::GatewayTest
{
protected:
    NoResendBudgetTest()
    {
        m_settings.bounds.resendRatio = 0;
        m_settings.bounds.resendExtra = 0;
    }
};

TEST_F(NoResendBudgetTest, engineRefusesConnections_requestThatReachedNoEngineIsSentToAnother)
{
    addEngine("e0").willReply({test::plainReply(200, "good")});
    addEngine("e1").refuseConnections();
    start();
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(ask(request("POST", "/book/x", {}, "abc")).status, 200);
        runFor(100ms);
    }
}

} // namespace ibisfork::gateway
