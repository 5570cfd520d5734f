#include <gtest/gtest.h>

#include <random>

#include "platform/billstore.h"
#include "platform/faketable.h"

namespace ibisfork::platform {

using namespace std::chrono_literals;

class BillStoreTest : public testing::Test
{
protected:
    AppendResult append(const BillBatch &batch)
    {
        std::optional<AppendResult> result;
        m_store.append(batch, [&](const AppendResult &got) { result = got; });
        EXPECT_TRUE(runUntil(m_base.get(), [&] { return result.has_value(); }));
        return result.value_or(AppendResult{});
    }

    bool close(const BillBatch &copies)
    {
        std::optional<bool> closed;
        m_store.close(copies, [&](bool got) { closed = got; });
        EXPECT_TRUE(runUntil(m_base.get(), [&] { return closed.has_value(); }));
        return closed.value_or(false);
    }

    /// How often each record is in the table.
    std::map<std::string, unsigned> records()
    {
        std::map<std::string, unsigned> counts;
        std::optional<std::vector<BillBatch>> batches;
        bool done = false;
        m_store.readAll([&](std::optional<std::vector<BillBatch>> read) {
            batches = std::move(read);
            done = true;
        });
        EXPECT_TRUE(runUntil(m_base.get(), [&] { return done; }));
        for (const auto &batch : batches.value_or(std::vector<BillBatch>{})) {
            for (const auto &record : batch.records) {
                ++counts[record];
            }
        }
        return counts;
    }

    using Counts = std::map<std::string, unsigned>;

    net::EventBasePtr m_base = net::makeEventBase();
    FakeTable m_fake{m_base.get()};
    TableClient m_table{m_base.get(), m_fake.address(), 2s};
    BillStore m_store{m_table};
};

TEST_F(BillStoreTest, append_twice_isInTheTableOnce)
{
    EXPECT_EQ(append({"i1", 0, {"a", "b"}}).state, AppendState::Appended);
    EXPECT_EQ(append({"i1", 0, {"a", "b"}}).state, AppendState::Appended);
    EXPECT_EQ(records(), (Counts{{"a", 1}, {"b", 1}}));
}

TEST_F(BillStoreTest, append_answerLost_isReadBack)
{
    m_fake.loseAnswers = 1;
    EXPECT_EQ(append({"i1", 0, {"a"}}).state, AppendState::Appended);
}

TEST_F(BillStoreTest, append_commitLost_isUnavailableAndMayBeRepeated)
{
    m_fake.loseCommits = 1;
    EXPECT_EQ(append({"i1", 0, {"a"}}).state, AppendState::Unavailable);
    EXPECT_EQ(append({"i1", 0, {"a"}}).state, AppendState::Appended);
    EXPECT_EQ(records(), (Counts{{"a", 1}}));
}

TEST_F(BillStoreTest, append_tableDown_isUnavailable)
{
    m_fake.down = true;
    EXPECT_EQ(append({"i1", 0, {"a"}}).state, AppendState::Unavailable);
}

TEST_F(BillStoreTest, close_copiesPastTheTable_addsTheRestOnly)
{
    append({"i1", 0, {"a", "b"}});
    EXPECT_TRUE(close({"i1", 1, {"b", "c"}}));
    EXPECT_EQ(records(), (Counts{{"a", 1}, {"b", 1}, {"c", 1}}));
}

TEST_F(BillStoreTest, append_closedWithPartOfTheBatch_tellsWhereItWasClosed)
{
    append({"i1", 0, {"a"}});
    EXPECT_TRUE(close({"i1", 0, {"a", "b"}}));
    const auto result = append({"i1", 1, {"b", "c"}});
    EXPECT_EQ(result.state, AppendState::Closed);
    EXPECT_EQ(result.closedAt, 2U);
    EXPECT_EQ(records(), (Counts{{"a", 1}, {"b", 1}}));
}

TEST_F(BillStoreTest, close_byTwoHolders_addsTheRestOnce)
{
    EXPECT_TRUE(close({"i1", 0, {"a"}}));
    EXPECT_TRUE(close({"i1", 0, {"a", "b"}}));
    EXPECT_EQ(records(), (Counts{{"a", 1}}));
}

} // namespace ibisfork::platform
