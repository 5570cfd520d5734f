#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <event2/buffer.h>

#include "memory/reservation.h"

namespace ibisfork::http {

/// The body of a message. Copies share the bytes, which never change, and the memory that is reserved for them.
class Body
{
public:
    Body() = default;
    // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions): a text is a body that is not counted.
    Body(std::string bytes);
    Body(std::string bytes, memory::Reservation reservation);

    std::string_view view() const { return m_shared ? std::string_view(m_shared->bytes) : std::string_view(); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return view().empty(); }

    /// Appends the bytes to @p buffer without a copy of them; the buffer shares them until they are sent.
    void appendTo(evbuffer *buffer) const;

    friend bool operator==(const Body &left, std::string_view right) { return left.view() == right; }

private:
    struct Shared
    {
        std::string bytes;
        memory::Reservation reservation;
    };

    static void release(const void *, std::size_t, void *shared);

    std::shared_ptr<const Shared> m_shared;
};

} // namespace ibisfork::http
