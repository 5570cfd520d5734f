#include "policy/benches.h"

#include <queue>
#include <random>

#include <fmt/format.h>

#include "admission/admissionqueue.h"

namespace ibisfork::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int slots = 50;
constexpr double meanService = 0.2;
constexpr double capacity = slots / meanService;
constexpr base::Duration deadlineAfter = 1s;
constexpr base::Duration horizon = 60s;
constexpr int smallWorkspaces = 4;
/// The large workspace asks for three times as much as all others together.
constexpr double largePart = 0.75;

enum class Way { RefuseAtOnce, OneQueue, FairQueue };
constexpr std::array<std::pair<Way, const char *>, 3> ways{
    {{Way::RefuseAtOnce, "refuse at once"}, {Way::OneQueue, "one queue"}, {Way::FairQueue, "fair queue"}}};

base::Duration seconds(double value)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

struct Request
{
    std::string workspace;
    base::TimePoint arrived;
};

class Simulation
{
public:
    Simulation(Way way, double load)
        : m_way(way)
        , m_arrivals(load * capacity)
    { }

    json run()
    {
        const auto end = m_now + horizon;
        auto arrival = m_now + gap();
        while (m_now < end) {
            if (!m_running.empty() && m_running.top().first <= arrival) {
                finish();
            } else {
                m_now = arrival;
                arrive();
                arrival = m_now + gap();
            }
        }
        const auto offeredSmall = m_offered - m_offeredLarge;
        const auto goodSmall = m_good - m_goodLarge;
        return {{"goodput", static_cast<double>(m_good) / (capacity * base::toSeconds(horizon))},
                {"small_served", static_cast<double>(goodSmall) / offeredSmall},
                {"large_served", static_cast<double>(m_goodLarge) / m_offeredLarge},
                {"run_in_vain", m_vain}};
    }

private:
    base::Duration gap() { return seconds(std::exponential_distribution<>(m_arrivals)(m_random)); }

    void arrive()
    {
        const auto id = fmt::format("{:08}", m_next++);
        const bool large = std::bernoulli_distribution(largePart)(m_random);
        const auto small = std::uniform_int_distribution<>(1, smallWorkspaces)(m_random);
        m_requests[id] = {large ? "large" : fmt::format("small-{}", small), m_now};
        ++m_offered;
        m_offeredLarge += large ? 1 : 0;
        if (m_running.size() < slots) {
            start(id);
        } else if (m_way == Way::OneQueue) {
            m_fifo.push(id);
        } else if (m_way == Way::FairQueue) {
            m_queue.enqueue({id, m_requests[id].workspace, "", 1.0, 1, m_now + deadlineAfter}, m_now);
        }
    }

    void start(const std::string &id)
    {
        // Lognormal, with its mean kept.
        constexpr double sigma = 0.5;
        std::lognormal_distribution<> service(std::log(meanService) - sigma * sigma / 2, sigma);
        const auto time = seconds(service(m_random));
        m_queue.recordStart(m_requests.at(id).workspace, 1.0);
        m_started[id] = m_now;
        m_running.emplace(m_now + time, id);
    }

    void finish()
    {
        const auto [at, id] = m_running.top();
        m_running.pop();
        m_now = at;
        const auto &request = m_requests.at(id);
        const bool good = m_now - request.arrived <= deadlineAfter;
        m_good += good ? 1 : 0;
        m_vain += good ? 0 : 1;
        m_goodLarge += good && request.workspace == "large" ? 1 : 0;
        m_queue.recordEnd(m_now - m_started.at(id));
        if (m_way == Way::OneQueue && !m_fifo.empty()) {
            start(m_fifo.front());
            m_fifo.pop();
        } else if (m_way == Way::FairQueue) {
            m_queue.expire(m_now);
            m_queue.dispatchWaiting([this](const std::string &next) {
                if (m_running.size() >= slots) {
                    return false;
                }
                start(next);
                return true;
            });
        }
    }

    Way m_way;
    double m_arrivals;
    std::mt19937_64 m_random{17};
    base::TimePoint m_now{1000s};
    admission::AdmissionQueue m_queue{1000};
    std::queue<std::string> m_fifo;
    std::map<std::string, Request> m_requests;
    std::map<std::string, base::TimePoint> m_started;
    using Ending = std::pair<base::TimePoint, std::string>;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_running;
    std::uint64_t m_next = 0;
    int m_offered = 0;
    int m_offeredLarge = 0;
    int m_good = 0;
    int m_goodLarge = 0;
    int m_vain = 0;
};

} // namespace

json overloadBench()
{
    json rows = json::array();
    for (const auto &[way, name] : ways) {
        for (const double load : {0.5, 1.0, 1.5, 2.0, 3.0}) {
            auto row = Simulation(way, load).run();
            row["way"] = name;
            row["load"] = load;
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace ibisfork::bench
