#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include <ibisfork/base/names.h>

#include "crowd/crowdclient.h"
#include "process/gatewayworld.h"

namespace ibisfork::crowd {

using namespace std::chrono_literals;

namespace {

// The sanitizers take more memory than the program.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

/// Where a crowd comes to.
enum class Door {
    Route,
    NoRoute, ///< A path of the callers' port without a route.
    Readiness,
    Operators,
    Forwarding,
};
constexpr std::array<base::Name<Door>, 5> doorNames{{
    {Door::Route, "route"},
    {Door::NoRoute, "noRoute"},
    {Door::Readiness, "readiness"},
    {Door::Operators, "operators"},
    {Door::Forwarding, "forwarding"},
}};

enum class Misuse {
    BodyInOnePiece, ///< A body that stops one byte short of its end.
    BodyInPieces, ///< The same, in small pieces.
    BodyInChunks, ///< Chunks that never end.
    BodyFarTooLong,
    ChunkFarTooLong,
    ShortFields, ///< Heads of very many short fields.
    ShortFieldsUnfinished, ///< The same, without their end.
    SentAhead, ///< Requests sent ahead, whose answers nobody reads.
    SlowHead, ///< A head that goes on byte by byte.
    StalledBody, ///< A body of which a few bytes come.
    SlowReader, ///< Long answers that nobody reads.
};
constexpr std::array<base::Name<Misuse>, 11> misuseNames{{
    {Misuse::BodyInOnePiece, "bodyInOnePiece"},
    {Misuse::BodyInPieces, "bodyInPieces"},
    {Misuse::BodyInChunks, "bodyInChunks"},
    {Misuse::BodyFarTooLong, "bodyFarTooLong"},
    {Misuse::ChunkFarTooLong, "chunkFarTooLong"},
    {Misuse::ShortFields, "shortFields"},
    {Misuse::ShortFieldsUnfinished, "shortFieldsUnfinished"},
    {Misuse::SentAhead, "sentAhead"},
    {Misuse::SlowHead, "slowHead"},
    {Misuse::StalledBody, "stalledBody"},
    {Misuse::SlowReader, "slowReader"},
}};

struct CrowdCase
{
    Misuse misuse;
    Door door;
};

std::ostream &operator<<(std::ostream &out, const CrowdCase &item)
{
    return out << base::nameOf(misuseNames, item.misuse) << "_at_" << base::nameOf(doorNames, item.door);
}

} // namespace

/// A node as a process of its own, before clients that nobody controls. Nothing here depends on how fast they are.
class CrowdTest : public process::GatewayWorldTest, public testing::WithParamInterface<CrowdCase>
{
protected:
    static constexpr std::size_t memoryMegabytes = 64;
    static constexpr std::size_t bodyBytes = 1024UL * 1024;
    static constexpr std::size_t headBytes = 16UL * 1024;
    /// Clients that send much, and those that hold connections only.
    static constexpr std::size_t sendingClients = 64;
    static constexpr std::size_t holdingClients = 160;
    /// The node's limit of descriptors beside each of them.
    static constexpr std::size_t manyDescriptors = 4096;
    static constexpr std::size_t fewDescriptors = 512;
    static constexpr std::size_t manyBytes = 4 * bodyBytes;
    /// Steps in which every client has sent all that the node takes.
    static constexpr int steps = 150;
    /// More than a client that sends byte by byte gets to send.
    static constexpr std::size_t slowBytes = 300;

    static bool onlyHolds()
    {
        const auto misuse = GetParam().misuse;
        return misuse == Misuse::SlowHead || misuse == Misuse::StalledBody;
    }

    static std::size_t descriptors() { return onlyHolds() ? fewDescriptors : manyDescriptors; }
    static std::size_t clients() { return onlyHolds() ? holdingClients : sendingClients; }

    void startNode()
    {
        m_configuration["limits"]["maxBodyBytes"] = bodyBytes;
        m_configuration["limits"]["maxHeaderBytes"] = headBytes;
        m_configuration["limits"]["headerTimeoutMs"] = 30000;
        for (auto &route : m_configuration["routes"]) {
            route["timeoutMs"] = 20000;
            route["goalMs"] = 10000;
        }
        configure();
        addEngine("e1").willDecide([](const http::Request &request) {
            const bool wantsLong = request.head.target == "/read/long";
            return gateway::test::plainReply(200, wantsLong ? std::string(bodyBytes, 'a') : "ok");
        });
        m_node.writeSettings(
            settingsWith(m_store.address(),
                         fmt::format("limits: {{memory_mb: {}, descriptors: {}}}\n", memoryMegabytes, descriptors())));
        m_node.start();
        ASSERT_TRUE(becomesReady());
    }

    net::Address address() const
    {
        switch (GetParam().door) {
        case Door::Route:
        case Door::NoRoute:
            return net::Address::parse(m_callers);
        case Door::Readiness:
            return net::Address::parse(m_readiness);
        case Door::Operators:
            return net::Address::parse(m_operators);
        case Door::Forwarding:
            return net::Address::parse(m_forwarding);
        }
        return {};
    }

    static std::string path()
    {
        switch (GetParam().door) {
        case Door::NoRoute:
            return "/none";
        case Door::Readiness:
            return "/ibisfork/readyz";
        case Door::Operators:
            return "/metrics";
        case Door::Route:
        case Door::Forwarding:
            break;
        }
        return GetParam().misuse == Misuse::SlowReader || GetParam().misuse == Misuse::SentAhead ? "/read/long"
                                                                                                 : "/book/x";
    }

    static std::string head(const std::string &method, const std::string &fields)
    {
        return method + " " + path() + " HTTP/1.1\r\nHost: h.example\r\nIbisfork-Attempt-Id: a1\r\n"
            + "Ibisfork-Credential: key1\r\n" + fields;
    }

    static ClientBehaviour behaviour()
    {
        const auto length = fmt::format("Content-Length: {}\r\n\r\n", bodyBytes);
        constexpr std::size_t farTooLong = 1024 * bodyBytes;
        switch (GetParam().misuse) {
        case Misuse::BodyInOnePiece:
            return {head("POST", length), "b", bodyBytes - 1, bodyBytes};
        case Misuse::BodyInPieces:
            return {head("POST", length), "b", bodyBytes - 1, 8192};
        case Misuse::BodyInChunks:
            return {head("POST", "Transfer-Encoding: chunked\r\n\r\n"), "8\r\nbbbbbbbb\r\n", bodyBytes};
        case Misuse::BodyFarTooLong:
            return {head("POST", fmt::format("Content-Length: {}\r\n\r\n", farTooLong)), "b", manyBytes};
        case Misuse::ChunkFarTooLong:
            return {
                head("POST", fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", farTooLong)), "b", manyBytes};
        case Misuse::ShortFields:
        case Misuse::ShortFieldsUnfinished: {
            auto text = head("GET", {});
            while (text.size() + 6 < headBytes) {
                text += "a:\r\n";
            }
            return {GetParam().misuse == Misuse::ShortFields ? text + "\r\n" : text, {}, 0};
        }
        case Misuse::SentAhead:
            return {{}, head("GET", "\r\n"), manyBytes};
        case Misuse::SlowHead:
            return {head("GET", "X: "), "x", slowBytes, 1};
        case Misuse::StalledBody:
            return {head("POST", length), "b", 16};
        case Misuse::SlowReader:
            return {head("GET", "\r\n"), {}, 0};
        }
        return {};
    }

    /// Lets the crowd come and send all that it can; it stays until the test ends.
    void letCrowdCome()
    {
        m_behaviour = behaviour();
        // Long enough for a whole step, so that clients copy nothing.
        const auto text = m_behaviour.repeated;
        while (!text.empty() && m_behaviour.repeated.size() < m_behaviour.stepBytes) {
            m_behaviour.repeated += text;
        }
        for (std::size_t i = 0; i < clients(); ++i) {
            m_crowd.push_back(std::make_unique<CrowdClient>(address(), m_behaviour));
        }
        for (int i = 0; i < steps; ++i) {
            for (const auto &client : m_crowd) {
                client->step();
            }
            runFor(5ms);
        }
    }

    /// Most resident memory of the node since its start.
    std::size_t peakKilobytes()
    {
        std::ifstream lines(fmt::format("/proc/{}/status", m_node.program().pid()));
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    ClientBehaviour m_behaviour;
    std::vector<std::unique_ptr<CrowdClient>> m_crowd;
};

TEST_P(CrowdTest, crowd_thatStays_nodeLivesWithinItsLimitsAndServesOthers)
{
    startNode();
    letCrowdCome();
    EXPECT_FALSE(m_node.program().ended());
    if (measuresMemory) {
        EXPECT_GT(peakKilobytes(), 0);
        EXPECT_LT(peakKilobytes(), memoryMegabytes * 1024);
    }
    EXPECT_LT(m_node.program().openDescriptors(), descriptors());
    EXPECT_TRUE(becomesReady(30s));
    EXPECT_TRUE(until([this] { return serves(); }, 30s));
    EXPECT_FALSE(m_node.program().ended());
}

std::vector<CrowdCase> crowdCases()
{
    std::vector<CrowdCase> cases;
    for (const auto misuse : {Misuse::BodyInOnePiece,
                              Misuse::BodyInChunks,
                              Misuse::BodyFarTooLong,
                              Misuse::ShortFields,
                              Misuse::SentAhead,
                              Misuse::SlowHead,
                              Misuse::StalledBody}) {
        for (const auto door : {Door::Route, Door::NoRoute, Door::Readiness, Door::Operators}) {
            cases.push_back({misuse, door});
        }
    }
    for (const auto misuse : {Misuse::BodyInPieces, Misuse::ChunkFarTooLong, Misuse::ShortFieldsUnfinished}) {
        cases.push_back({misuse, Door::Route});
        cases.push_back({misuse, Door::Readiness});
    }
    for (const auto misuse : {Misuse::BodyInOnePiece, Misuse::SentAhead, Misuse::StalledBody}) {
        cases.push_back({misuse, Door::Forwarding});
    }
    cases.push_back({Misuse::SlowReader, Door::Route});
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Clients, CrowdTest, testing::ValuesIn(crowdCases()), [](const auto &info) {
    return testing::PrintToString(info.param);
});

} // namespace ibisfork::crowd
