#include <array>
#include <set>
#include <sstream>
#include <unordered_map>

#include <gtest/gtest.h>

#include <ibisfork/coord/acceptance.h>
#include <ibisfork/coord/confirmation.h>
#include <ibisfork/coord/revisionreports.h>

namespace ibisfork::coord {

namespace {

using Clock = std::chrono::seconds;

constexpr std::size_t nodeCount = 3;
/// A confirmation lasts two time steps of 1 s.
constexpr Clock confirmWithin{2};
const MemberSet allMembers{"0", "1", "2"};

std::string nameOf(std::size_t node)
{
    return std::to_string(node);
}

/// A query or an answer in flight between two nodes, or an answer in flight from the table (sender nodeCount).
struct Message
{
    bool answer = false;
    std::size_t from = 0;
    std::size_t to = 0;
    int askedAt = 0;
    Revision known = 0;
    Revision floor = 0;
    /// Age, in time steps, of the sender's knowledge that known is the newest revision; -1 if the sender does not know.
    int age = -1;
};

/// One node: the decision code under test, and plain copies of its state for key().
struct Node
{
    Confirmation confirmation{confirmWithin};
    RevisionReports reports;
    Acceptance acceptance{confirmWithin};
    Revision held = 1;
    bool paused = false;
    int confirmedAsOf = -1;
    std::map<std::string, std::pair<Revision, int>> received;
    std::map<std::string, std::map<Revision, int>> acknowledged;
};

/// State of the model: three nodes at revision 1, a table, and an operator that may commit revision 2.
struct ModelState
{
    std::array<Node, nodeCount> nodes;
    std::vector<Message> messages;
    Revision committed = 1;
    MemberSet membersAtTwo = allMembers;
    bool tableReachable = true;
    int now = 10;

    ModelState()
    {
        for (auto &node : nodes) {
            node.acceptance.restore(1, allMembers);
            node.confirmation.recordNewest(1, instant(now));
            node.confirmedAsOf = now;
        }
    }

    static base::TimePoint instant(int step) { return base::TimePoint{} + Clock(step); }

    MemberSet membersOf(Revision revision) const { return revision < 2 ? allMembers : membersAtTwo; }

    bool mayDispatch(std::size_t node) const
    {
        const auto &self = nodes[node];
        return !self.paused && membersOf(self.held).contains(nameOf(node))
            && self.confirmation.confirmed(self.held, instant(now));
    }

    /// Tells @p node that @p newest was the newest revision at step @p asOf (-1: unknown). A node that learns of a
    /// newer revision receives its rows at once.
    void learnNewest(std::size_t node, Revision newest, int asOf)
    {
        auto &self = nodes[node];
        self.confirmation.recordNewest(newest, asOf < 0 ? base::TimePoint{} : instant(asOf));
        if (newest > self.held) {
            self.held = newest;
            self.confirmedAsOf = -1;
            self.acceptance.recordMembers(newest, membersOf(newest));
        }
        if (newest == self.held) {
            self.confirmedAsOf = std::max(self.confirmedAsOf, asOf);
        }
    }

    /// Passes a report to @p node that @p other knows revision @p known as of step @p asOf (-1: unknown).
    void receiveReport(std::size_t node, std::size_t other, Revision known, int asOf)
    {
        auto &self = nodes[node];
        const auto name = nameOf(other);
        self.reports.note(name, known, asOf < 0 ? base::TimePoint{} : instant(asOf));
        self.acceptance.recordAcknowledged(name, known, instant(now));
        auto &received = self.received[name];
        received = known > received.first ? std::pair(known, asOf)
                                          : std::pair(received.first, std::max(received.second, asOf));
        self.acknowledged[name].emplace(known, now);
        if (known > self.confirmation.newestKnown()) {
            learnNewest(node, known, -1);
        }
    }

    void evaluate(std::size_t node)
    {
        auto &self = nodes[node];
        receiveReport(node, node, self.held, now);
        if (const auto asOf = self.reports.majorityAsOf(membersOf(self.held), self.held)) {
            const auto step = std::chrono::duration_cast<Clock>(asOf->time_since_epoch()).count();
            if (step > 0) {
                learnNewest(node, self.held, static_cast<int>(step));
            }
        }
        self.acceptance.accepted(instant(now));
    }

    void advanceTime()
    {
        ++now;
        for (std::size_t node = 0; node < nodeCount; ++node) {
            if (!nodes[node].paused) {
                evaluate(node);
            }
        }
    }

    Revision accepted() const
    {
        Revision accepted = 0;
        for (const auto &node : nodes) {
            accepted = std::max(accepted, node.acceptance.lastAccepted());
        }
        return accepted;
    }

    /// Text of the complete state, with times as ages, so that states that behave the same have the same key.
    std::string key() const
    {
        std::ostringstream key;
        key << committed << tableReachable << membersAtTwo.size();
        for (const auto &node : nodes) {
            key << '|' << node.held << node.paused << ',' << std::min(now - node.confirmedAsOf, 9) << ','
                << node.acceptance.lastAccepted();
            for (const auto &[name, received] : node.received) {
                key << ';' << name << received.first << ',' << std::min(now - received.second, 9);
            }
            for (const auto &[name, revisions] : node.acknowledged) {
                for (const auto &[revision, at] : revisions) {
                    key << '+' << name << revision << ',' << std::min(now - at, 9);
                }
            }
        }
        std::multiset<std::string> inFlight;
        for (const auto &message : messages) {
            std::ostringstream text;
            text << message.answer << message.from << message.to << ',' << now - message.askedAt << ',' << message.known
                 << message.floor << ',' << message.age;
            inFlight.insert(text.str());
        }
        for (const auto &text : inFlight) {
            key << '/' << text;
        }
        return key.str();
    }
};

} // namespace

/// Model check: explores all interleavings of queries, delivered, dropped and duplicated messages, pauses, table
/// outages and time steps up to a depth. Guards against a node that dispatches under an older revision although a newer
/// one has been accepted.
class InterleavingTest : public testing::Test
{
protected:
    /// Search depths without and with outages or pauses.
    static constexpr int faultFreeDepth = 7;
    static constexpr int faultDepth = 6;
    static constexpr std::size_t maxMessagesInFlight = 2;

    void explore(const ModelState &state, int depth)
    {
        if (!m_failure.empty()) {
            return;
        }
        const auto [seen, isNew] = m_explored.try_emplace(state.key(), depth);
        if (!isNew && seen->second >= depth) {
            return;
        }
        seen->second = depth;
        if (state.accepted() >= 2) {
            ++m_acceptedStates;
            for (std::size_t node = 0; node < nodeCount; ++node) {
                if (state.nodes[node].held < 2 && state.mayDispatch(node)) {
                    m_failure = state.key();
                    return;
                }
            }
        }
        if (depth == 0) {
            return;
        }
        operatorSteps(state, depth);
        nodeSteps(state, depth);
        messageSteps(state, depth);
        ModelState later = state;
        later.advanceTime();
        explore(later, depth - 1);
    }

    void operatorSteps(const ModelState &state, int depth)
    {
        if (state.committed == 1 && state.tableReachable) {
            ModelState next = state;
            next.committed = 2;
            next.membersAtTwo = m_membersAtTwo;
            // The node that commits learns of the revision from the table's answer.
            next.learnNewest(0, 2, next.now);
            next.evaluate(0);
            explore(next, depth - 1);
        }
        if (m_outages) {
            ModelState next = state;
            next.tableReachable = !next.tableReachable;
            explore(next, depth - 1);
        }
    }

    void nodeSteps(const ModelState &state, int depth)
    {
        for (std::size_t node = 0; node < nodeCount; ++node) {
            ModelState toggled = state;
            toggled.nodes[node].paused = !toggled.nodes[node].paused;
            if (m_pauses) {
                explore(toggled, depth - 1);
            }
            if (state.nodes[node].paused) {
                continue;
            }
            if (state.messages.size() >= maxMessagesInFlight) {
                continue;
            }
            for (std::size_t other = 0; other < nodeCount; ++other) {
                if (other != node) {
                    ModelState queried = state;
                    queried.messages.push_back({false, node, other, state.now, state.nodes[node].held, 0, -1});
                    explore(queried, depth - 1);
                }
            }
            if (state.tableReachable) {
                // The table answers with the committed revision; the answer may be delivered late.
                ModelState queried = state;
                queried.messages.push_back({true, nodeCount, node, state.now, state.committed, 0, 0});
                explore(queried, depth - 1);
            }
        }
    }

    void messageSteps(const ModelState &state, int depth)
    {
        for (std::size_t i = 0; i < state.messages.size(); ++i) {
            ModelState dropped = state;
            dropped.messages.erase(dropped.messages.begin() + static_cast<std::ptrdiff_t>(i));
            explore(dropped, depth - 1);
            if (state.nodes[state.messages[i].to].paused) {
                continue;
            }
            ModelState delivered = dropped;
            deliver(delivered, state.messages[i]);
            explore(delivered, depth - 1);
            // The message stays in flight, to be delivered again.
            ModelState duplicated = state;
            deliver(duplicated, state.messages[i]);
            if (duplicated.messages.size() <= maxMessagesInFlight) {
                explore(duplicated, depth - 1);
            }
        }
    }

    static void deliver(ModelState &state, const Message &message)
    {
        auto &receiver = state.nodes[message.to];
        if (!message.answer) {
            state.receiveReport(message.to, message.from, message.known, -1);
            state.evaluate(message.to);
            const int asOf = receiver.confirmedAsOf;
            state.messages.push_back({true,
                                      message.to,
                                      message.from,
                                      message.askedAt,
                                      receiver.held,
                                      receiver.acceptance.lastAccepted(),
                                      asOf < 0 ? -1 : state.now - asOf});
            return;
        }
        if (message.from < nodeCount) {
            state.receiveReport(message.to, message.from, message.known, message.askedAt);
        }
        state.learnNewest(message.to, message.known, message.age < 0 ? -1 : message.askedAt - message.age);
        receiver.acceptance.recordAccepted(message.floor);
        state.evaluate(message.to);
    }

    MemberSet m_membersAtTwo = allMembers;
    bool m_pauses = false;
    bool m_outages = false;
    /// The greatest remaining depth with which each state was explored.
    std::unordered_map<std::string, int> m_explored;
    std::size_t m_acceptedStates = 0;
    std::string m_failure;
};

TEST_F(InterleavingTest, dispatch_afterAccepted_isNeverUnderAnOlderRevision)
{
    explore(ModelState(), faultFreeDepth);
    EXPECT_EQ(m_failure, "");
    EXPECT_GT(m_acceptedStates, 0U);
    RecordProperty("states", static_cast<int>(m_explored.size()));
}

TEST_F(InterleavingTest, dispatch_afterAcceptedWithOutagesAndPauses_isNeverUnderAnOlderRevision)
{
    m_outages = true;
    m_pauses = true;
    explore(ModelState(), faultDepth);
    EXPECT_EQ(m_failure, "");
    EXPECT_GT(m_acceptedStates, 0U);
    RecordProperty("states", static_cast<int>(m_explored.size()));
}

TEST_F(InterleavingTest, dispatch_changeRemovesAMember_isNeverUnderAnOlderRevision)
{
    m_membersAtTwo = {"0", "1"};
    m_outages = true;
    explore(ModelState(), faultDepth);
    EXPECT_EQ(m_failure, "");
    EXPECT_GT(m_acceptedStates, 0U);
}

TEST_F(InterleavingTest, dispatch_changeLeavesOneMember_isNeverUnderAnOlderRevision)
{
    m_membersAtTwo = {"0"};
    explore(ModelState(), faultFreeDepth);
    EXPECT_EQ(m_failure, "");
}

} // namespace ibisfork::coord
