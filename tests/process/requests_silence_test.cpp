#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>

#include <fmt/format.h>

#include "process/harness.h"
#include "process/stallingproxy.h"

namespace ibisfork::process {

using namespace std::chrono_literals;

/// One node and one engine, with a proxy before each that can go silent.
class SilenceTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_engine = m_fleet.addEngine({"--tokens", "8", "--between-tokens-ms", "20"});
        m_proxy = std::make_unique<StallingProxy>(m_engine);
        m_fleet.addNode("a", "timing: {upstream_silence: 300ms, connect_timeout: 300ms, request_deadline: 5s}\n");
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "versions: [{{model: report, version: v1}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], versions: [report@v1]}}]\n"
                                  "upstreams: [{{id: e1, address: {}, failure_domain: a, versions: [report@v1]}}]\n",
                                  m_proxy->address()));
    }

    /// Runs that the engine has begun.
    std::size_t runs() const
    {
        const auto counts = nlohmann::json::parse(get(m_engine, "/counts").body);
        std::size_t sum = 0;
        for (const auto &count : counts["runs"]) {
            sum += count.get<std::size_t>();
        }
        return sum;
    }

    unsigned running() const
    {
        return nlohmann::json::parse(get(m_engine, "/v1/load").body)["running"].get<unsigned>();
    }

    Fleet m_fleet;
    std::string m_engine;
    std::unique_ptr<StallingProxy> m_proxy;
};

TEST_F(SilenceTest, engineGoesSilentMidStream_answerIsResumedWholeFromOneRun)
{
    // The head alone has about 150 bytes; each event has about 70.
    m_proxy->stallAfter(400);
    const auto answer = chat(m_fleet, 0, "secret");
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(nlohmann::json::parse(answer.body)["choices"][0]["message"]["content"], "w0 w1 w2 w3 w4 w5 w6 w7 ");
    EXPECT_EQ(runs(), 1U);
    EXPECT_GE(m_proxy->accepted(), 2U);
}

TEST_F(SilenceTest, engineSilentFromTheStart_refusalIsUnknownAndPrompt)
{
    m_proxy->stallNew(true);
    const auto started = base::monotonicNow();
    const auto answer = chat(m_fleet, 0, "secret");
    EXPECT_LT(base::monotonicNow() - started, 5s);
    EXPECT_EQ(answer.status, 502) << answer.body;
    EXPECT_EQ(nlohmann::json::parse(answer.body)["error"]["run"], "unknown");
    m_proxy->stallNew(false);
    EXPECT_TRUE(eventually(9s, [&] { return chat(m_fleet, 0, "secret").status == 200; }));
}

TEST_F(SilenceTest, callerGoesSilent_nodeLetsGoByTheDeadline)
{
    StallingProxy callers(m_fleet.callers(0));
    net::HttpHeaders headers;
    headers.add("Authorization", "Bearer secret");
    auto answer = std::async(std::launch::async, [&] {
        net::HttpRequest request;
        request.method = net::HttpMethod::Post;
        request.path = "/v1/chat/completions";
        request.headers = headers;
        request.body = R"({"messages": [], "stream": true, "max_tokens": 1000})";
        return call(callers.address(), request, 2s);
    });
    ASSERT_TRUE(eventually(9s, [&] { return running() == 1; }));
    callers.stallOpen();
    EXPECT_TRUE(eventually(9s, [&] { return running() == 0; }));
    EXPECT_EQ(answer.get().status, 0);
    EXPECT_EQ(runs(), 1U);
}

TEST_F(SilenceTest, callerLeavesBeforeFirstToken_generationIsCancelled)
{
    net::HttpHeaders headers;
    headers.add("Authorization", "Bearer secret");
    net::HttpRequest request;
    request.method = net::HttpMethod::Post;
    request.path = "/v1/chat/completions";
    request.headers = headers;
    request.body = R"({"messages": [], "max_tokens": 1000})";
    EXPECT_EQ(call(m_fleet.callers(0), request, 500ms).status, 0);
    EXPECT_EQ(runs(), 1U);
    // Sooner than the deadline and the 1,000 tokens would end it.
    EXPECT_TRUE(eventually(3s, [&] { return running() == 0; }));
}

} // namespace ibisfork::process
