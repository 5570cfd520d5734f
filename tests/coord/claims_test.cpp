#include <gtest/gtest.h>

#include <ibisfork/coord/claims.h>

namespace ibisfork::coord {

/// One operation on a stored claim and the expected step.
struct PlanCase
{
    const char *name;
    ClaimAction action;
    /// Token and digest of the stored claim; an empty token means that no claim is stored.
    const char *heldToken;
    const char *heldDigest;
    bool heldAnswered;
    /// The expected verdict; nullopt if a row write is expected.
    std::optional<ClaimVerdict> verdict;
};

class ClaimPlanTest : public testing::TestWithParam<PlanCase>
{
};

TEST_P(ClaimPlanTest, planClaim_storedClaim_givesExpectedStep)
{
    const auto &param = GetParam();
    StoredClaim held{{param.heldDigest, param.heldToken, "other", 0, {}}, 7};
    if (param.heldAnswered) {
        held.claim.answer = RecordedAnswer{201, "text/plain", "booked"};
    }
    const ClaimOperation operation{param.action, "key", {"digest", "mine", "me", 0, {}}};
    const auto step = planClaim(operation, *param.heldToken == '\0' ? nullptr : &held);
    if (!param.verdict) {
        ASSERT_TRUE(std::holds_alternative<ClaimWrite>(step));
        EXPECT_EQ(std::get<ClaimWrite>(step).rowVersion, *param.heldToken == '\0' ? 0U : 7U);
        return;
    }
    ASSERT_TRUE(std::holds_alternative<ClaimResult>(step));
    EXPECT_EQ(std::get<ClaimResult>(step).verdict, *param.verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    ClaimPlanTest,
    testing::Values(
        PlanCase{"acquireFree", ClaimAction::Acquire, "", "", false, {}},
        PlanCase{"acquireOwnAfterLostAnswer", ClaimAction::Acquire, "mine", "digest", false, ClaimVerdict::Granted},
        PlanCase{"acquireHeld", ClaimAction::Acquire, "theirs", "digest", false, ClaimVerdict::Running},
        PlanCase{"acquireAnswered", ClaimAction::Acquire, "theirs", "digest", true, ClaimVerdict::Answered},
        PlanCase{"acquireKeyConflict", ClaimAction::Acquire, "theirs", "other", false, ClaimVerdict::KeyConflict},
        PlanCase{"acquireKeyConflictAnswered",
                 ClaimAction::Acquire,
                 "theirs",
                 "other",
                 true,
                 ClaimVerdict::KeyConflict},
        PlanCase{"completeOwn", ClaimAction::Complete, "mine", "digest", false, {}},
        PlanCase{"completeOwnTwice", ClaimAction::Complete, "mine", "digest", true, ClaimVerdict::Done},
        PlanCase{"completeCleanedUp", ClaimAction::Complete, "", "", false, ClaimVerdict::Done},
        PlanCase{"completeOfAnother", ClaimAction::Complete, "theirs", "digest", false, ClaimVerdict::Done},
        PlanCase{"releaseOwn", ClaimAction::Release, "mine", "digest", false, {}},
        PlanCase{"releaseOwnAnswered", ClaimAction::Release, "mine", "digest", true, ClaimVerdict::Done},
        PlanCase{"releaseOfAnother", ClaimAction::Release, "theirs", "digest", false, ClaimVerdict::Done}),
    [](const auto &info) { return info.param.name; });

class ClaimBatchTest : public testing::Test
{
};

TEST_F(ClaimBatchTest, takeBatch_twoOperationsOnOneKey_goInOrderInTwoBatches)
{
    std::vector<ClaimOperation> waiting{{ClaimAction::Acquire, "a", {}},
                                        {ClaimAction::Release, "a", {}},
                                        {ClaimAction::Acquire, "b", {}},
                                        {ClaimAction::Acquire, "c", {}}};
    const auto first = takeBatch(waiting, 2);
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].key, "a");
    EXPECT_EQ(first[1].key, "b");
    const auto second = takeBatch(waiting, 2);
    ASSERT_EQ(second.size(), 2U);
    EXPECT_EQ(second[0].action, ClaimAction::Release);
    EXPECT_EQ(second[1].key, "c");
    EXPECT_TRUE(waiting.empty());
}

} // namespace ibisfork::coord
