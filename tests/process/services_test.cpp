#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>

#include <fmt/format.h>

#include "process/harness.h"

namespace ibisfork::process {

using namespace std::chrono_literals;
using Json = nlohmann::json;

class ServicesTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_first = m_fleet.addService();
        m_second = m_fleet.addService();
        m_fleet.addNode("a");
        m_fleet.apply(0,
                      fmt::format("failure_domains: [{{name: a, region: r1}}]\n"
                                  "workspaces: [{{name: w1, keys: [secret], services: [booking]}},"
                                  " {{name: w2, keys: [other]}}]\n"
                                  "upstreams:\n"
                                  "  - {{id: s1, kind: service, service: booking, address: {}, failure_domain: a}}\n"
                                  "  - {{id: s2, kind: service, service: booking, address: {}, failure_domain: a}}\n",
                                  m_first,
                                  m_second));
    }

    Answer ask(net::HttpMethod method, const std::string &path, const std::string &body, const std::string &key)
    {
        net::HttpRequest request;
        request.method = method;
        request.path = "/v1/services/" + path;
        request.body = body;
        request.headers.add("Authorization", "Bearer " + key);
        request.headers.add("X-Colour", "blue");
        return call(m_fleet.callers(0), request);
    }

    unsigned effects()
    {
        unsigned sum = 0;
        for (const auto &address : {m_first, m_second}) {
            const auto counts = Json::parse(get(address, "/counts").body);
            for (const auto &[key, count] : counts.items()) {
                sum += count.get<unsigned>();
            }
        }
        return sum;
    }

    void setFaults(const Json &faults)
    {
        post(m_first, "/faults", faults);
        post(m_second, "/faults", faults);
    }

    static std::string runOf(const Answer &answer) { return Json::parse(answer.body)["error"]["run"]; }

    Fleet m_fleet;
    std::string m_first;
    std::string m_second;
};

TEST_F(ServicesTest, call_permitted_isPassedThrough)
{
    const auto answer = ask(net::HttpMethod::Post, "booking/visits/7?day=2", "sofa", "secret");
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto seen = Json::parse(answer.body);
    EXPECT_EQ(seen["path"], "/visits/7?day=2");
    EXPECT_EQ(seen["body"], "sofa");
    EXPECT_TRUE(answer.headers.find("X-Request-Id"));
    EXPECT_EQ(effects(), 1U);
}

TEST_F(ServicesTest, call_everyMethod_reachesTheService)
{
    using net::HttpMethod;
    for (const auto method : {HttpMethod::Get,
                              HttpMethod::Head,
                              HttpMethod::Put,
                              HttpMethod::Delete,
                              HttpMethod::Patch,
                              HttpMethod::Options}) {
        EXPECT_EQ(ask(method, "booking/visits", "", "secret").status, 200) << static_cast<int>(method);
    }
}

TEST_F(ServicesTest, call_notPermitted_isRefusedAsNotRun)
{
    const auto answer = ask(net::HttpMethod::Post, "booking/visits", "sofa", "other");
    EXPECT_EQ(answer.status, 403);
    EXPECT_EQ(runOf(answer), "not_run");
    EXPECT_EQ(effects(), 0U);
}

TEST_F(ServicesTest, post_answerLost_ranOnceAndIsUnknown)
{
    setFaults({{"lose_answers", true}});
    const auto answer = ask(net::HttpMethod::Post, "booking/visits", "sofa", "secret");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(runOf(answer), "unknown");
    EXPECT_EQ(effects(), 1U);
}

TEST_F(ServicesTest, get_oneServiceLosesAnswers_isAnsweredByTheOther)
{
    post(m_first, "/faults", {{"lose_answers", true}});
    for (int call = 0; call < 4; ++call) {
        EXPECT_EQ(ask(net::HttpMethod::Get, "booking/visits", "", "secret").status, 200);
    }
}

TEST_F(ServicesTest, post_oneServiceKilled_isAnsweredByTheOtherWithoutASecondRun)
{
    m_fleet.engine(0).signal(SIGKILL);
    m_fleet.engine(0).wait(5s);
    for (int call = 0; call < 4; ++call) {
        EXPECT_EQ(ask(net::HttpMethod::Post, "booking/visits", "sofa", "secret").status, 200);
    }
    const auto counts = Json::parse(get(m_second, "/counts").body);
    EXPECT_EQ(counts["no-key"], 4);
}

TEST_F(ServicesTest, post_allServicesKilled_isRefusedAsNotRun)
{
    for (const int service : {0, 1}) {
        m_fleet.engine(service).signal(SIGKILL);
        m_fleet.engine(service).wait(5s);
    }
    const auto answer = ask(net::HttpMethod::Post, "booking/visits", "sofa", "secret");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(runOf(answer), "not_run");
}

} // namespace ibisfork::process
