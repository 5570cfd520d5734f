#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibisfork::coord {

/// What a call that may not be repeated came to.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// A claim on the one run of a call. Without an answer it runs, or its outcome is not known.
struct Claim
{
    /// Digest of what is called; another digest under the same key is another call.
    std::string digest;
    /// Names one attempt to claim; who wrote a claim knows it by this.
    std::string token;
    /// Incarnation of the claimer.
    std::string claimer;
    /// Seconds since 1970 on the claimer's clock, for the clean-up only.
    std::int64_t claimedAt = 0;
    std::optional<RecordedAnswer> answer;
};

/// A claim with the version of the row that holds it.
struct HeldClaim
{
    Claim claim;
    std::uint64_t rowVersion = 0;
};

using HeldClaims = std::map<std::string, HeldClaim>;

/// Take: claim a call before it runs. Settle: record its answer. Release: give it up, since nothing was sent.
enum class ClaimAction { Take, Settle, Release };

struct ClaimOperation
{
    ClaimAction action = ClaimAction::Take;
    std::string key;
    Claim claim;
};

/// Granted: the call may run. Running: another runs it, or its outcome is not known. Answered: it has run.
/// OtherCall: the key belongs to another call. Done: a settle or a release has nothing left to do.
enum class ClaimVerdict { Granted, Running, Answered, OtherCall, Done };

struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Running;
    std::optional<RecordedAnswer> answer;
};

/// The row that an operation writes, on condition of the version; no claim removes the row.
struct ClaimWrite
{
    std::string key;
    std::uint64_t rowVersion = 0;
    std::optional<Claim> claim;
};

/// What becomes of an operation: a result now, or a write that gives the result when it is committed.
using ClaimStep = std::variant<ClaimResult, ClaimWrite>;

/// Decides @p operation on the claim that is held under its key, if any.
ClaimStep planClaim(const ClaimOperation &operation, const HeldClaim *held);

/// The result of an operation whose write has been committed.
ClaimResult committedResult(const ClaimOperation &operation);

/// The operations that may go to the table in one transaction: at most @p most, and one for each key.
/// They are taken out of @p waiting; the order of operations on one key is kept.
std::vector<ClaimOperation> takeGroup(std::vector<ClaimOperation> &waiting, std::size_t most);

} // namespace ibisfork::coord
