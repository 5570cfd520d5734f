#pragma once

#include <functional>
#include <string>

#include "gateway/call.h"
#include "gateway/engine.h"
#include "http/callclient.h"

namespace ibisfork::gateway {

/// Asks engines to reserve room for requests, so that a request leaves one engine only for another that takes it.
class EngineReserver
{
public:
    /// What an engine has said to a call for room.
    struct Reply
    {
        bool isAnswered = false;
        EngineAnswer answer;
        /// Empty if the engine grants none.
        std::string reservation;
    };
    using Replied = std::function<void(const Reply &)>;

    explicit EngineReserver(event_base *base);

    /// Asks @p engine for room for @p tokens, of the prompt and of the longest answer together, at most for
    /// @p longest. @p replied is called once, after at most replyTimeout.
    void reserve(const EngineEntry &engine, std::uint64_t tokens, std::chrono::milliseconds longest, Replied replied);

    static constexpr std::chrono::milliseconds replyTimeout{250};

private:
    http::CallClient m_client;
};

} // namespace ibisfork::gateway
