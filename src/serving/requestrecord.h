#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace ibisfork::serving {

/// How a request that was sent to an upstream ended towards its caller.
enum class RequestOutcome { Answered, Refused, Cut, CallerGone };

/// A request that was sent to at least one upstream, at its end.
struct RequestRecord
{
    std::string requestId;
    std::string workspace;
    std::string version;
    /// The upstream that ran it last.
    std::string upstream;
    RequestOutcome outcome = RequestOutcome::Answered;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Takes the record of a request; an answer's last byte is held back until @p recorded is called.
using Recorder = std::function<void(const RequestRecord &record, std::function<void()> recorded)>;

inline void recordNothing(const RequestRecord &, const std::function<void()> &recorded)
{
    recorded();
}

} // namespace ibisfork::serving
