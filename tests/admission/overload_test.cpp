#include "admission/admissionqueue.h"

#include <functional>
#include <map>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace ibisfork::admission {

using namespace std::chrono_literals;

/// Plays requests before upstreams with a number of slots, on a clock of its own.
class OverloadTest : public testing::Test
{
protected:
    static constexpr int slots = 10;
    static constexpr base::Duration runTime = 100ms;
    static constexpr base::Duration objective = 500ms;
    static constexpr base::Duration step = 1ms;

    /// Requests that come evenly over the time.
    struct Load
    {
        std::string workspace;
        int rank = 0;
        int perSecond = 0;
        base::Duration from = 0ms;
        base::Duration until = 20s;
    };

    struct Result
    {
        int sent = 0;
        int inTime = 0;
        int refused = 0;
        base::Duration longestWait{};
        base::Duration longestWaitForRefusal{};
        base::Duration shortestReturn = base::Duration::max();
    };

    struct Waiting
    {
        Load load;
        base::TimePoint since{};
    };

    void play(const std::vector<Load> &loads, base::Duration time)
    {
        for (base::Duration at = 0ms; at < time; at += step) {
            m_now = base::TimePoint(1000s) + at;
            endRuns();
            for (const auto &load : loads) {
                const bool isDue = at / step * load.perSecond / 1000 != (at / step + 1) * load.perSecond / 1000;
                if (at >= load.from && at < load.until && isDue) {
                    arrive(load);
                }
            }
            refuse(m_queue.expire(m_now));
            m_queue.dispatchWaiting([this](const std::string &id) { return start(id); });
        }
    }

    void endRuns()
    {
        std::erase_if(m_runs, [this](base::TimePoint end) {
            if (end <= m_now) {
                m_queue.recordEnd(runTime);
            }
            return end <= m_now;
        });
    }

    void arrive(const Load &load)
    {
        const auto id = fmt::format("{}", m_nextId++);
        ++m_results[load.workspace].sent;
        m_waiting[id] = {load, m_now};
        WaitingRequest request{id, load.workspace, "kind"};
        request.rank = load.rank;
        request.deadline = m_now + objective;
        refuse(m_queue.enqueue(request, m_now));
    }

    bool start(const std::string &id)
    {
        if (m_runs.size() >= slots) {
            return false;
        }
        const auto found = m_waiting.extract(id);
        auto &result = m_results[found.mapped().load.workspace];
        const auto waited = m_now - found.mapped().since;
        result.longestWait = std::max(result.longestWait, waited);
        result.inTime += waited + runTime <= objective ? 1 : 0;
        m_queue.recordStart(found.mapped().load.workspace, 1.0);
        m_runs.push_back(m_now + runTime);
        return true;
    }

    void refuse(const std::vector<RejectedRequest> &rejected)
    {
        for (const auto &request : rejected) {
            const auto found = m_waiting.extract(request.id);
            auto &result = m_results[found.mapped().load.workspace];
            ++result.refused;
            result.longestWaitForRefusal = std::max(result.longestWaitForRefusal, m_now - found.mapped().since);
            result.shortestReturn = std::min(result.shortestReturn, request.retryAfter);
        }
    }

    base::TimePoint m_now{};
    AdmissionQueue m_queue{1000};
    std::vector<base::TimePoint> m_runs;
    std::map<std::string, Waiting> m_waiting;
    std::map<std::string, Result> m_results;
    int m_nextId = 0;
};

TEST_F(OverloadTest, oneWorkspaceSendsManyTimesItsUsual_theOthersAreServedInTime)
{
    play({{"flood", 0, 400, 2s}, {"small", 0, 20}, {"medium", 0, 30}}, 10s);
    for (const auto *workspace : {"small", "medium"}) {
        EXPECT_EQ(m_results[workspace].refused, 0) << workspace;
        EXPECT_GE(m_results[workspace].inTime, m_results[workspace].sent - 1) << workspace;
    }
    // What the others leave of 100 runs a second.
    EXPECT_GT(m_results["flood"].inTime, 300);
}

TEST_F(OverloadTest, urgentWorkBesideABurstOfTheLeastUrgent_urgentWaitsForAtMostOneRun)
{
    play({{"urgent", 0, 60}, {"usual", 1, 20}, {"burst", 2, 500, 2s, 6s}}, 10s);
    EXPECT_EQ(m_results["urgent"].refused, 0);
    EXPECT_LE(m_results["urgent"].longestWait, runTime);
    EXPECT_EQ(m_results["usual"].refused, 0);
    EXPECT_GE(m_results["usual"].inTime, m_results["usual"].sent - 1);
    EXPECT_GT(m_results["burst"].refused, 0);
}

TEST_F(OverloadTest, threeTimesTheCapacity_whatIsTakenIsInTime_andTheRestIsRefusedSoon)
{
    play({{"a", 0, 150}, {"b", 0, 150}}, 10s);
    const auto &a = m_results["a"];
    const auto &b = m_results["b"];
    EXPECT_GT(a.inTime + b.inTime, 950 - 10);
    EXPECT_LE(a.longestWaitForRefusal, objective / 8);
    EXPECT_GT(a.shortestReturn, 0ms);
}

} // namespace ibisfork::admission
