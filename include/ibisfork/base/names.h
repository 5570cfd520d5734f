#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace ibisfork::base {

/// One row of a table that names the values of an enumeration.
template<typename Enum>
struct Name
{
    Enum value;
    std::string_view name;
};

/// The name of @p value in @p table, or an empty view.
template<typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const std::array<Name<Enum>, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return {};
}

/// The value that @p table gives for @p name.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const std::array<Name<Enum>, Size> &table, std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace ibisfork::base
