#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"

namespace ibisfork::gateway {

/// One part of a prompt that several requests may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a caller's request says of itself.
struct Call
{
    /// Names this attempt of the caller.
    std::string id;
    std::string host;
    std::string path;
    std::string key;
    std::string session;
    /// How long the caller waits, from the arrival of its request.
    std::optional<std::chrono::milliseconds> patience;
    /// The caller leaves the choice of the model to the node.
    bool anyModel = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> promptParts;
    std::optional<std::uint64_t> lastEventId;
};

/// What the node adds when it sends a request to an upstream.
struct Dispatch
{
    std::string engineId;
    std::string workspace;
    std::string model;
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> priority;
    std::optional<std::uint64_t> resumeAfterEvent;
};

/// The load that an upstream reports of itself.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of an upstream's answer says.
struct EngineAnswer
{
    int status = 0;
    std::string callId;
    /// The engine says that it did not run the request and never will.
    bool notRun = false;
    /// The answer bears the engine's signature, which callers check.
    bool isSigned = false;
    bool eventStream = false;
    std::optional<EngineLoad> load;
    /// From 0 to 100: the model's own opinion of its answer.
    std::optional<int> confidence;
};

} // namespace ibisfork::gateway
