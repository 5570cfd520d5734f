#include <gtest/gtest.h>

#include <random>

#include <fmt/format.h>

#include "ledger/billlog.h"
#include "platform/faketable.h"

namespace ibisfork::ledger {

using namespace std::chrono_literals;
using platform::AppendState;

class BillLogTest : public testing::Test
{
protected:
    void add(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index, ++m_added) {
            m_log.add(fmt::format("r{}", m_added), m_added);
        }
    }

    BillLog m_log{"i1", 4};
    std::uint64_t m_added = 0;
};

TEST_F(BillLogTest, batch_notSettled_staysTheSame)
{
    add(2);
    ASSERT_EQ(m_log.batch(10)->records.size(), 2U);
    add(1);
    EXPECT_EQ(m_log.batch(10)->records.size(), 2U);
    EXPECT_EQ(m_log.appended(), (std::vector<std::uint64_t>{0, 1}));
    const auto next = m_log.batch(10);
    EXPECT_EQ(next->first, 2U);
    EXPECT_EQ(next->records, std::vector<std::string>{"r2"});
}

TEST_F(BillLogTest, full_atItsCapacity_isSaidUntilRecordsLeave)
{
    add(4);
    EXPECT_TRUE(m_log.full());
    m_log.batch(1);
    m_log.appended();
    EXPECT_FALSE(m_log.full());
}

TEST_F(BillLogTest, closedAt_partInTheTable_handsOverTheRestUnderTheNewIncarnation)
{
    add(3);
    m_log.batch(10);
    EXPECT_EQ(m_log.closedAt(2, "i2"), (std::vector<std::uint64_t>{0, 1}));
    const auto batch = m_log.batch(10);
    EXPECT_EQ(batch->incarnation, "i2");
    EXPECT_EQ(batch->first, 0U);
    EXPECT_EQ(batch->records, std::vector<std::string>{"r2"});
}

/// The owner of a log goes on while a peer that believes it dead closes the log from its copies.
class OppositeViewsTest : public testing::TestWithParam<unsigned>
{
protected:
    void ownerAdds()
    {
        m_log.add(fmt::format("r{}", m_added), m_added);
        ++m_added;
        m_copies.push_back(fmt::format("r{}", m_added - 1));
    }

    void ownerAppends()
    {
        const auto batch = m_log.batch(1 + m_random() % 4);
        if (!batch || m_appending) {
            return;
        }
        m_appending = true;
        m_store.append(*batch, [this](const platform::AppendResult &result) {
            m_appending = false;
            if (result.state == AppendState::Appended) {
                dropCopies(m_log.appended().size());
            } else if (result.state == AppendState::Closed) {
                m_log.closedAt(result.closedAt, fmt::format("i{}", ++m_incarnations));
                // The copies of the new log start with what is handed over.
                m_copies.erase(m_copies.begin(), m_copies.end() - static_cast<std::ptrdiff_t>(m_log.size()));
                m_copiesFirst = 0;
            }
        });
    }

    /// The holder hears of an append late or not at all, and so may hold records that are in the table.
    void dropCopies(std::size_t count)
    {
        if (m_random() % 2 == 0) {
            m_copies.erase(m_copies.begin(), m_copies.begin() + static_cast<std::ptrdiff_t>(count));
            m_copiesFirst += count;
        }
    }

    void holderCloses()
    {
        // A holder may lack the newest records.
        auto copies = m_copies;
        copies.resize(copies.size() - (copies.empty() ? 0 : m_random() % 2));
        ++m_closing;
        m_store.close({m_log.incarnation(), m_copiesFirst, copies}, [this](bool) { --m_closing; });
    }

    std::map<std::string, unsigned> counts() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto &row : m_fake.rows("bills/")) {
            const auto value = nlohmann::json::parse(row.at("value").get<std::string>());
            for (const auto &record : value.at("records")) {
                ++counts[record.get<std::string>()];
            }
        }
        return counts;
    }

    std::mt19937 m_random{GetParam()};
    net::EventBasePtr m_base = net::makeEventBase();
    platform::FakeTable m_fake{m_base.get()};
    platform::TableClient m_table{m_base.get(), m_fake.address(), 2s};
    platform::BillStore m_store{m_table};
    BillLog m_log{"i0", 1000};
    std::vector<std::string> m_copies;
    std::uint64_t m_copiesFirst = 0;
    std::uint64_t m_added = 0;
    unsigned m_incarnations = 0;
    unsigned m_closing = 0;
    bool m_appending = false;
};

TEST_P(OppositeViewsTest, records_ownerAndHolderBothWrite_areEachInTheTableOnce)
{
    constexpr int steps = 150;
    for (int step = 0; step < steps; ++step) {
        m_fake.loseAnswers = m_random() % 8 == 0 ? 1 : m_fake.loseAnswers;
        m_fake.loseCommits = m_random() % 8 == 0 ? 1 : m_fake.loseCommits;
        switch (m_random() % 6) {
        case 0:
        case 1:
        case 2:
            ownerAdds();
            break;
        case 3:
        case 4:
            ownerAppends();
            break;
        default:
            holderCloses();
            break;
        }
        event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
    }
    ASSERT_TRUE(platform::runUntil(m_base.get(), [this] { return m_closing == 0; }));
    while (m_log.size() > 0) {
        ownerAppends();
        ASSERT_TRUE(platform::runUntil(m_base.get(), [this] { return !m_appending; }));
    }
    const auto found = counts();
    EXPECT_EQ(found.size(), m_added);
    for (const auto &[record, count] : found) {
        EXPECT_EQ(count, 1U) << record;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, OppositeViewsTest, testing::Range(1U, 21U));

} // namespace ibisfork::ledger
