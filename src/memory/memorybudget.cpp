#include "memory/memorybudget.h"

#include <algorithm>

namespace ibisfork::memory {

namespace {

constexpr std::size_t megabyte = 1024UL * 1024;
/// Assumed where the deployment sets no limit, so that a process is bounded in any case.
constexpr std::size_t assumedLimit = 128 * megabyte;
/// The program itself with its tables, its idle connections and its metrics.
constexpr std::size_t programBytes = 24 * megabyte;
/// Of what is left, one part in this many covers fragmentation and what is not counted, such as bytes in the kernel.
constexpr std::size_t marginDivisor = 4;
/// The budget is at least the limit divided by this, so that a small process still serves.
constexpr std::size_t leastDivisor = 8;
constexpr std::size_t smallItemsDivisor = 4;
/// Parts of the limit for the ports of operators and other nodes, and of readiness checks.
constexpr std::size_t operatorsDivisor = 16;
constexpr std::size_t readinessDivisor = 64;

} // namespace

std::size_t MemoryBudget::smallItemsShare() const
{
    return m_capacity / smallItemsDivisor;
}

bool MemoryBudget::take(std::size_t bytes, std::size_t itemBytes)
{
    const auto mostHeld = itemBytes <= smallItemBytes ? m_capacity : m_capacity - smallItemsShare();
    if (m_held > mostHeld || bytes > mostHeld - m_held) {
        return false;
    }
    m_held += bytes;
    return true;
}

std::size_t budgetCapacity(std::optional<std::size_t> limit)
{
    const auto whole = limit.value_or(assumedLimit);
    const auto left = whole - std::min(whole, programBytes);
    return std::max(left - left / marginDivisor, whole / leastDivisor);
}

std::size_t operatorsBudgetCapacity(std::optional<std::size_t> limit)
{
    return limit.value_or(assumedLimit) / operatorsDivisor;
}

std::size_t readinessBudgetCapacity(std::optional<std::size_t> limit)
{
    return limit.value_or(assumedLimit) / readinessDivisor;
}

} // namespace ibisfork::memory
