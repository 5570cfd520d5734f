#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cutplan.h"
#include "gatewayfixture.h"

namespace ibisfork::gateway::test {

/// A request of a caller, which it sent once.
struct FirstTry
{
    std::size_t node = 0;
    std::string service;
    base::TimePoint sentAt{};
    int status = 0;
};

/// Nodes that each have paths of their own to the engines of two services, and callers at each of them.
class CutFleetTest : public GatewayTest
{
protected:
    CutFleetTest();

    void startNodes(const CutPlan &plan);
    /// No node knows that the others take requests.
    void hideNodes() { m_hidesNodes = true; }
    /// Plays @p spell while callers ask all nodes; returns what they asked meanwhile.
    std::vector<FirstTry> play(const CutSpell &spell);
    /// Lets callers ask for @p time, in which nothing is harmed.
    std::vector<FirstTry> playCalm(base::Duration time);
    /// Cuts paths as @p spell says, until heal().
    void cut(const CutSpell &spell);
    void heal();
    /// Sends one request of the route @p name to @p node, and returns the status of its answer, 0 without a whole one.
    int askOnce(std::size_t node, const std::string &name);
    /// Sends @p bytes to the port of @p node that other nodes use.
    Answer forward(std::size_t node, const std::string &bytes);
    /// Engines whose end @p node has shared as evidence against requests.
    std::size_t crashesReported(std::size_t node) const;

private:
    struct Engine
    {
        std::string id;
        std::string service;
        std::unique_ptr<FakeEngine> engine;
    };

    struct Node
    {
        std::unique_ptr<FakeStore> store;
        /// To the engines, in their order.
        std::vector<std::unique_ptr<FaultProxy>> paths;
        std::unique_ptr<Gateway> gateway;
        std::unique_ptr<base::MetricsRegistry> metrics;
    };

    struct Asked
    {
        FirstTry asked;
        std::unique_ptr<FakeCaller> caller;
    };

    static std::string nameOf(std::size_t node) { return "n" + std::to_string(node); }
    void startEngines(const CutPlan &plan);
    void listEngines(Node &node);
    void startNode(std::size_t index);
    /// Copies the rows of all nodes to all stores.
    void shareRows();
    /// Sends requests to all nodes for @p time.
    void ask(base::Duration time);
    void beginBeside(const CutSpell &spell);
    void setStoreMode(StoreMode mode);
    void sendTo(std::size_t node, std::size_t route);
    std::vector<FirstTry> collect();

    std::vector<Engine> m_fleetEngines;
    std::vector<Node> m_nodes;
    std::vector<Asked> m_asked;
    bool m_hidesNodes = false;
    unsigned m_requests = 0;
    std::mt19937 m_random{1};
};

} // namespace ibisfork::gateway::test
