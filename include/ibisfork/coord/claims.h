#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisfork::coord {

/// Stored response of a call that must run at most once, replayed to later callers with the same key.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Exclusive right to run a call that must run at most once. While no answer is recorded, the call is running or its
/// outcome is unknown.
struct Claim
{
    /// Digest of the call's content. A different digest under the same key is a different call.
    std::string digest;
    /// Identifies one attempt to claim, so that the writer of a claim recognises the claim as its own.
    std::string token;
    /// Incarnation of the process that wrote the claim.
    std::string claimer;
    /// Seconds since 1970-01-01 UTC on the claimer's clock; only used to clean up old claims.
    std::int64_t claimedAt = 0;
    std::optional<RecordedAnswer> answer;
};

/// A claim as stored, with the version of its row.
struct StoredClaim
{
    Claim claim;
    std::uint64_t rowVersion = 0;
};

/// Stored claims by key.
using StoredClaims = std::map<std::string, StoredClaim>;

/// Acquire: claim a call before running it. Complete: record the answer of the call. Release: remove the claim because
/// the request was never sent.
enum class ClaimAction { Acquire, Complete, Release };

/// A requested change of the claim stored under a key.
struct ClaimOperation
{
    ClaimAction action = ClaimAction::Acquire;
    std::string key;
    Claim claim;
};

/// Granted: the caller may run the call. Running: another process runs the call, or its outcome is unknown. Answered:
/// the call has completed. KeyConflict: the key is in use for a different call. Done: a Complete or Release operation
/// has finished or had no effect.
enum class ClaimVerdict { Granted, Running, Answered, KeyConflict, Done };

/// Result of a claim operation; the answer is set only for Answered.
struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Running;
    std::optional<RecordedAnswer> answer;
};

/// Conditional row write: applies only if the row is still at rowVersion (0: the row does not exist). Without a claim
/// the row is removed.
struct ClaimWrite
{
    std::string key;
    std::uint64_t rowVersion = 0;
    std::optional<Claim> claim;
};

/// Next step of an operation: an immediate result, or a row write after whose commit committedResult() applies.
using ClaimStep = std::variant<ClaimResult, ClaimWrite>;

/// Plans the next step of @p operation, given the claim stored under its key; @p held is null if there is none.
ClaimStep planClaim(const ClaimOperation &operation, const StoredClaim *held);

/// The result of @p operation once its write has been committed.
ClaimResult committedResult(const ClaimOperation &operation);

/// Removes from @p waiting the operations for the next transaction: at most @p most, and at most one for each key.
/// Operations on the same key keep their order.
std::vector<ClaimOperation> takeBatch(std::vector<ClaimOperation> &waiting, std::size_t most);

} // namespace ibisfork::coord
