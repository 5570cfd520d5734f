#pragma once

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "gateway/evidence/nodeevidence.h"

namespace ibisfork::gateway::evidence {

/// HTTP path of exchanges between nodes; the body of the POST and of its answer are messages of proto/evidence.proto.
inline constexpr const char *exchangePath = "/evidence";

/// What a process holds of another one's evidence.
struct Held
{
    Incarnation incarnation = 0;
    std::uint64_t serial = 0;
};

/// What a node tells the node that it takes its facts from, or a reader of the store another one.
struct ExchangeRequest
{
    std::string node;
    /// The sender takes single evidence, not sums.
    bool wantsEntries = false;
    /// Sums for the sender leave these processes out.
    std::vector<Held> held{};
    std::vector<NodeEvidence> entries{};
    /// Hash of the crash evidence that the sender has from an earlier sum; 0 for none.
    std::uint64_t knownCrashes = 0;
};

struct ExchangeAnswer
{
    /// Changes whenever a sum for the sender may have changed.
    std::uint64_t version = 0;
    /// Processes of which the sender holds more than the answering node.
    std::set<Incarnation> wanted{};
    /// Processes of which the answering node holds more than the sender; the sum has them.
    std::set<Incarnation> outdated{};
    /// Over all processes that the sender doesn't hold; not set while the answering node can't tell.
    std::optional<FleetEvidence> sum{};
    /// The sender has the crash evidence of the sum already, so it is left out.
    bool hasCrashes = true;
    std::uint64_t crashesHash = 0;
    /// What the sender lacks, if it wants entries.
    std::vector<NodeEvidence> entries{};
};

/// Evidence that can't be read, or that no node can have.
class EvidenceError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string encodeExchangeRequest(const ExchangeRequest &request);
/// Throws EvidenceError.
ExchangeRequest decodeExchangeRequest(const std::string &bytes);

std::string encodeExchangeAnswer(const ExchangeAnswer &answer);
/// Throws EvidenceError.
ExchangeAnswer decodeExchangeAnswer(const std::string &bytes);

/// Identifies @p crashes in exchanges; 0 if there are none.
std::uint64_t hashOf(const CrashEvidence &crashes);

} // namespace ibisfork::gateway::evidence
