#pragma once

#include <cstddef>
#include <memory>
#include <optional>

namespace ibisfork::memory {

/// What a process may hold for callers, engines and other nodes, in bytes. Used on one event loop.
class MemoryBudget
{
public:
    /// Items up to this size may use all of the budget; longer ones leave smallItemsShare() to these.
    static constexpr std::size_t smallItemBytes = 128UL * 1024;

    explicit MemoryBudget(std::size_t capacity)
        : m_capacity(capacity)
    { }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::size_t capacity() const { return m_capacity; }
    std::size_t held() const { return m_held; }
    /// Bytes that only small items may use.
    std::size_t smallItemsShare() const;

private:
    friend class Reservation;

    /// Takes @p bytes more for an item of @p itemBytes in all; false if there is no room.
    bool take(std::size_t bytes, std::size_t itemBytes);
    void giveBack(std::size_t bytes) { m_held -= bytes; }

    std::size_t m_capacity;
    std::size_t m_held = 0;
};

using BudgetPtr = std::shared_ptr<MemoryBudget>;

/// Capacity of the budget of a process that may use @p limit bytes of memory.
std::size_t budgetCapacity(std::optional<std::size_t> limit);
/// As above, of the budgets of the operators' and of the readiness port. They lie in the margin that budgetCapacity()
/// leaves.
std::size_t operatorsBudgetCapacity(std::optional<std::size_t> limit);
std::size_t readinessBudgetCapacity(std::optional<std::size_t> limit);

} // namespace ibisfork::memory
