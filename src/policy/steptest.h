#pragma once

#include <cstdint>

namespace ibisfork::policy {

/// A sequential test on the ratings of one step of a roll-out: sound enough for the next step, bad, or undecided.
class StepTest
{
public:
    void observe(bool failed);

    std::uint32_t ratings() const { return m_ratings; }
    std::uint32_t failures() const { return m_failures; }
    bool sound() const;
    /// Stays true.
    bool bad() const { return m_bad; }

private:
    std::uint32_t m_ratings = 0;
    std::uint32_t m_failures = 0;
    double m_evidence = 0.0;
    bool m_bad = false;
};

} // namespace ibisfork::policy
