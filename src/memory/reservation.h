#pragma once

#include "memory/memorybudget.h"

namespace ibisfork::memory {

/// Bytes that one item takes from a budget. They are given back when the reservation goes.
class Reservation
{
public:
    /// Belongs to no budget, which grants any size.
    Reservation() = default;
    explicit Reservation(BudgetPtr budget);
    Reservation(Reservation &&other) noexcept;
    Reservation &operator=(Reservation &&other) noexcept;
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation();

    std::size_t size() const { return m_size; }
    /// Changes the size. False, and without a change, if the budget has no room; a lower size is always granted.
    bool resize(std::size_t bytes);

private:
    BudgetPtr m_budget;
    std::size_t m_size = 0;
};

} // namespace ibisfork::memory
