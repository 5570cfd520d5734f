#include <gtest/gtest.h>

#include <fmt/format.h>

#include "ledger/billdesk.h"
#include "platform/faketable.h"

namespace ibisfork::ledger {

using namespace std::chrono_literals;

class BillDeskTest : public testing::Test
{
protected:
    void record(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            Bill bill;
            bill.requestId = fmt::format("r{}", m_recorded++);
            bill.steps.resize(1);
            m_desk.whenSafe(m_desk.record(bill), [this] { ++m_safe; });
        }
    }

    bool runUntil(const std::function<bool()> &condition) { return platform::runUntil(m_base.get(), condition); }

    std::size_t billsInTable() const
    {
        std::size_t count = 0;
        for (const auto &row : m_fake.rows("bills/")) {
            count += nlohmann::json::parse(row.at("value").get<std::string>()).at("records").size();
        }
        return count;
    }

    base::MetricsRegistry m_metrics;
    net::EventBasePtr m_base = net::makeEventBase();
    platform::FakeTable m_fake{m_base.get()};
    platform::TableClient m_table{m_base.get(), m_fake.address(), 2s};
    BillDesk m_desk{m_base.get(), m_table, {5ms, 100ms, 10}, m_metrics};
    unsigned m_recorded = 0;
    unsigned m_safe = 0;
};

TEST_F(BillDeskTest, record_tableAnswers_isSafeOnlyOnceInTheTable)
{
    record(3);
    EXPECT_EQ(m_safe, 0U);
    ASSERT_TRUE(runUntil([this] { return m_safe > 0; }));
    EXPECT_EQ(billsInTable(), 3U);
    EXPECT_EQ(m_safe, 3U);
    EXPECT_EQ(m_fake.commits, 1U);
}

TEST_F(BillDeskTest, record_answersOfTheTableLost_isInTheTableOnce)
{
    m_fake.loseAnswers = 3;
    for (int round = 0; round < 4; ++round) {
        record(2);
        ASSERT_TRUE(runUntil([this] { return m_safe == m_recorded; }));
    }
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    EXPECT_EQ(billsInTable(), 8U);
}

TEST_F(BillDeskTest, record_tableDown_isReleasedAndKeptUntilItReturns)
{
    m_fake.down = true;
    record(2);
    ASSERT_TRUE(runUntil([this] { return m_safe == 2; }));
    record(2);
    EXPECT_EQ(m_safe, 4U);
    EXPECT_FALSE(m_desk.empty());
    m_fake.down = false;
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    EXPECT_EQ(billsInTable(), 4U);
}

TEST_F(BillDeskTest, record_tableSilent_isReleasedWithinTheHoldAndKept)
{
    m_fake.silent = true;
    const auto started = base::monotonicNow();
    record(2);
    ASSERT_TRUE(runUntil([this] { return m_safe == 2; }));
    EXPECT_LT(base::monotonicNow() - started, 1s);
    record(1);
    EXPECT_EQ(m_safe, 3U) << "held back while the table is known to be silent";
    EXPECT_FALSE(m_desk.empty());
    m_fake.silent = false;
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    EXPECT_EQ(billsInTable(), 3U);
}

TEST_F(BillDeskTest, full_tableDownUntilTheBound_isSaidAndNothingIsLost)
{
    m_fake.down = true;
    record(9);
    EXPECT_FALSE(m_desk.full());
    record(3);
    EXPECT_TRUE(m_desk.full());
    ASSERT_TRUE(runUntil([this] { return m_safe == 12; }));
    m_fake.down = false;
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    EXPECT_FALSE(m_desk.full());
    EXPECT_EQ(billsInTable(), 12U);
}

TEST_F(BillDeskTest, record_logClosedByAnother_goesOnUnderANewIncarnation)
{
    record(1);
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    const auto key = m_fake.rows("bills/").at(0).at("key").get<std::string>();
    const auto incarnation = key.substr(6, key.rfind('/') - 6);
    platform::BillStore holder(m_table);
    bool closed = false;
    holder.close({incarnation, 1, {}}, [&](bool done) { closed = done; });
    ASSERT_TRUE(runUntil([&] { return closed; }));
    record(2);
    ASSERT_TRUE(runUntil([this] { return m_safe == 3; }));
    EXPECT_EQ(billsInTable(), 3U);
}

TEST_F(BillDeskTest, forget_beforeTheTableAnswers_keepsTheBill)
{
    bool called = false;
    const auto ticket = m_desk.record({"r", "w", "n", BillOutcome::Answered, {{}}});
    m_desk.whenSafe(ticket, [&] { called = true; });
    m_desk.forget(ticket);
    ASSERT_TRUE(runUntil([this] { return m_desk.empty(); }));
    EXPECT_FALSE(called);
    EXPECT_EQ(billsInTable(), 1U);
}

} // namespace ibisfork::ledger
