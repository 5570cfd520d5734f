#pragma once

#include <cstdint>

#include "policy/failurerates.h"

namespace ibisfork::policy {

/// Error probabilities of a step test.
struct StepTestBounds
{
    /// Bound on the probability that the test of one step ever finds a healthy version bad, by Ville's inequality on
    /// the likelihood ratio.
    double falseAlarm = 1e-3;
    /// Bound on the probability that a bad version ever passes the test.
    double missedAlarm = 1e-2;
};

/// Sequential probability ratio test on the ratings of one roll-out step; the outcome is passed, bad or undecided.
class StepTest
{
public:
    StepTest() = default;
    explicit StepTest(const FailureRates &rates, const StepTestBounds &bounds = {})
        : m_rates(rates)
        , m_bounds(bounds)
    { }

    /// Adds one rating to the test.
    void observe(bool failed) { observe(1, failed ? 1 : 0); }
    /// Adds @p ratings of which @p failures failed; the test is evaluated after the last one.
    void observe(std::uint32_t ratings, std::uint32_t failures);

    /// Number of ratings observed, and how many of them failed.
    std::uint32_t ratings() const { return m_ratings; }
    std::uint32_t failures() const { return m_failures; }
    /// Whether the ratings are good enough for the next step.
    bool passed() const;
    /// Whether the ratings show a bad version; never reset.
    bool bad() const { return m_bad; }
    /// Accumulated log-likelihood ratio (natural logarithm) in favour of the bad rate.
    double evidence() const { return m_evidence; }

private:
    FailureRates m_rates;
    StepTestBounds m_bounds;
    std::uint32_t m_ratings = 0;
    std::uint32_t m_failures = 0;
    double m_evidence = 0.0;
    bool m_bad = false;
};

} // namespace ibisfork::policy
