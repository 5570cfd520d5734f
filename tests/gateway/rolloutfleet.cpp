#include "rolloutfleet.h"

#include <algorithm>
#include <cmath>

namespace ibisfork::gateway::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t orderRow = 30;
constexpr base::Duration warmUp = 4s;
constexpr base::Duration tickInterval = 250ms;
/// Time until a row that one node writes is read by the node that reads it first.
constexpr base::Duration earliestRow = 700ms;
constexpr base::Duration sessionPause = 1s;
constexpr base::Duration fullStepNotice = 1s;
/// Runs are cut off after this time.
constexpr base::Duration runTimeout = 4s;
constexpr double medianSeconds = 0.08;
constexpr double spread = 0.6;
constexpr std::size_t engines = 9;

base::Duration duration(double seconds)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RolloutFleet::RolloutFleet(const FleetLoad &load, const VersionFault &fault, std::uint64_t seed)
    : m_load(load)
    , m_fault(fault)
    , m_random(seed)
    , m_nodes(load.nodes)
    , m_row(orderRow + 1)
    , m_sharedAt(load.nodes)
    , m_sessionVersions(load.lastingSessions)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_nodes[node].setNode("n" + std::to_string(node));
        m_nodes[node].setNodes(load.nodes);
    }
}

base::TimePoint RolloutFleet::time(base::Duration at)
{
    return base::TimePoint(1000s) + at;
}

void RolloutFleet::schedule(base::Duration at, std::function<void()> act)
{
    m_events.push({at, m_eventCount++, std::move(act)});
}

void RolloutFleet::play()
{
    const base::Duration end = warmUp + m_load.period;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        schedule(warmUp + 1ms * node, [this, node] {
            m_nodes[node].setOrder({"s", "v2", m_load.period}, orderRow, time(m_now));
        });
        for (auto at = base::Duration(1ms * node); at < end; at += tickInterval) {
            schedule(at, [this, node] { tick(node); });
        }
    }
    schedule(base::Duration::zero(), [this] { request(); });
    for (std::size_t session = 0; session < m_load.lastingSessions; ++session) {
        schedule(sessionPause * session / m_load.lastingSessions, [this, session] { requestInSession(session); });
    }
    while (!m_events.empty() && m_events.top().at < end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.act();
    }
}

void RolloutFleet::request()
{
    std::exponential_distribution<double> gap(m_load.requestsPerSecond);
    schedule(m_now + duration(gap(m_random)), [this] { request(); });
    const std::size_t node = m_random() % m_nodes.size();
    const std::string route = "r" + std::to_string(m_random() % 3);
    const auto subject = std::to_string(m_random());
    run(node, versionFor(node, subject, m_load.sessions), route, [] {});
}

std::string RolloutFleet::versionFor(std::size_t node, const std::string &subject, bool isSession) const
{
    const auto preference = m_nodes[node].preferredVersion("s", subject, isSession, time(m_now));
    return preference == VersionPreference::New ? "v2" : "v1";
}

void RolloutFleet::requestInSession(std::size_t session)
{
    const bool strays = std::uniform_real_distribution<double>(0, 1)(m_random) < m_load.strayShare;
    const std::size_t node = (strays ? m_random() : session) % m_nodes.size();
    const auto version = versionFor(node, "session" + std::to_string(session), true);
    auto &before = m_sessionVersions[session];
    m_changesBack += before == "v2" && version == "v1" ? 1 : 0;
    const bool isEarly = m_now < warmUp + m_load.period / 2;
    m_earlyChanges += isEarly && before == "v1" && version == "v2" ? 1 : 0;
    before = version;
    run(node, version, "sessions", [this, session] {
        schedule(m_now + sessionPause, [this, session] { requestInSession(session); });
    });
}

base::Duration RolloutFleet::rowDelay(std::size_t node) const
{
    const auto spread = std::max<base::Duration>(m_load.latestRow - earliestRow, base::Duration::zero());
    return earliestRow + spread * node / m_nodes.size();
}

void RolloutFleet::run(std::size_t node,
                       const std::string &version,
                       const std::string &route,
                       const std::function<void()> &ended)
{
    const bool isNew = version == "v2";
    m_newRequests += isNew ? 1 : 0;
    m_lastNewRequestAt = isNew ? m_now : m_lastNewRequestAt;
    m_allRequests += m_now >= warmUp ? 1 : 0;
    const bool routeHit = m_fault.route.empty() || m_fault.route == route;
    const bool hit = isNew && routeHit && m_now >= warmUp + m_fault.after
        && std::uniform_real_distribution<double>(0, 1)(m_random) < m_fault.share;
    const MonitoredRun details{version, "e" + std::to_string(m_random() % engines), {route}, 0, 2s};
    const auto id = m_nodes[node].recordSent("s", details, time(m_now));
    const bool fails = hit && m_fault.fails;
    auto &tracker = m_nodes[node];
    double seconds = medianSeconds * std::exp(spread * std::normal_distribution<double>(0, 1)(m_random));
    seconds *= hit ? m_fault.slowFactor : 1;
    const auto firstByte = hit && m_fault.isSilent ? runTimeout : duration(seconds);
    if (firstByte >= runTimeout) {
        schedule(m_now + runTimeout, [this, &tracker, id, hit, ended] {
            if (hit) {
                recordBadAnswer();
            }
            tracker.recordEnded("s", id, RunEnd::TimedOut, time(m_now));
            ended();
        });
        return;
    }
    schedule(m_now + firstByte, [this, &tracker, id, hit, fails, ended] {
        if (hit) {
            recordBadAnswer();
        }
        if (!fails) {
            tracker.recordFirstByte("s", id, time(m_now));
        }
        tracker.recordEnded("s", id, fails ? RunEnd::Failed : RunEnd::Answered, time(m_now));
        ended();
    });
}

void RolloutFleet::recordBadAnswer()
{
    ++m_badAnswers;
    if (m_badAnswers == 50) {
        m_fiftiethBadAnswerAt = m_now;
    }
}

base::Duration RolloutFleet::servedAfterFiftiethBadAnswer() const
{
    return m_fiftiethBadAnswerAt ? m_lastNewRequestAt - *m_fiftiethBadAnswerAt : base::Duration::zero();
}

void RolloutFleet::tick(std::size_t node)
{
    auto &tracker = m_nodes[node];
    tracker.update(time(m_now));
    const auto due = tracker.dueStatus("s", time(m_now));
    const bool isEnd = m_state && *m_state != RolloutState::InProgress;
    if (due && !isEnd && due->state != m_state) {
        publish(*due);
    }
    if (!m_fullPlanned && tracker.isFullStepDue("s", time(m_now + fullStepNotice))) {
        m_fullPlanned = true;
        const auto fullAt = m_now + fullStepNotice;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            schedule(m_now + rowDelay(other),
                     [this, other, fullAt] { m_nodes[other].setPlan("s", orderRow, time(warmUp), time(fullAt)); });
        }
    }
    share(node);
}

void RolloutFleet::share(std::size_t node)
{
    const auto interval = std::max<base::Duration>(200ms, 20ms * m_nodes.size());
    const auto evidence = m_nodes[node].unsharedEvidence("s");
    if (!evidence || m_now - m_sharedAt[node] < interval) {
        return;
    }
    m_sharedAt[node] = m_now;
    m_nodes[node].recordShared("s", *evidence);
    schedule(m_now + earliestRow, [this, node, evidence] {
        for (auto &each : m_nodes) {
            each.setEvidence({"s", "n" + std::to_string(node), *evidence});
        }
    });
}

void RolloutFleet::publish(const RolloutStatus &status)
{
    m_state = status.state;
    const auto row = m_row++;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        schedule(m_now + rowDelay(node), [this, node, status, row] { m_nodes[node].setStatus("s", status, row); });
    }
}

} // namespace ibisfork::gateway::test
