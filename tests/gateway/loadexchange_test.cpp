#include "gateway/loads/loadexchange.h"

#include "gateway/loads/loads.pb.h"
#include "peernodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// Nodes that tell each other what engines have said of their load.
class LoadExchangeTest : public test::PeerNodesTest
{
protected:
    /// Lets engines say with each answer that they run 5 requests at half of their usual speed.
    void answerWithLoad(const std::string &load)
    {
        answerWith(
            test::plainReply(200, "good", "Ibisfork-Response-Seal: s\r\nIbisfork-Engine-Load: " + load + "\r\n"));
    }

    /// The status document of node @p index.
    nlohmann::json status(std::size_t index)
    {
        test::FakeCaller operators(m_base.get(), m_nodes[index]->gateway->operators());
        operators.send("GET /status HTTP/1.1\r\nHost: n\r\n\r\n");
        EXPECT_TRUE(until([&] { return operators.done(); }));
        return nlohmann::json::parse(operators.answer().body);
    }

    /// Engines of which node @p index knows a report.
    std::size_t reported(std::size_t index)
    {
        const auto engines = status(index)["engines"];
        return static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(), [](const auto &engine) { return engine["report_ms"] >= 0; }));
    }

    /// Sends a few requests through the first node and one through the last one.
    void askAll()
    {
        for (int i = 0; i < 6; ++i) {
            askCut(request("GET", "/read/x"));
        }
        test::FakeCaller last(m_base.get(), m_nodes.back()->gateway->callers());
        last.send(request("GET", "/read/x"));
        until([&] { return last.done(); });
    }

    /// The status of the answer to @p body, sent as an exchange to the first node.
    int exchange(const std::string &body)
    {
        test::FakeCaller node(m_base.get(), m_nodes.front()->gateway->operators());
        node.send("POST /loads HTTP/1.1\r\nHost: n\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                  + body);
        until([&] { return node.done(); });
        return node.answer().status;
    }
};

TEST_F(LoadExchangeTest, reportsOfOneNode_enginesSayTheirPace_otherNodesKnowThem)
{
    answerWithLoad("5,0,8,200");
    startNodes({Cut::None, Cut::None});
    askAll();
    EXPECT_TRUE(until([&] { return reported(1) == reported(0) && reported(0) > 1; }));
}

TEST_F(LoadExchangeTest, engineSaysWhatCannotBe_otherNodesStillKnowTheReports)
{
    answerWithLoad("5,0,4000000000,900000");
    startNodes({Cut::None, Cut::None});
    askAll();
    EXPECT_TRUE(until([&] { return reported(1) == reported(0) && reported(0) > 1; }));
}

TEST_F(LoadExchangeTest, enginesSayNothingOfTheirMachines_nodesExchangeNothing)
{
    answerWithLoad("5,0,8");
    startNodes({Cut::None, Cut::None});
    askAll();
    runFor(600ms);
    EXPECT_EQ(m_nodes[0]->metrics.counter("ibisfork_load_bytes_sent_total").value(), 0U);
}

TEST_F(LoadExchangeTest, messageThatNoNodeSends_isRefusedAndChangesNothing)
{
    startNodes({Cut::None, Cut::None});
    loads::wire::LoadExchange message;
    message.set_node(nameOf(1));
    auto &report = *message.add_reports();
    report.set_engine("e0");
    report.set_running(4'000'000'000);
    EXPECT_EQ(exchange(message.SerializeAsString()), 400);
    report.set_running(1);
    report.set_slowdown(1'000'000);
    EXPECT_EQ(exchange(message.SerializeAsString()), 400);
    EXPECT_EQ(exchange("no message"), 400);
    message.set_node("stranger");
    report.set_slowdown(100);
    EXPECT_EQ(exchange(message.SerializeAsString()), 503);
    EXPECT_EQ(reported(0), 0U);
    message.set_node(nameOf(1));
    EXPECT_EQ(exchange(message.SerializeAsString()), 200);
    EXPECT_EQ(reported(0), 1U);
}

} // namespace ibisfork::gateway
