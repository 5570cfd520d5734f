#pragma once

#include <array>
#include <string>

#include <ibisfork/base/names.h>

namespace ibisfork::configcheck {

enum class FindingKind {
    Error, ///< Not valid, or requests would not be served as it says.
    NeverMatches, ///< An entry that no request can reach.
    Contradiction, ///< Limits that can't both have an effect.
    Difference, ///< What differs from the version in force.
};
inline constexpr std::array<base::Name<FindingKind>, 4> findingKindNames{{
    {FindingKind::Error, "error"},
    {FindingKind::NeverMatches, "never matches"},
    {FindingKind::Contradiction, "contradiction"},
    {FindingKind::Difference, "difference"},
}};

/// Something that operators should know of a configuration before they send it.
struct Finding
{
    FindingKind kind = FindingKind::Error;
    /// The entry that it concerns, such as "route chat".
    std::string where;
    std::string text;
};

} // namespace ibisfork::configcheck
