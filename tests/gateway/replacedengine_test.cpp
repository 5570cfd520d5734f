#include "crashnodesfixture.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeCaller;

/// An engine ends and is back at its address before the list names its new process. The others are silent meanwhile, so
/// nothing tells the nodes whether the path to it is at fault.
class ReplacedEngineTest : public test::CrashNodesTest
{
protected:
    static constexpr std::size_t noFleet = 0;
    static constexpr std::chrono::milliseconds downTime{300};

    ReplacedEngineTest()
        : CrashNodesTest([](const http::Request &) { return false; }, noFleet)
        , m_engine(addEngine("e1"))
    {
        list(firstStartMs);
        othersReply({""});
    }

    void othersReply(const test::EngineReply &reply)
    {
        for (const auto *other : {"e2", "e3", "e4", "e5"}) {
            (m_engines.contains(other) ? *m_engines.at(other) : addEngine(other)).willReply({reply});
        }
    }

    void startNodesThatKnowEachOther()
    {
        startNodes();
        // Their rows arrive by polls.
        runFor(1s);
    }

    /// Lists the engine's process that was started at @p startMs.
    void list(std::int64_t startMs)
    {
        auto entry = test::engineEntry(m_engine.address());
        entry["born"] = startMs;
        m_store.put("servers", "e1", entry.dump());
    }

    /// Sends requests until one runs at the engine, which then ends.
    void endUnderARequest()
    {
        m_engine.willReply({{""}});
        const auto before = m_engine.requests().size();
        for (int i = 0; i < mostRequests && m_engine.requests().size() == before; ++i) {
            m_callers.push_back(std::make_unique<FakeCaller>(m_base.get(), m_gateways.front()->callers()));
            m_callers.back()->send(request("POST", "/chat/x", {}, fmt::format("hello{}", m_callers.size())));
            runFor(20ms);
        }
        ASSERT_GT(m_engine.requests().size(), before);
        m_engine.crash();
    }

    /// As above; it is back at its address soon.
    void restartUnderARequest()
    {
        endUnderARequest();
        runFor(downTime);
        m_engine.acceptConnections();
        // Longer than a node takes to find that it accepts connections again.
        runFor(600ms);
    }

    /// Enough for an engine that is chosen at random from five to be chosen once.
    static constexpr int mostRequests = 64;
    static constexpr std::int64_t firstStartMs = 1000;
    static constexpr std::int64_t secondStartMs = 2000;
    test::FakeEngine &m_engine;
    std::vector<std::unique_ptr<FakeCaller>> m_callers;
};

// Guards against crashes that are taken for lost runs since the engine accepts connections again (BUDGET).
TEST_F(ReplacedEngineTest, engineIsBackBeforeItIsListedAnew_itsEndIsEvidence)
{
    startNodesThatKnowEachOther();
    restartUnderARequest();
    list(secondStartMs);
    EXPECT_TRUE(until([this] { return reportedEngines().size() == 1; }, 2s));
}

TEST_F(ReplacedEngineTest, engineIsTheSameProcess_thatItRefusedConnectionsIsNoEvidence)
{
    startNodesThatKnowEachOther();
    restartUnderARequest();
    list(firstStartMs);
    runFor(contactTime + 1s);
    EXPECT_TRUE(reportedEngines().empty());
}

TEST_F(ReplacedEngineTest, engineThatAcceptedAgain_endsForGood_itsEndIsEvidence)
{
    startNodesThatKnowEachOther();
    restartUnderARequest();
    endUnderARequest();
    othersReply(test::streamReply(1, 2));
    // No other process is listed, but the path is known.
    EXPECT_TRUE(until([this] { return reportedEngines().size() == 1; }, 2500ms));
}

} // namespace ibisfork::gateway
