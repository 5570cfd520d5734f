#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "enginefleet.h"
#include "gatewayfixture.h"

namespace ibisfork::gateway::test {

/// Several nodes in this process, beside engines that requests of some kind crash.
class CrashNodesTest : public GatewayTest
{
protected:
    static constexpr std::size_t nodes = 3;
    static constexpr std::size_t engines = 6;
    /// Time that the nodes have to tell each other.
    static constexpr std::chrono::milliseconds contactTime{3000};

    /// @p crashes: true for requests that crash the engine that runs them.
    explicit CrashNodesTest(EngineFleet::Predicate crashes, std::size_t engineCount = engines)
        : m_fleet(m_base.get(), m_store, engineCount, std::move(crashes))
    { }

    /// Engines whose end the nodes have shared as evidence.
    std::set<std::string> reportedEngines() const
    {
        std::set<std::string> reported;
        for (std::size_t i = 0; i < nodes; ++i) {
            const auto row = m_store.find(ownTable, fmt::format("{}n{}", crashEvidencePrefix, i));
            const auto evidence = row ? decodeCrashEvidence(*row) : std::nullopt;
            for (const auto &report : evidence.value_or(CrashEvidence{}).reports) {
                reported.insert(report.engine);
            }
        }
        return reported;
    }

    void startNodes()
    {
        configure();
        for (std::size_t i = 0; i < nodes; ++i) {
            startNode(i);
        }
    }

    /// Starts or restarts node @p index.
    void startNode(std::size_t index)
    {
        m_gateways.resize(std::max(m_gateways.size(), index + 1));
        auto settings = m_settings;
        settings.node.name = fmt::format("n{}", index);
        m_gateways[index].reset();
        m_gateways[index] = std::make_unique<Gateway>(m_base.get(), settings, m_registries[index]);
        m_gateways[index]->start();
        ASSERT_TRUE(until([&] { return m_gateways[index]->ready(); }));
    }

    EngineFleet m_fleet;
    std::map<std::size_t, base::MetricsRegistry> m_registries;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
};

} // namespace ibisfork::gateway::test
