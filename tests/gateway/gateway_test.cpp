#include "gatewayfixture.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using nlohmann::json;
using test::EngineReply;
using test::FakeCaller;
using test::FakeEngine;
using test::FakeStore;
using test::GatewayTest;

TEST_F(GatewayTest, request_toItsRoute_isForwardedWithoutKeyAndWithWorkspace)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "hello")});
    start();
    const auto answer = ask(request("POST", "/book/x?q=1", "X-Own: 5\r\nIbisfork-Tenant: other\r\n", "abc"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "hello");
    EXPECT_EQ(answer.headers.find("Ibisfork-Response-Seal"), "s");
    ASSERT_EQ(engine.requests().size(), 1U);
    const auto &seen = engine.requests().front();
    EXPECT_EQ(seen.head.target, "/book/x?q=1");
    EXPECT_EQ(seen.body, "abc");
    EXPECT_EQ(seen.head.headers.find("Ibisfork-Tenant"), "w1");
    EXPECT_EQ(seen.head.headers.count("Ibisfork-Tenant"), 1U);
    EXPECT_FALSE(seen.head.headers.find("Ibisfork-Credential"));
    EXPECT_EQ(seen.head.headers.find("X-Own"), "5");
    EXPECT_EQ(seen.head.headers.find("Ibisfork-Expect-Instance"), "e1");
}

TEST_F(GatewayTest, headersOfTheSystem_sentByACaller_areNotForwarded)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "")});
    start();
    ask(request("GET", "/read/x", "Ibisfork-Hold: 1\r\nIbisfork-Pin-Ms: 9\r\nKv-From: a\r\nIbisfork-Kv-Backup: b\r\n"));
    ASSERT_EQ(engine.requests().size(), 1U);
    const auto &headers = engine.requests().front().head.headers;
    EXPECT_FALSE(headers.find("Ibisfork-Hold"));
    EXPECT_FALSE(headers.find("Ibisfork-Pin-Ms"));
    EXPECT_FALSE(headers.find("Kv-From"));
    EXPECT_FALSE(headers.find("Ibisfork-Kv-Backup"));
}

TEST_F(GatewayTest, unknownRouteAndKey_areRefusedAndNotRun)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "")});
    start();
    EXPECT_EQ(ask(request("GET", "/other/x")).status, 404);
    auto stranger = request("GET", "/read/x");
    stranger.replace(stranger.find("key1"), 4, "key9");
    EXPECT_EQ(ask(stranger).status, 401);
    EXPECT_TRUE(engine.requests().empty());
}

TEST_F(GatewayTest, storeUnavailable_newNode_answersRetryLater)
{
    m_store.setMode(test::StoreMode::Refusing);
    m_gateway = std::make_unique<Gateway>(m_base.get(), m_settings, m_metrics);
    m_gateway->start();
    const auto answer = ask(request("GET", "/read/x"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
    EXPECT_FALSE(m_gateway->ready());
}

TEST_F(GatewayTest, newNode_configurationArrivesSoon_requestWaitsForIt)
{
    addEngine("e1").willReply({test::plainReply(200, "hello")});
    configure();
    m_store.setMode(test::StoreMode::Refusing);
    m_gateway = std::make_unique<Gateway>(m_base.get(), m_settings, m_metrics);
    m_gateway->start();
    FakeCaller caller(m_base.get(), m_gateway->callers());
    caller.send(request("GET", "/read/x"));
    runFor(50ms);
    m_store.setMode(test::StoreMode::Serving);
    ASSERT_TRUE(until([&] { return caller.done(); }));
    EXPECT_EQ(caller.answer().status, 200);
}

TEST_F(GatewayTest, storeSilent_runningNode_servesOn)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "hello")});
    start();
    m_store.setMode(test::StoreMode::Silent);
    runFor(3s);
    const auto before = base::monotonicNow();
    EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    EXPECT_LT(base::monotonicNow() - before, 500ms);
    EXPECT_TRUE(m_gateway->ready());
}

TEST_F(GatewayTest, historyGone_changesMeanwhile_areReadWhole)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "hello")});
    start();
    m_store.dropHistory();
    m_configuration["version"] = 8;
    m_configuration["routes"].push_back(route("more", "/more/", "idempotent", 2));
    configure();
    EXPECT_TRUE(until([this] { return ask(request("GET", "/more/x")).status == 200; }, 4s));
}

TEST_F(GatewayTest, olderConfiguration_isNotTaken)
{
    addEngine("e1").willReply({test::plainReply(200, "hello")});
    start();
    m_configuration["version"] = 6;
    m_configuration["routes"].erase(0);
    configure();
    runFor(300ms);
    EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
}

TEST_F(GatewayTest, unreadableEntry_namesNoEngineAndHarmsNoOther)
{
    addEngine("e1").willReply({test::plainReply(200, "hello")});
    m_store.put("servers", "e2", "{\"service\": 5}");
    m_store.put("servers", "e3", "\xff\xfe");
    start();
    EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
}

TEST_F(GatewayTest, idempotentRequest_oneEngineFaulty_isServedByTheOther)
{
    // The faulty engine is picked first in about half of the requests, so several requests are sent.
    addEngine("e1").willReply({{"", false, true}});
    addEngine("e2").willReply({test::plainReply(200, "good")});
    start();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
}

TEST_F(GatewayTest, engineRefuses_allFull_callerIsToldNotRunAndWhenToComeBack)
{
    addEngine("e1").willReply({test::refusal(503)});
    addEngine("e2").willReply({test::refusal(503)});
    start();
    const auto answer = ask(request("POST", "/book/x", {}, "abc"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.find("Retry-After"));
}

TEST_F(GatewayTest, addressOfAnotherEngine_answers421_isPassedOver)
{
    addEngine("e1").willReply({test::plainReply(421, "", "Ibisfork-Instance-Id: zz\r\n")});
    addEngine("e2").willReply({test::plainReply(200, "good")});
    start();
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(ask(request("POST", "/book/x", {}, "abc")).status, 200);
    }
}

TEST_F(GatewayTest, answerWithoutLength_connectionEndsCleanly_isForwardedWhole)
{
    addEngine("e1").willReply(
        {{"HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: ID\r\nIbisfork-Response-Seal: s\r\n\r\nabc", true}});
    start();
    const auto answer = ask(request("GET", "/read/x"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "abc");
    EXPECT_TRUE(answer.complete);
}

TEST_F(GatewayTest, extraAnswer_onAKeptConnection_belongsToNoRequest)
{
    auto twice = test::plainReply(200, "one");
    twice.bytes
        += "HTTP/1.1 200 OK\r\nIbisfork-Attempt-Id: a1\r\nIbisfork-Response-Seal: s\r\nContent-Length: 3\r\n\r\ntwo";
    addEngine("e1").willReply({twice, test::plainReply(200, "three")});
    start();
    EXPECT_EQ(ask(request("GET", "/read/x")).body, "one");
    EXPECT_EQ(ask(request("GET", "/read/x")).body, "three");
}

TEST_F(GatewayTest, engineDraining_getsNoNewRequest)
{
    auto &draining = addEngine("e1");
    draining.willReply({test::plainReply(200, "one")});
    auto &other = addEngine("e2");
    other.willReply({test::plainReply(200, "two")});
    start();
    list("e1", "draining");
    runFor(1500ms);
    const auto before = draining.requests().size();
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).body, "two");
    }
    EXPECT_EQ(draining.requests().size(), before);
}

TEST_F(GatewayTest, failureDomainTakenOut_getsNothingUntilItIsBack)
{
    auto &out = addEngine("e1", "d1");
    out.willReply({test::plainReply(200, "one")});
    addEngine("e2", "d2").willReply({test::plainReply(200, "two")});
    start();
    m_store.put("op", "evacuate/d1", "{}");
    runFor(200ms);
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).body, "two");
    }
    EXPECT_TRUE(out.requests().empty());
    m_store.remove("op", "evacuate/d1");
    runFor(200ms);
    EXPECT_TRUE(until([&] { return ask(request("GET", "/read/x")).body == "one"; }));
}

TEST_F(GatewayTest, revokedKey_isRefused)
{
    addEngine("e1").willReply({test::plainReply(200, "one")});
    start();
    m_configuration["version"] = 8;
    m_configuration["tenants"][0]["apiKeys"] = {"key2"};
    configure();
    EXPECT_TRUE(until([this] { return ask(request("GET", "/read/x")).status == 401; }, 1s));
}

TEST_F(GatewayTest, engineSilentForASecond_requestThatMayRunOnce_isAnsweredByItsOneRun)
{
    auto slow = test::plainReply(200, "late");
    slow.delay = 1100ms;
    auto &engine = addEngine("e1");
    engine.willReply({slow});
    start();
    EXPECT_EQ(ask(request("POST", "/book/x", {}, "abc")).body, "late");
    EXPECT_EQ(engine.requests().size(), 1U);
}

TEST_F(GatewayTest, onlyEngineSilentForASecond_repeatableRequest_isAnsweredByIt)
{
    auto slow = test::plainReply(200, "late");
    slow.delay = 1100ms;
    addEngine("e1").willReply({slow});
    start();
    EXPECT_EQ(ask(request("GET", "/read/x")).body, "late");
}

TEST_F(GatewayTest, callerLeaves_runAtTheEngineIsEnded)
{
    auto &engine = addEngine("e1");
    engine.willReply({{""}});
    start();
    auto caller = std::make_unique<FakeCaller>(m_base.get(), m_gateway->callers());
    caller->send(request("POST", "/book/x", {}, "abc"));
    ASSERT_TRUE(until([&] { return engine.requests().size() == 1; }));
    caller->leave();
    EXPECT_TRUE(until([&] { return engine.open() == 0; }, 500ms));
}

TEST_F(GatewayTest, node_startsAgain_itsRowThatStandsIsNotWrittenAgain)
{
    // The ports stay the same over the restart, as they do on real machines.
    start();
    ASSERT_TRUE(until([&] { return m_store.find("ibisfork", "node/n1").has_value(); }));
    m_settings.operators = m_gateway->operators();
    m_settings.forwarding = m_gateway->forwarding();
    m_gateway.reset();
    const auto writes = m_store.writes();
    start();
    runFor(800ms);
    EXPECT_EQ(m_store.writes(), writes);
    m_gateway.reset();
    m_settings.node.failureDomain = "d2";
    start();
    EXPECT_TRUE(until([&] { return m_store.writes() == writes + 1; }, 2s))
        << "the node's row has changed and must be written";
}

TEST_F(GatewayTest, idleConnections_ofAnEngineThatBearsFew_areKeptOnlyAsThisNodesShare)
{
    // There is only one node, and half of the connections that the engine accepts may be idle.
    m_configuration["services"][0]["maxConns"] = 2;
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "a")});
    start();
    FakeCaller first(m_base.get(), m_gateway->callers());
    FakeCaller second(m_base.get(), m_gateway->callers());
    first.send(request("GET", "/read/x"));
    second.send(request("GET", "/read/y"));
    ASSERT_TRUE(until([&] { return first.done() && second.done(); }));
    runFor(100ms);
    EXPECT_EQ(engine.open(), 1U);
}

TEST_F(GatewayTest, timeout_ofTheRoute_isKeptWithinHalfASecond)
{
    addEngine("e1").willReply({{""}});
    start();
    const auto before = base::monotonicNow();
    const auto answer = ask(request("POST", "/book/x", {}, "abc"));
    EXPECT_EQ(answer.status, 504);
    EXPECT_LT(base::monotonicNow() - before, 2500ms);
}

TEST_F(GatewayTest, timeout_ofTheCaller_isForwardedAsTimeLeft)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "")});
    start();
    ask(request("GET", "/read/x", "Ibisfork-Deadline-Ms: 700\r\n"));
    ASSERT_EQ(engine.requests().size(), 1U);
    const std::string left(engine.requests().front().head.headers.find("Ibisfork-Deadline-Ms").value_or("-1"));
    EXPECT_LE(std::stoi(left), 700);
    EXPECT_GT(std::stoi(left), 500);
}

TEST_F(GatewayTest, smuggledRequest_endsInOne400AndAClosedConnection)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "")});
    start();
    const auto hidden = request("GET", "/read/hidden");
    for (const std::string &length : {std::string("Content-Length : 70"), std::string("Content-Length: +7")}) {
        std::string bytes = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nIbisfork-Credential: key1\r\n";
        bytes.append(length).append("\r\n\r\n").append(hidden);
        const auto answer = ask(bytes);
        EXPECT_EQ(answer.status, 400);
        EXPECT_EQ(answer.headers.find("Connection"), "close");
    }
    EXPECT_TRUE(engine.requests().empty());
}

TEST_F(GatewayTest, bodyAboveTheLimit_is413)
{
    addEngine("e1").willReply({test::plainReply(200, "")});
    start();
    EXPECT_EQ(ask(request("POST", "/book/x", {}, std::string(20000, 'x'))).status, 413);
}

TEST_F(GatewayTest, headThatNeverEnds_isAborted)
{
    addEngine("e1").willReply({test::plainReply(200, "")});
    start();
    EXPECT_EQ(ask("GET /read/x HTTP/1.1\r\nHost: h").status, 408);
}

TEST_F(GatewayTest, shutdown_runningRequest_isAnsweredAndNoneIsCut)
{
    m_settings.bounds.shutdownGrace = 4500ms;
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "one")});
    start();
    bool stopped = false;
    m_gateway->stop([&] { stopped = true; });
    EXPECT_FALSE(m_gateway->ready());
    const auto answer = ask(request("GET", "/read/x"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.find("Connection"), "close");
    EXPECT_TRUE(until([&] { return stopped; }, 5s));
}

TEST_F(GatewayTest, rollout_failingVersion_isRevertedInTheStore)
{
    addEngine("e1").willReply({test::plainReply(200, "one")});
    addEngine("e2", "d1", "v2").willReply({test::plainReply(500, "bad")});
    start();
    m_store.put("op", "rollout/s", json{{"service", "s"}, {"to", "v2"}, {"periodS", 60}}.dump());
    const auto state = [this] {
        const auto row = m_store.find("status", "rollout/s");
        return row ? json::parse(*row).value("state", "") : std::string();
    };
    EXPECT_TRUE(until([&] { return state() == "in_progress"; }));
    EXPECT_TRUE(m_store.find("ibisfork", "rollout/s"));
    int asked = 0;
    while (state() != "reverted" && asked < 600) {
        auto bytes = request("GET", "/read/x");
        bytes.replace(bytes.find("Id: a1"), 6, "Id: b" + std::to_string(asked++));
        ask(bytes);
    }
    EXPECT_EQ(state(), "reverted");
    EXPECT_LE(m_engines["e2"]->requests().size(), 10U);
}

TEST_F(GatewayTest, engineNamesALimit_onlyEngine_callersAreRefusedAtOnceWithATimeToComeBack)
{
    auto &engine = addEngine("e1");
    engine.willReply({test::plainReply(200, "x", "Ibisfork-Response-Seal: s\r\nServer-Limit: 1\r\n")});
    start();
    ASSERT_EQ(ask(request("GET", "/read/x")).status, 200);
    int refused = 0;
    double lastWait = 0;
    for (int i = 0; i < 20; ++i) {
        const auto began = base::monotonicNow();
        const auto answer = ask(request("GET", "/read/x"));
        if (answer.status != 503) {
            continue;
        }
        ++refused;
        EXPECT_LT(base::monotonicNow() - began, 200ms);
        ASSERT_TRUE(answer.headers.find("Retry-After"));
        lastWait = std::stod(std::string(*answer.headers.find("Retry-After")));
        EXPECT_GT(lastWait, 0.0);
    }
    EXPECT_GE(refused, 18);
    EXPECT_GT(lastWait, 5.0);
    EXPECT_LE(engine.requests().size(), 3U);
}

TEST_F(GatewayTest, engineNamesALimit_othersDoNot_theyServeAllCallers)
{
    auto &limited = addEngine("e1");
    limited.willReply({test::plainReply(200, "x", "Ibisfork-Response-Seal: s\r\nServer-Limit: 1\r\n")});
    auto &free = addEngine("e2");
    free.willReply({test::plainReply(200, "x")});
    start();
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
    EXPECT_LE(limited.requests().size(), 3U);
}

TEST_F(GatewayTest, engineNamesALimitNoMore_isUsedAsBefore)
{
    auto &engine = addEngine("e1");
    engine.willReply(
        {test::plainReply(200, "x", "Ibisfork-Response-Seal: s\r\nServer-Limit: 4\r\n"), test::plainReply(200, "x")});
    start();
    ASSERT_EQ(ask(request("GET", "/read/x")).status, 200);
    ASSERT_TRUE(until([&] { return ask(request("GET", "/read/x")).status == 200; }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(ask(request("GET", "/read/x")).status, 200);
    }
}

TEST_F(GatewayTest, enginesOfANewVersion_listedBeforeTheirOrderIsRead_getNothing)
{
    auto &old = addEngine("e1");
    old.willReply({test::plainReply(200, "x")});
    start();
    auto &next = addEngine("e2", "d1", "v2");
    next.willReply({test::plainReply(200, "x")});
    FleetView view;
    TableChange engines;
    for (const auto *id : {"e1", "e2"}) {
        const bool isNew = std::string(id) == "e2";
        engines.rows.push_back({id, *m_store.find("servers", id), isNew ? 40U : 20U, false, false});
    }
    engines.isFullRead = true;
    view.applyEngineRows(engines, base::monotonicNow());
    const auto usable = [&view] {
        std::string ids;
        for (const auto *engine : view.usableEngines("s", VersionPreference::Any)) {
            ids += engine->entry.id;
        }
        return ids;
    };
    view.recordOperatorVersion(30);
    EXPECT_EQ(usable(), "e1");
    view.recordOperatorVersion(41);
    EXPECT_EQ(usable(), "e1e2");
}

} // namespace ibisfork::gateway
