#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "load/reportboard.h"

namespace ibisfork::gateway::loads {

/// HTTP path of exchanges between nodes; the body of the POST and of its answer are messages of proto/loads.proto.
inline constexpr const char *exchangePath = "/loads";
/// Reports in one message; a fleet has fewer engines, or the oldest reports are left out.
inline constexpr std::size_t mostReports = 2000;

/// What one node tells another of the engines' loads.
struct LoadMessage
{
    std::string node;
    std::vector<load::Report> reports{};
    /// Version of what the sender knows with these reports.
    std::uint64_t version = 0;
    /// Version of the receiver that the sender has.
    std::uint64_t knownVersion = 0;
};

/// A message that can't be read, or that no node sends.
class LoadError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @p now: times of reports are sent as ages.
std::string encodeLoads(const LoadMessage &message, base::TimePoint now);
/// Ages count from @p receivedAt, when the message was asked for or came. Throws LoadError.
LoadMessage decodeLoads(const std::string &bytes, base::TimePoint receivedAt);

} // namespace ibisfork::gateway::loads
