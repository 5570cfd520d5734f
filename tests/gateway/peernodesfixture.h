#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gatewayfixture.h"

namespace ibisfork::gateway::test {

/// Several nodes that know of each other; some may reach no engine. Each node has a store of its own, so that a cut one
/// can be given addresses at which its engines don't answer.
class PeerNodesTest : public GatewayTest
{
protected:
    struct Node
    {
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<Gateway> gateway;
        base::MetricsRegistry metrics;
    };

    static constexpr std::size_t engines = 3;

    /// How a cut shows at the addresses of the engines.
    enum class Cut {
        None,
        Refused, ///< Nothing listens there.
        Hanging, ///< Connections are accepted, and nothing is ever answered.
    };

    PeerNodesTest()
    {
        for (std::size_t i = 0; i < engines; ++i) {
            m_engines["e" + std::to_string(i)] = std::make_unique<FakeEngine>(m_base.get());
            m_silent.push_back(std::make_unique<FakeEngine>(m_base.get()));
        }
        answerWith(plainReply(200, "good"));
    }

    void answerWith(const EngineReply &reply)
    {
        for (auto &item : m_engines) {
            item.second->willReply({reply});
        }
    }

    net::Address engineAddress(std::size_t index, Cut cut) const
    {
        switch (cut) {
        case Cut::None:
            return m_engines.at("e" + std::to_string(index))->address();
        case Cut::Hanging:
            return m_silent[index]->address();
        case Cut::Refused:
            break;
        }
        constexpr std::uint16_t unusedPort = 9;
        return {"127.0.0.1", unusedPort};
    }

    void listEngine(FakeStore &store, std::size_t index, Cut cut)
    {
        store.put("servers", "e" + std::to_string(index), engineEntry(engineAddress(index, cut)).dump());
    }

    void listEngines(FakeStore &store, Cut cut)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            listEngine(store, i, cut);
        }
    }

    /// Starts one node for each entry of @p cuts, each in a failure domain of its own, as nodes of one would read the
    /// table of engines from each other; all know of each other.
    void startNodes(const std::vector<Cut> &cuts)
    {
        std::vector<std::string> domains;
        for (std::size_t i = 0; i < cuts.size(); ++i) {
            domains.push_back("d" + std::to_string(i));
        }
        startNodes(cuts, domains);
    }

    /// As above, with the failure domains @p domains of the nodes. Nodes of one domain should be cut alike.
    void startNodes(const std::vector<Cut> &cuts, const std::vector<std::string> &domains)
    {
        for (std::size_t i = 0; i < cuts.size(); ++i) {
            auto &node = m_nodes.emplace_back(std::make_unique<Node>());
            node->store = std::make_unique<FakeStore>(m_base.get());
            node->store->put("op", "config", m_configuration.dump());
            listEngines(*node->store, cuts[i]);
            auto settings = m_settings;
            settings.node.name = nameOf(i);
            settings.node.failureDomain = domains[i];
            settings.store = node->store->address();
            node->gateway = std::make_unique<Gateway>(m_base.get(), settings, node->metrics);
            node->gateway->start();
            ASSERT_TRUE(until([&] { return node->gateway->ready(); }));
            ASSERT_TRUE(until([&] { return node->store->find("ibisfork", "node/" + nameOf(i)).has_value(); }));
        }
        for (const auto &node : m_nodes) {
            copyRows(*node->store);
        }
        // The rows arrive by polls.
        runFor(std::chrono::milliseconds(600));
    }

    static std::string nameOf(std::size_t index) { return "n" + std::to_string(index); }

    void copyRows(FakeStore &store)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            store.put("ibisfork", "node/" + nameOf(i), *m_nodes[i]->store->find("ibisfork", "node/" + nameOf(i)));
        }
    }

    /// Sends a request to the first node.
    Answer askCut(const std::string &bytes)
    {
        FakeCaller caller(m_base.get(), m_nodes.front()->gateway->callers());
        caller.send(bytes);
        until([&] { return caller.done(); });
        return caller.answer();
    }

    /// Requests for @p target that the engines have received.
    std::size_t runsOf(std::string_view target) const
    {
        std::size_t count = 0;
        for (const auto &item : m_engines) {
            const auto &seen = item.second->requests();
            count += static_cast<std::size_t>(std::count_if(
                seen.begin(), seen.end(), [&](const http::Request &run) { return run.head.target == target; }));
        }
        return count;
    }

    std::vector<std::unique_ptr<FakeEngine>> m_silent;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace ibisfork::gateway::test
