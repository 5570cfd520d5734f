#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"
#include "http/status.h"

namespace ibisfork::gateway {

/// One part of a prompt that several requests may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Metadata of a caller's request, decoded from its head.
struct Call
{
    /// Identifies this attempt of the caller; responses carry the same id.
    std::string id;
    std::string host;
    std::string path;
    /// Credential of the caller, as sent.
    std::string key;
    std::string session;
    /// How long the caller waits for the response, from the arrival of its request.
    std::optional<std::chrono::milliseconds> timeout;
    /// The caller leaves the choice of the model to the node.
    bool autoSelectModel = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> promptParts;
    std::optional<std::uint64_t> lastEventId;
};

/// Metadata that the node adds to a request when it sends it to an upstream.
struct Dispatch
{
    std::string engineId;
    std::string workspace;
    std::string model;
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> priority;
    /// Id of the last event forwarded to the caller; the upstream continues the stream after it.
    std::optional<std::uint64_t> resumeAfterEvent;
    /// Id of the reservation that the upstream has granted for the request; empty if there is none.
    std::string reservation;
};

/// Room for a request at an upstream: a slot, and memory for its tokens.
struct RoomRequest
{
    std::string engineId;
    /// Address of the upstream, as text.
    std::string host;
    /// Tokens of the prompt and of the longest answer.
    std::uint64_t tokens = 0;
    /// How long the room is kept for the request.
    std::chrono::milliseconds validFor{0};
};

/// Load reported by an upstream, in requests.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the upstream's machine now, as a multiple of the usual time, if it says so.
    std::optional<double> slowdown{};
};

/// Metadata of an upstream's response, decoded from its head.
struct EngineAnswer
{
    int status = 0;
    std::string callId;
    /// The engine states that it has not executed the request and never will.
    bool notRun = false;
    /// The response carries the engine's signature, which callers verify.
    bool isSigned = false;
    /// The engine states that it is draining and will end.
    bool isLeaving = false;
    /// The response answers another request than @p id.
    bool isForeignTo(const std::string &id) const { return !callId.empty() && callId != id; }
    bool eventStream = false;
    /// The body is a stream of events that may be passed on one by one.
    bool isStream() const { return eventStream && status < http::status::firstRedirect; }
    std::optional<EngineLoad> load;
    /// The response names a load that cannot be read, or a part of it.
    bool hasUnreadableLoad = false;
    /// Confidence of the model in its response, from 0 to 100.
    std::optional<int> confidence;
    /// Time in which the engine wants no request from this node, if it says so.
    std::optional<std::chrono::milliseconds> restTime;
    /// The response names a time to rest that cannot be read.
    bool hasUnreadableRestTime = false;
    bool asksForRest() const
    {
        return hasUnreadableRestTime || restTime.value_or(std::chrono::milliseconds(0)).count() > 0;
    }
    /// Requests a second that the engine takes from all nodes together, while it names such a limit.
    std::optional<double> startLimit;
    /// The response names a limit that cannot be read.
    bool hasUnreadableLimit = false;
    /// Requests that the engine may refuse in a second for want of room before it fails, while it says so.
    std::optional<std::uint32_t> refusalLimit;
    /// The response names a refusal limit that cannot be read.
    bool hasUnreadableRefusalLimit = false;
};

} // namespace ibisfork::gateway
