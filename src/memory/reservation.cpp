#include "memory/reservation.h"

#include <utility>

namespace ibisfork::memory {

Reservation::Reservation(BudgetPtr budget)
    : m_budget(std::move(budget))
{ }

Reservation::Reservation(Reservation &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_size(std::exchange(other.m_size, 0))
{ }

Reservation &Reservation::operator=(Reservation &&other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_size = std::exchange(other.m_size, 0);
    }
    return *this;
}

Reservation::~Reservation()
{
    resize(0);
}

bool Reservation::resize(std::size_t bytes)
{
    if (m_budget && bytes > m_size && !m_budget->take(bytes - m_size, bytes)) {
        return false;
    }
    if (m_budget && bytes < m_size) {
        m_budget->giveBack(m_size - bytes);
    }
    m_size = bytes;
    return true;
}

} // namespace ibisfork::memory
