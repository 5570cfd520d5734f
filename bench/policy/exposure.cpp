#include "policy/benches.h"

#include <deque>
#include <random>

#include <fmt/format.h>

#include "policy/rolloutguard.h"
#include <ibisfork/fleet/rollout.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int nodes = 7;
constexpr int requestsPerSecond = 100;
constexpr int runs = 200;
constexpr double soundRate = 0.05;
constexpr base::Duration tick = 10ms;
/// From a change to its effect at every node.
constexpr base::Duration propagation = 1s;

struct Kind
{
    const char *name;
    double rate;
    base::Duration badFrom;
    base::Duration ratingDelay;
    base::Duration horizon;
};

/// Seven nodes and a version whose ratings fail at a rate that changes once.
class Rollout
{
public:
    Rollout(const Kind &kind, std::uint64_t seed)
        : m_kind(kind)
        , m_random(seed)
    {
        m_config.revision = 1;
        auto &version = m_config.versions[m_id];
        version.id = m_id;
        version.state = fleet::VersionState::RollingOut;
        version.rolloutSteps = {{0.1, 20}, {0.5, 0}, {1.0, 0}};
        for (int node = 0; node < nodes; ++node) {
            const auto name = fmt::format("n{}", node);
            m_config.members[name] = {name, name, "", "", ""};
            m_guards.emplace_back(name, name);
        }
        m_config.rollouts[m_id] = fleet::firstStep(m_config, version, 1);
        publish();
    }

    /// Requests that the version answered while it was bad.
    int run()
    {
        for (; m_now < m_start + m_kind.horizon; m_now += tick) {
            rate();
            request();
            change();
            if (halted()) {
                break;
            }
        }
        return m_exposed;
    }

    bool halted() const { return m_config.rollouts.at(m_id).state == fleet::RolloutState::Halted; }

private:
    void publish()
    {
        ++m_config.revision;
        for (auto &guard : m_guards) {
            guard.update(m_config, m_now);
        }
    }

    void rate()
    {
        while (!m_ratings.empty() && m_ratings.front().first <= m_now) {
            for (auto &guard : m_guards) {
                guard.observe(m_id, policy::HealthSignal::Rating, m_ratings.front().second);
            }
            m_ratings.pop_front();
        }
    }

    void request()
    {
        static_assert(requestsPerSecond * tick == 1s);
        auto &guard = m_guards[std::uniform_int_distribution<std::size_t>(0, nodes - 1)(m_random)];
        const auto exposure = fleet::exposureOf(m_config, m_config.versions.at(m_id));
        const bool drawn = std::bernoulli_distribution(exposure.share)(m_random);
        if (!drawn || guard.isStopped(m_id) || (exposure.capped && !guard.mayExpose(m_id))) {
            return;
        }
        guard.recordDispatch(m_id);
        const bool bad = m_now - m_start >= m_kind.badFrom;
        m_exposed += bad ? 1 : 0;
        const auto failed = std::bernoulli_distribution(bad ? m_kind.rate : soundRate)(m_random);
        m_ratings.emplace_back(m_now + m_kind.ratingDelay, failed);
    }

    /// The first change that is due is in force a while later, as by the table.
    void change()
    {
        if (m_pending && m_now >= m_pending->first) {
            const coord::Snapshot snapshot{0, {{m_pending->second.key, *m_pending->second.value}}};
            m_config.rollouts = fleet::configFromRows(snapshot).rollouts;
            m_pending.reset();
            publish();
        }
        for (const auto &guard : m_guards) {
            const auto due = guard.dueChanges(m_now);
            if (!m_pending && !due.empty()) {
                m_pending = {m_now + propagation, due.front().rows.front()};
            }
        }
    }

    Kind m_kind;
    std::mt19937_64 m_random;
    fleet::VersionId m_id{"m", "v"};
    fleet::Config m_config;
    base::TimePoint m_start{1000s};
    base::TimePoint m_now = m_start;
    std::vector<policy::RolloutGuard> m_guards;
    std::deque<std::pair<base::TimePoint, bool>> m_ratings;
    std::optional<std::pair<base::TimePoint, coord::RowChange>> m_pending;
    int m_exposed = 0;
};

json measure(const Kind &kind, int count)
{
    std::vector<int> exposed;
    int halted = 0;
    for (int run = 0; run < count; ++run) {
        Rollout rollout(kind, 100 + run);
        exposed.push_back(rollout.run());
        halted += rollout.halted() ? 1 : 0;
    }
    std::sort(exposed.begin(), exposed.end());
    return {{"kind", kind.name},
            {"runs", count},
            {"halted", halted},
            {"exposed_p50", exposed[exposed.size() / 2]},
            {"exposed_p95", exposed[exposed.size() * 95 / 100]},
            {"exposed_max", exposed.back()}};
}

} // namespace

json exposureBench()
{
    json rows = json::array();
    rows.push_back(measure({"fails half at once, ratings 2 s late", 0.5, 0s, 2s, 600s}, runs));
    rows.push_back(measure({"fails half at once, ratings 20 s late", 0.5, 0s, 20s, 600s}, runs));
    rows.push_back(measure({"fails one in ten, ratings 2 s late", 0.10, 0s, 2s, 600s}, runs / 10));
    rows.push_back(measure({"fails half after an hour, ratings at once", 0.5, 3600s, 0s, 4000s}, runs / 20));
    rows.push_back(measure({"fails half after an hour, ratings 2 s late", 0.5, 3600s, 2s, 4000s}, runs / 20));
    std::mt19937_64 random(5);
    std::bernoulli_distribution fails(soundRate);
    constexpr int observations = 10000000;
    int alarms = 0;
    policy::VersionMonitor watch;
    for (int observation = 0; observation < observations; ++observation) {
        watch.observe(policy::HealthSignal::Rating, fails(random));
        if (!watch.verdict().empty()) {
            ++alarms;
            watch = policy::VersionMonitor();
        }
    }
    rows.push_back({{"kind", "sound"}, {"ratings", observations}, {"false_alarms", alarms}});
    return rows;
}

} // namespace ibisfork::bench
