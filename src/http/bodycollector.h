#pragma once

#include <string>
#include <string_view>

#include "http/body.h"
#include "memory/reservation.h"

namespace ibisfork::http {

/// Why a body is not taken.
enum class BodyRefusal {
    None,
    TooLong, ///< Longer than allowed.
    NoMemory, ///< The budget has no room for it.
};

/// Collects the bytes of one body after the other. A refused body is dropped at once, and so is the rest of it.
class BodyCollector
{
public:
    explicit BodyCollector(memory::BudgetPtr budget);

    /// Begins a body.
    void reset();
    /// Makes room for a body that is said to have @p length bytes, of at most @p maxBytes.
    void expect(std::size_t length, std::size_t maxBytes);
    void append(std::string_view bytes, std::size_t maxBytes);
    /// As append(), for a body that nobody needs: its bytes are counted and dropped.
    void drop(std::size_t bytes, std::size_t maxBytes);

    /// Makes room for @p length bytes in all. False, and without a change, if the budget has none.
    bool reserve(std::size_t length);
    /// As append(), without a bound; false, and without a change, if the budget has no room.
    bool tryAppend(std::string_view bytes);

    BodyRefusal refusal() const { return m_refusal; }
    /// Hands the whole body out.
    Body take();

private:
    void refuse(BodyRefusal refusal);
    /// Grows the buffer to @p capacity. False if the budget has no room.
    bool grow(std::size_t capacity);

    memory::BudgetPtr m_budget;
    memory::Reservation m_reservation;
    std::string m_bytes;
    std::size_t m_droppedBytes = 0;
    BodyRefusal m_refusal = BodyRefusal::None;
};

} // namespace ibisfork::http
