#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ibisfork::gateway {

/// One event of a stream, as it came.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string_view bytes;
};

/// Cuts the bytes of an event stream into whole events, without changing them.
class EventSplitter
{
public:
    using Sink = std::function<void(const StreamEvent &)>;

    /// An event longer than this is not taken.
    static constexpr std::size_t maxEventBytes = 256UL * 1024;

    /// Hands each event that is whole to @p sink. False if an event is too long.
    bool feed(std::string_view bytes, const Sink &sink);
    /// True if bytes of an event have come that is not whole.
    bool midEvent() const { return !m_rest.empty(); }
    void reset() { m_rest.clear(); }

private:
    std::string m_rest;
};

} // namespace ibisfork::gateway
