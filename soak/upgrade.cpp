#include "upgrade.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace ibisfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array changeKinds{
    FaultKind::SignalReload,
    FaultKind::RefuseAtStore,
    FaultKind::SilenceStore,
    FaultKind::LoseWriteAnswers,
    FaultKind::ForgetHistory,
    FaultKind::RestoreOlderStore,
    FaultKind::CrashEngine,
    FaultKind::RestartEngineSameId,
    FaultKind::DrainEngine,
    FaultKind::ChangeConfiguration,
    FaultKind::RevokeKey,
    FaultKind::EvacuateDomain,
    FaultKind::MarkLeavingEngine,
    FaultKind::RestEngine,
};
constexpr milliseconds firstChange{1000};
constexpr milliseconds shortestGap{200};
constexpr milliseconds longestGap{2500};
constexpr milliseconds shortestChange{300};
constexpr milliseconds longestChange{2500};
constexpr unsigned mostTargets = 1000;

constexpr milliseconds checkInterval{100};
constexpr milliseconds longestPause{600};
constexpr milliseconds usualReplacement{4000};

milliseconds draw(std::mt19937_64 &random, milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
}

} // namespace

std::vector<Fault> changesDuringUpgrade(std::uint64_t seed, base::Duration length)
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> kinds(0, changeKinds.size() - 1);
    std::uniform_int_distribution<unsigned> targets(0, mostTargets);
    std::vector<Fault> plan;
    for (base::Duration at = firstChange; at + longestChange < length; at += draw(random, shortestGap, longestGap)) {
        Fault change;
        change.at = at;
        change.kind = changeKinds.at(kinds(random));
        change.target = targets(random);
        change.lasts = draw(random, shortestChange, longestChange);
        plan.push_back(change);
    }
    return plan;
}

base::Duration usualLength(const UpgradeSettings &settings, std::size_t nodes)
{
    const auto once = usualReplacement * static_cast<int>(nodes);
    return settings.rollsBack ? 2 * once : once;
}

Upgrade::Upgrade(event_base *base,
                 Nodes &nodes,
                 const UpgradeSettings &settings,
                 std::uint64_t seed,
                 Terminate terminate)
    : m_nodes(nodes)
    , m_random(seed)
    , m_terminate(std::move(terminate))
    , m_timer(base, [this] { check(); })
{
    for (const auto &node : m_nodes) {
        node->setDaemon(settings.olderDaemon);
    }
    addSteps(NodeProcess::newestDaemon);
    if (settings.rollsBack) {
        addSteps(settings.olderDaemon);
    }
}

void Upgrade::addSteps(const std::string &daemon)
{
    std::vector<std::size_t> order(m_nodes.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), m_random);
    for (const auto node : order) {
        m_steps.push_back({node, daemon});
    }
}

void Upgrade::start()
{
    m_startedAt = base::monotonicNow();
    m_timer.startOnce(draw(m_random, milliseconds(0), longestPause));
}

void Upgrade::check()
{
    const auto &step = m_steps[m_next];
    auto &node = *m_nodes[step.node];
    auto delay = checkInterval;
    if (!m_terminated) {
        node.setDaemon(step.daemon);
        m_terminate(step.node);
        m_terminated = true;
    } else if (node.ready && node.runs(step.daemon)) {
        recordReady(step);
        m_terminated = false;
        ++m_next;
        delay = draw(m_random, checkInterval, longestPause);
    }
    if (!done()) {
        m_timer.startOnce(delay);
    }
}

void Upgrade::recordReady(const Step &step)
{
    m_history.push_back(fmt::format("{:6} ms node {} is ready with {}, log {}",
                                    base::toMilliseconds(base::monotonicNow() - m_startedAt),
                                    step.node,
                                    step.daemon,
                                    m_nodes[step.node]->log()));
}

} // namespace ibisfork::soak
