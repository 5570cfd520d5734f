#include <ibisfork/coord/slottracker.h>

#include <algorithm>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ibisfork/coord/confirmation.h>

namespace ibisfork::coord {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration confirmWithin = 6s;
constexpr base::Duration longestRun = 10s;
constexpr base::Duration transit = 1s;
constexpr std::uint32_t limit = 5;
constexpr unsigned nodeCount = 4;
const SlotTimeBounds times{longestRun, transit};

} // namespace

class SlotTrackerTest : public testing::Test
{
protected:
    void update(Revision revision, const std::vector<SlotMember> &members, base::Duration at)
    {
        m_tracker.update(revision, true, members, {{"e1", "r1", limit}}, m_start + at);
    }
    std::uint32_t usable(base::Duration at) const { return m_tracker.usable("e1", limit, m_start + at); }

    base::TimePoint m_start{1000s};
    SlotTracker m_tracker{"a", times};
};

TEST_F(SlotTrackerTest, usable_firstRevisionOfAProcess_waitsForAcceptanceAndLongestRun)
{
    update(5, {{"a", "r1"}}, 0s);
    EXPECT_EQ(usable(3600s), 0U);
    m_tracker.recordAccepted(4, m_start + 5s);
    EXPECT_EQ(usable(3600s), 0U);
    m_tracker.recordAccepted(5, m_start + 6s);
    EXPECT_EQ(usable(16s), 0U);
    EXPECT_EQ(usable(17s), limit);
}

TEST_F(SlotTrackerTest, usable_upstreamAddedInNextRevision_isImmediate)
{
    m_tracker.update(5, true, {{"a", "r1"}}, {}, m_start);
    update(6, {{"a", "r1"}}, 1s);
    EXPECT_EQ(usable(1s), limit);
}

TEST_F(SlotTrackerTest, usable_upstreamRemovedAndAddedAgain_waits)
{
    m_tracker.update(5, true, {{"a", "r1"}}, {}, m_start);
    update(6, {{"a", "r1"}}, 1s);
    m_tracker.update(7, true, {{"a", "r1"}}, {}, m_start + 2s);
    update(8, {{"a", "r1"}}, 3s);
    EXPECT_EQ(usable(3s), 0U);
    m_tracker.recordAccepted(8, m_start + 4s);
    EXPECT_EQ(usable(14s), 0U);
    EXPECT_EQ(usable(15s), limit);
}

TEST_F(SlotTrackerTest, usable_revisionsSkipped_waits)
{
    m_tracker.update(5, true, {{"a", "r1"}}, {}, m_start);
    update(6, {{"a", "r1"}}, 1s);
    update(8, {{"a", "r1"}}, 2s);
    EXPECT_EQ(usable(2s), 0U);
}

TEST_F(SlotTrackerTest, usable_reportAfterTransitTime_givesSlotsWithoutRemainingRuns)
{
    update(5, {{"a", "r1"}}, 0s);
    m_tracker.recordAccepted(5, m_start + 6s);
    m_tracker.recordRuns("e1", 0, m_start + 6s);
    EXPECT_EQ(usable(7s), 0U);
    m_tracker.recordRuns("e1", 2, m_start + 7s);
    EXPECT_EQ(usable(7s), limit - 2);
    m_tracker.recordRuns("e1", 0, m_start + 8s);
    EXPECT_EQ(usable(8s), limit);
}

TEST_F(SlotTrackerTest, usable_notTheRegisteredMember_holdsNothing)
{
    m_tracker.update(5, false, {{"a", "r1"}}, {{"e1", "r1", limit}}, m_start);
    EXPECT_EQ(usable(60s), 0U);
}

/// Simulates, in virtual time, nodes at different revisions that send requests to one upstream.
class SlotTrackerFleet
{
public:
    SlotTrackerFleet()
    {
        for (unsigned i = 0; i < nodeCount; ++i) {
            m_nodes.emplace_back(i);
        }
        m_history.push_back((1U << nodeCount) - 1);
    }

    /// Performs the action that @p word encodes: the low 6 bits select the action, the next 2 bits the node, and
    /// the high 8 the amount.
    void perform(std::uint16_t word)
    {
        auto &node = m_nodes[(word >> 6) % nodeCount];
        const auto amount = word >> 8;
        const auto action = word % 64;
        const bool rare = amount % 4 == 0;
        evaluate();
        if (action == 0 && rare) {
            m_history.push_back(m_history.back() ^ (1U << (amount % nodeCount)));
        } else if (action == 1 && rare) {
            // The process is replaced; the requests that it sent keep running.
            node = Node(node.index);
        } else if (action < 12) {
            sendQuery(node);
        } else if (action < 22) {
            deliverAnswer(node, amount % 16 == 0);
        } else if (action < 24) {
            node.tracker.recordAccepted(m_accepted, m_now);
        } else if (action < 26) {
            confirmByPeers(node);
        } else if (action < 30) {
            node.tracker.recordRuns("e1", running(), m_now);
        } else if (action < 38) {
            advance(std::chrono::milliseconds(amount * 5));
        } else {
            dispatch(node, std::chrono::milliseconds(amount * 4));
        }
    }

    std::uint32_t mostRunning() const { return m_mostRunning; }

    /// Brings all nodes up to date and lets all runs end.
    void settle()
    {
        for (auto &node : m_nodes) {
            sendQuery(node);
            deliverAnswer(node, false);
        }
        evaluate();
        for (auto &node : m_nodes) {
            node.tracker.recordAccepted(m_accepted, m_now);
        }
        advance(transit + longestRun);
    }

    /// Usable slots of all nodes together.
    std::uint32_t usable() const
    {
        std::uint32_t sum = 0;
        for (const auto &node : m_nodes) {
            sum += node.tracker.usable("e1", limit, m_now);
        }
        return sum;
    }
    bool anyMember() const { return m_history.back() != 0; }

private:
    struct Node
    {
        explicit Node(unsigned number)
            : index(number)
            , tracker(fmt::format("node-{}", number), times)
            , confirmation(confirmWithin)
        { }

        unsigned index;
        SlotTracker tracker;
        Confirmation confirmation;
        Revision revision = 0;
        Revision answer = 0;
        base::TimePoint askedAt{};
        /// End times of the runs that this process sent.
        std::vector<base::TimePoint> runs;
    };
    struct Run
    {
        base::TimePoint from;
        base::TimePoint until;
    };

    /// Accepts each revision once no node can action on an older one.
    void evaluate()
    {
        const auto past = [this](const Node &node) {
            const bool answerConfirms = node.answer <= m_accepted && m_now < node.askedAt + confirmWithin;
            return node.revision > m_accepted
                || (!node.confirmation.confirmed(node.revision, m_now) && !answerConfirms);
        };
        while (m_accepted < m_history.size() && std::all_of(m_nodes.begin(), m_nodes.end(), past)) {
            ++m_accepted;
        }
    }

    /// Without the table, a node that knows of no newer revision may stay confirmed until the next one is accepted.
    void confirmByPeers(Node &node) const
    {
        if (node.revision >= m_accepted && node.confirmation.newestKnown() <= node.revision) {
            node.confirmation.recordNewest(node.revision, m_now);
        }
    }

    /// Sends a query to the table; the answer is the revision at the time of the query.
    void sendQuery(Node &node) const
    {
        node.askedAt = m_now;
        node.answer = m_history.size();
    }

    /// Delivers the answer to the last query, which may be out of date or delivered before.
    void deliverAnswer(Node &node, bool snapshot)
    {
        if (node.answer == 0) {
            return;
        }
        const auto first = snapshot || node.revision == 0 ? node.answer : node.revision + 1;
        for (auto revision = first; revision <= node.answer && revision > node.revision; ++revision) {
            applyRevision(node, revision);
        }
        node.confirmation.recordNewest(node.answer, node.askedAt);
    }

    void applyRevision(Node &node, Revision revision)
    {
        const auto mask = m_history[revision - 1];
        std::vector<SlotMember> members;
        for (unsigned i = 0; i < nodeCount; ++i) {
            if ((mask >> i & 1U) != 0) {
                members.push_back({fmt::format("node-{}", i), "r1"});
            }
        }
        node.revision = revision;
        node.tracker.update(revision, (mask >> node.index & 1U) != 0, members, {{"e1", "r1", limit}}, m_now);
    }

    void dispatch(Node &node, base::Duration delay)
    {
        const auto own = static_cast<std::uint32_t>(
            std::count_if(node.runs.begin(), node.runs.end(), [&](auto until) { return until > m_now; }));
        if (!node.confirmation.confirmed(node.revision, m_now) || node.tracker.usable("e1", limit, m_now) <= own) {
            return;
        }
        const auto from = m_now + std::min(delay, transit);
        const auto until = from + longestRun;
        node.runs.push_back(until);
        m_runs.push_back({from, until});
    }

    void advance(base::Duration by)
    {
        // Runs can start and end within this step, so the number of runs is checked at each start.
        const auto end = m_now + by;
        for (const auto &run : m_runs) {
            if (run.from > m_now && run.from <= end) {
                m_mostRunning = std::max(m_mostRunning, runningAt(run.from));
            }
        }
        m_now = end;
        m_mostRunning = std::max(m_mostRunning, running());
    }

    std::uint32_t runningAt(base::TimePoint at) const
    {
        return static_cast<std::uint32_t>(std::count_if(
            m_runs.begin(), m_runs.end(), [&](const Run &run) { return run.from <= at && at < run.until; }));
    }
    std::uint32_t running() const { return runningAt(m_now); }

    base::TimePoint m_now{1000s};
    std::vector<Node> m_nodes;
    std::vector<Run> m_runs;
    /// Members of each revision, as a bit mask.
    std::vector<unsigned> m_history;
    Revision m_accepted = 0;
    std::uint32_t m_mostRunning = 0;
};

class SlotTrackerFleetTest : public testing::Test
{
protected:
    void performAll(const std::vector<std::uint16_t> &actions)
    {
        m_fleet.settle();
        m_fleet.settle();
        for (const auto action : actions) {
            m_fleet.perform(action);
        }
    }

    SlotTrackerFleet m_fleet;
};

const auto anyActions
    = rc::gen::resize(rc::kNominalSize,
                      rc::gen::container<std::vector<std::uint16_t>>(8000, rc::gen::inRange<std::uint16_t>(0, 65535)));

RC_GTEST_FIXTURE_PROP(SlotTrackerFleetTest, dispatch_anyOrderOfFaults_neverExceedsTheLimit, ())
{
    performAll(*anyActions);
    RC_ASSERT(m_fleet.mostRunning() <= limit);
}

TEST_F(SlotTrackerFleetTest, dispatch_manyFaults_usesAllSlotsAtTimes)
{
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same actions each time
    std::vector<std::uint16_t> actions(2000);
    std::generate(actions.begin(), actions.end(), [&] { return static_cast<std::uint16_t>(random()); });
    performAll(actions);
    EXPECT_EQ(m_fleet.mostRunning(), limit);
}

RC_GTEST_FIXTURE_PROP(SlotTrackerFleetTest, usable_faultsOver_allSlotsAreUsable, ())
{
    performAll(*anyActions);
    m_fleet.settle();
    m_fleet.settle();
    RC_ASSERT(m_fleet.usable() == (m_fleet.anyMember() ? limit : 0U));
}

} // namespace ibisfork::coord
