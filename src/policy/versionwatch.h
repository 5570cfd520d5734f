#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <ibisfork/base/names.h>

#include "policy/changedetector.h"

namespace ibisfork::policy {

/// Health signals of a version: request errors, engine crashes, late first tokens and poor ratings.
enum class Sign { Answer, Crash, FirstToken, Rating };
inline constexpr std::array<base::Name<Sign>, 4> healthSignalNames{{
    {Sign::Answer, "errors"},
    {Sign::Crash, "crashes"},
    {Sign::FirstToken, "first-token"},
    {Sign::Rating, "ratings"},
}};

/// Monitors the outcomes of one version during its roll-out. Each signal has two detectors: one for a clearly bad
/// version, which needs few observations, and one for a slightly bad version.
class VersionWatch
{
public:
    VersionWatch();

    void observe(Sign sign, bool failed);
    /// Reason why the version is bad, or an empty string.
    const std::string &verdict() const { return m_verdict; }
    std::uint32_t observations(Sign sign) const;

private:
    struct Watched
    {
        Sign sign;
        std::vector<ChangeDetector> detectors;
        std::uint32_t failures = 0;
        std::uint32_t observations = 0;
    };

    Watched &watched(Sign sign);

    std::vector<Watched> m_signs;
    std::string m_verdict;
};

} // namespace ibisfork::policy
