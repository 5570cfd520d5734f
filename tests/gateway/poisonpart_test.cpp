#include <gtest/gtest.h>

#include <list>

#include <fmt/format.h>

#include "crashnodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::EngineFleet;
using test::FakeCaller;

/// Several nodes in this process. Requests with one prompt part crash each engine that runs them; sound requests share
/// their first part, their caller and their route.
class PoisonPartTest : public test::CrashNodesTest
{
protected:
    /// Crashes after which the part must be known.
    static constexpr std::size_t knownAfterCrashes = 5;
    static constexpr std::chrono::milliseconds soundInterval{25};
    static constexpr std::chrono::milliseconds badInterval{150};
    static constexpr const char *badPart = "bad0";

    PoisonPartTest()
        : CrashNodesTest([](const http::Request &request) { return isBad(request); })
        , m_sound(m_base.get(), [this] { sendSound(); })
        , m_bad(m_base.get(), [this] { sendBad(); })
    { }

    static bool isBad(const http::Request &request)
    {
        const auto parts = request.head.headers.find("Ibisfork-Prefix-Hash");
        return parts && parts->find(badPart) != std::string_view::npos;
    }

    struct SentCall
    {
        std::unique_ptr<FakeCaller> caller;
        base::TimePoint sentAt;
    };

    std::string chat(const std::string &part) const
    {
        return fmt::format("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: a{0}\r\n"
                           "Ibisfork-Credential: key1\r\nIbisfork-Prefix-Hash: first:900,{1}:300,own{0}:40\r\n"
                           "Content-Length: {2}\r\n\r\nb{0}",
                           m_serial,
                           part,
                           std::to_string(m_serial).size() + 1);
    }

    void send(const std::string &part, std::list<SentCall> &calls)
    {
        ++m_serial;
        const auto &gateway = m_gateways[m_serial % m_gateways.size()];
        calls.push_back({std::make_unique<FakeCaller>(m_base.get(), gateway->callers()), base::monotonicNow()});
        calls.back().caller->send(chat(part));
    }

    void sendBadTo(std::size_t node)
    {
        m_serial += (nodes + node - (m_serial + 1) % nodes) % nodes;
        sendBad();
    }

    void sendSound() { send(fmt::format("sound{}", m_serial % 20), m_soundCalls); }
    void sendBad() { send(badPart, m_badCalls); }

    /// Share of the sound requests sent from @p from on that were answered with success, from 0 to 1.
    double servedSince(base::TimePoint from) const
    {
        double sent = 0;
        double served = 0;
        for (const auto &call : m_soundCalls) {
            if (call.sentAt >= from) {
                ++sent;
                served += call.caller->answer().status == 200 && call.caller->answer().complete ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : served / sent;
    }

    /// Sends bad requests beside sound ones until the part must be known at all nodes.
    void playUntilKnown()
    {
        m_sound.startEvery(soundInterval);
        runFor(1s);
        m_bad.startEvery(badInterval);
        ASSERT_TRUE(until([this] { return m_fleet.crashes() >= knownAfterCrashes; }, 10s));
        runFor(contactTime);
    }

    /// Sends on once the part must be known: it reaches no more engines, and sound requests are served.
    void expectRefusedAndSoundOnesServed()
    {
        const auto before = m_fleet.crashingRequests();
        runFor(contactTime);
        const auto soundFrom = base::monotonicNow();
        runFor(2s);
        m_sound.stop();
        runFor(500ms);
        EXPECT_LE(m_fleet.crashingRequests() - before, 3U);
        EXPECT_GE(servedSince(soundFrom), 0.9);
    }

    std::list<SentCall> m_soundCalls;
    std::list<SentCall> m_badCalls;
    unsigned m_serial = 0;
    net::Timer m_sound;
    net::Timer m_bad;
};

TEST_F(PoisonPartTest, newRequestsWithAPartThatCrashesEngines_reachNoMoreEngines_soundOnesAreServed)
{
    startNodes();
    playUntilKnown();
    const auto knownAt = base::monotonicNow();
    expectRefusedAndSoundOnesServed();
    EXPECT_GT(base::monotonicNow() - knownAt, 5s);
}

TEST_F(PoisonPartTest, partThatCrashesEnginesJustAfterAnEvent_reachesNoMoreEngines_soundRequestsAreServed)
{
    m_fleet.crashAfterAnEvent();
    startNodes();
    playUntilKnown();
    expectRefusedAndSoundOnesServed();
}

TEST_F(PoisonPartTest, allNodesRestart_partStaysRefused)
{
    startNodes();
    playUntilKnown();
    for (std::size_t i = 0; i < nodes; ++i) {
        startNode(i);
    }
    const auto before = m_fleet.crashingRequests();
    runFor(2s);
    EXPECT_LE(m_fleet.crashingRequests() - before, 3U);
}

TEST_F(PoisonPartTest, allEnginesCrash_nodesSeemCutOff_eachCrashIsStillEvidence)
{
    startNodes();
    m_sound.startEvery(soundInterval);
    runFor(1s);
    // Parts of their own, so that the requests are spread over the engines.
    for (std::size_t i = 0; i < 2 * engines; ++i) {
        send(fmt::format("{}-{}", badPart, i), m_badCalls);
    }
    ASSERT_TRUE(until([this] { return m_fleet.crashes() == engines; }, 200ms));
    EXPECT_TRUE(until([this] { return reportedEngines().size() == engines; }, 3s)) << reportedEngines().size();
}

// Guards against evidence that waits for the next answer of any engine, until the engine that ended is back (BUDGET).
TEST_F(PoisonPartTest, enginesEndOneAfterTheOther_nothingElseIsSent_eachCrashIsEvidenceSoon)
{
    startNodes();
    m_sound.startEvery(soundInterval);
    runFor(1s);
    m_sound.stop();
    runFor(500ms);
    sendBadTo(0);
    ASSERT_TRUE(until([this] { return m_fleet.crashes() == 2; }, 500ms));
    sendBadTo(0);
    ASSERT_TRUE(until([this] { return m_fleet.crashes() == 4; }, 500ms));
    EXPECT_TRUE(until([this] { return reportedEngines().size() == 4; }, 1s)) << reportedEngines().size();
}

TEST_F(PoisonPartTest, allNodesRestart_beforeAPartIsConvicted_partStaysRefused)
{
    startNodes();
    m_sound.startEvery(soundInterval);
    runFor(1s);
    for (std::size_t i = 0; i < 2; ++i) {
        sendBadTo(0);
        runFor(500ms);
    }
    ASSERT_GE(reportedEngines().size(), 3U);
    for (std::size_t i = 0; i < nodes; ++i) {
        startNode(i);
    }
    const auto before = m_fleet.crashingRequests();
    for (std::size_t i = 0; i < 4; ++i) {
        sendBadTo(0);
        runFor(150ms);
    }
    EXPECT_EQ(m_fleet.crashingRequests() - before, 0U);
}

TEST_F(PoisonPartTest, allEnginesEndTwice_noRequestToBlame_soundRequestsAreServedAgain)
{
    startNodes();
    m_sound.startEvery(soundInterval);
    runFor(1s);
    m_fleet.crashAll();
    runFor(EngineFleet::restartTime + 500ms);
    m_fleet.crashAll();
    runFor(EngineFleet::restartTime + 1500ms);
    const auto from = base::monotonicNow();
    runFor(1s);
    m_sound.stop();
    runFor(500ms);
    EXPECT_GE(servedSince(from), 0.9);
}

TEST_F(PoisonPartTest, requestWaitsAtAnEngine_itsPartIsConvicted_theEngineIsFreed)
{
    auto &engine = addEngine("silent");
    engine.willReply({{""}});
    m_configuration["services"][0]["name"] = "s2";
    m_configuration["routes"][2]["service"] = "s2";
    auto entry = test::engineEntry(engine.address());
    entry["service"] = "s2";
    m_store.put("servers", "silent", entry.dump());
    startNodes();
    sendBad();
    ASSERT_TRUE(until([&] { return engine.open() == 1; }));
    const StoreTime storeNow(base::toMilliseconds(base::monotonicNow().time_since_epoch()));
    const Conviction conviction{{{TraitKind::PromptPart, badPart}}, storeNow, 1};
    m_store.put("ibisfork", "poison/1", encodeConviction(conviction));
    EXPECT_TRUE(until([&] { return engine.open() == 0; }, 400ms));
    EXPECT_TRUE(until([&] { return m_badCalls.front().caller->done(); }, 1s));
    EXPECT_EQ(m_badCalls.front().caller->answer().status, 502) << "it may have run";
    // The other nodes learn of it from the first one.
    runFor(1s);
    sendBad();
    EXPECT_TRUE(until([&] { return m_badCalls.back().caller->done(); }, 1s));
    EXPECT_EQ(m_badCalls.back().caller->answer().status, 503);
}

} // namespace ibisfork::gateway
