#include <ibisfork/coord/claims.h>

#include <set>

namespace ibisfork::coord {

namespace {

ClaimStep planAcquire(const ClaimOperation &operation, const StoredClaim *held)
{
    if (held == nullptr) {
        return ClaimWrite{operation.key, 0, operation.claim};
    }
    const auto &claim = held->claim;
    if (claim.token == operation.claim.token) {
        // This write was committed before, but its answer was lost.
        return ClaimResult{ClaimVerdict::Granted, {}};
    }
    if (claim.digest != operation.claim.digest) {
        return ClaimResult{ClaimVerdict::KeyConflict, {}};
    }
    if (claim.answer) {
        return ClaimResult{ClaimVerdict::Answered, claim.answer};
    }
    return ClaimResult{ClaimVerdict::Running, {}};
}

/// Complete and Release change only a claim with the operation's token, and only while no answer is recorded.
bool isOwnAndOpen(const ClaimOperation &operation, const StoredClaim *held)
{
    return held != nullptr && held->claim.token == operation.claim.token && !held->claim.answer;
}

} // namespace

ClaimStep planClaim(const ClaimOperation &operation, const StoredClaim *held)
{
    if (operation.action == ClaimAction::Acquire) {
        return planAcquire(operation, held);
    }
    if (!isOwnAndOpen(operation, held)) {
        return ClaimResult{ClaimVerdict::Done, {}};
    }
    if (operation.action == ClaimAction::Release) {
        return ClaimWrite{operation.key, held->rowVersion, std::nullopt};
    }
    return ClaimWrite{operation.key, held->rowVersion, operation.claim};
}

ClaimResult committedResult(const ClaimOperation &operation)
{
    return {operation.action == ClaimAction::Acquire ? ClaimVerdict::Granted : ClaimVerdict::Done, {}};
}

std::vector<ClaimOperation> takeBatch(std::vector<ClaimOperation> &waiting, std::size_t most)
{
    std::vector<ClaimOperation> batch;
    std::vector<ClaimOperation> remaining;
    std::set<std::string> keys;
    for (auto &operation : waiting) {
        // An operation that is not taken blocks later operations on its key, so that they keep their order.
        const bool first = keys.insert(operation.key).second;
        if (first && batch.size() < most) {
            batch.push_back(std::move(operation));
        } else {
            remaining.push_back(std::move(operation));
        }
    }
    waiting = std::move(remaining);
    return batch;
}

} // namespace ibisfork::coord
