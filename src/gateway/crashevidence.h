#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/requesttrait.h"

namespace ibisfork::gateway {

/// Time of the store's steady clock, which all nodes can compare.
using StoreTime = std::chrono::milliseconds;

/// The end of one engine, as one node saw it.
struct CrashReport
{
    /// The engine's process: its id and start time.
    std::string engine;
    StoreTime at{0};
    /// Traits of this node's requests that ran there: their bodies, and the prompt parts of those whose answers had not
    /// begun, or only just. A part that crashes engines does so as the answer begins.
    std::set<RequestTrait> suspects;

    /// Adds what another node has seen of the same end.
    void add(const CrashReport &other);

    bool operator==(const CrashReport &) const = default;
};

/// When the latest run with a trait that went well began to be answered.
using SoundRuns = std::map<RequestTrait, StoreTime>;
/// Adds a run with @p trait, unless a later one is known.
void addSoundRun(SoundRuns &to, const RequestTrait &trait, StoreTime beganAt);
/// Keeps the later run of each trait.
void addSoundRuns(SoundRuns &to, const SoundRuns &from);

/// What one node knows about crashes. Nodes share it as a row of the store.
struct CrashEvidence
{
    std::vector<CrashReport> reports{};
    SoundRuns soundRuns{};

    bool empty() const { return reports.empty() && soundRuns.empty(); }
    /// Adds what another node, or several, know. Of the ends of engines the latest are kept if there are many.
    void add(const CrashEvidence &other);

    bool operator==(const CrashEvidence &) const = default;
};

std::string encodeCrashEvidence(const CrashEvidence &evidence);
/// Returns nullopt if @p text cannot be decoded.
std::optional<CrashEvidence> decodeCrashEvidence(const std::string &text);

/// Traits that crash engines together. While they were seen in crashes only together, nothing tells which of them is
/// the cause, so only requests with all of them are refused.
using PoisonGroup = std::set<RequestTrait>;

/// A group that all nodes refuse for some time. Nodes share it as a row of the store, so that it outlives them.
struct Conviction
{
    PoisonGroup group;
    StoreTime since{0};
    /// How many times the group has been convicted; the period grows with it.
    unsigned count = 1;

    /// Requests with the group are let through again from this time on.
    StoreTime until() const;
};

std::string encodeConviction(const Conviction &conviction);
/// Returns nullopt if @p text cannot be decoded.
std::optional<Conviction> decodeConviction(const std::string &text);
/// Identifies the group in row keys, as 16 hexadecimal digits.
std::string poisonGroupId(const PoisonGroup &group);

} // namespace ibisfork::gateway
