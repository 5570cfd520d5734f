#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ibisfork::gateway {

/// One event of a stream, with its bytes as received.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string_view bytes;
};

/// Splits the bytes of a server-sent event stream into complete events, without changing them.
class EventSplitter
{
public:
    /// Called with each complete event; the event's bytes are valid only during the call.
    using Sink = std::function<void(const StreamEvent &)>;

    /// Maximum length of an incomplete event that is buffered.
    static constexpr std::size_t maxEventBytes = 256UL * 1024;

    /// Passes each complete event to @p sink. False if an event exceeds maxEventBytes.
    bool feed(std::string_view bytes, const Sink &sink);
    /// True if part of an incomplete event is buffered.
    bool midEvent() const { return !m_rest.empty(); }
    /// Bytes of the incomplete event that is buffered.
    std::size_t buffered() const { return m_rest.size(); }
    /// Discards the buffered part, before another stream is read.
    void reset() { m_rest.clear(); }

private:
    std::string m_rest;
};

} // namespace ibisfork::gateway
