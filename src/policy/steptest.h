#pragma once

#include <cstdint>

namespace ibisfork::policy {

/// Sequential probability ratio test on the ratings of one roll-out step; the outcome is passed, bad or undecided.
class StepTest
{
public:
    /// Adds one rating to the test.
    void observe(bool failed);

    /// Number of ratings observed, and how many of them failed.
    std::uint32_t ratings() const { return m_ratings; }
    std::uint32_t failures() const { return m_failures; }
    /// Whether the ratings are good enough for the next step.
    bool passed() const;
    /// Whether the ratings show a bad version; never reset.
    bool bad() const { return m_bad; }

private:
    std::uint32_t m_ratings = 0;
    std::uint32_t m_failures = 0;
    double m_evidence = 0.0;
    bool m_bad = false;
};

} // namespace ibisfork::policy
