#include <gtest/gtest.h>

#include "ledger/billdraft.h"
#include "ledger/exceptions.h"
#include "ledger/reconciliation.h"

namespace ibisfork::ledger {

class ReconciliationTest : public testing::Test
{
protected:
    static Bill bill(const std::string &requestId, std::size_t steps)
    {
        Bill made;
        made.requestId = requestId;
        made.steps.resize(steps);
        return made;
    }

    static DifferenceKind onlyKind(const std::vector<Bill> &bills, const RunCounts &runs)
    {
        const auto differences = reconcile(bills, runs);
        EXPECT_EQ(differences.size(), 1U);
        return differences.at(0).kind;
    }
};

TEST_F(ReconciliationTest, reconcile_billsAndRunsAgree_findsNothing)
{
    EXPECT_TRUE(reconcile({bill("a", 1), bill("b", 2)}, {{"a", 1}, {"b", 2}}).empty());
}

TEST_F(ReconciliationTest, reconcile_eachKindOfDifference_isNamed)
{
    EXPECT_EQ(onlyKind({}, {{"a", 1}}), DifferenceKind::RunWithoutBill);
    EXPECT_EQ(onlyKind({bill("a", 1), bill("a", 1)}, {{"a", 2}}), DifferenceKind::BilledTwice);
    EXPECT_EQ(onlyKind({bill("a", 1)}, {{"a", 2}}), DifferenceKind::MoreRunsThanBilled);
    EXPECT_EQ(onlyKind({bill("a", 1)}, {}), DifferenceKind::FewerRunsThanBilled);
}

TEST_F(ReconciliationTest, billFrom_billText_isTheSameBill)
{
    BillDraft draft("req-1", "w1", "node-1");
    draft.sent("report@v1", "e1", 1.5);
    draft.piece();
    draft.sent("report@v2", "e2", 5.0);
    draft.counted(7, 4);
    const auto read = billFrom(billText(*draft.close(BillOutcome::Answered)));
    EXPECT_EQ(read.requestId, "req-1");
    EXPECT_EQ(read.node, "node-1");
    ASSERT_EQ(read.steps.size(), 2U);
    EXPECT_EQ(read.steps[0].completionTokens, 1U);
    EXPECT_EQ(read.steps[1].promptTokens, 7U);
    EXPECT_EQ(read.steps[1].cost, 5.0);
}

TEST_F(ReconciliationTest, billFrom_otherText_throws)
{
    EXPECT_THROW(billFrom("{}"), LedgerError);
    EXPECT_THROW(billFrom("not json"), LedgerError);
}

TEST_F(ReconciliationTest, draft_closedTwice_givesOneBill)
{
    BillDraft draft("req-1", "w1", "node-1");
    draft.sent("report@v1", "e1", 1.0);
    EXPECT_TRUE(draft.close(BillOutcome::CallerGone));
    EXPECT_FALSE(draft.close(BillOutcome::Answered));
}

TEST_F(ReconciliationTest, draft_nothingRan_givesNoBill)
{
    BillDraft draft("req-1", "w1", "node-1");
    draft.sent("report@v1", "e1", 1.0);
    draft.notRun();
    EXPECT_FALSE(draft.close(BillOutcome::Refused));
}

} // namespace ibisfork::ledger
