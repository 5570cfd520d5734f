#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ibisfork::gateway {

/// Version of a row of the store, or of what a reading of the store shows.
///
/// When the store comes back from an older copy its era rises by one, and it gives version numbers out again. A version
/// of a later era is newer than all of the eras before.
class RowVersion
{
public:
    constexpr RowVersion() = default;
    /// @p number alone is a version of a store that has never come back from a copy.
    constexpr RowVersion(std::uint64_t number, std::uint32_t era = 0)
        : m_era(era)
        , m_number(number)
    { }

    constexpr std::uint32_t era() const { return m_era; }
    /// The number that the store gives out and expects in conditions.
    constexpr std::uint64_t number() const { return m_number; }
    /// Number and era, for logs.
    std::string text() const { return std::to_string(m_number) + '@' + std::to_string(m_era); }

    constexpr auto operator<=>(const RowVersion &) const = default;

private:
    // The order of these members is that of the comparison.
    std::uint32_t m_era = 0;
    std::uint64_t m_number = 0;
};

} // namespace ibisfork::gateway
