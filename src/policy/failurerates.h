#pragma once

namespace ibisfork::policy {

/// Failure rates that a test distinguishes, from 0 to 1 exclusive.
struct FailureRates
{
    /// Failure rate of a healthy version.
    double healthy = 0.05;
    /// Failure rate from which a version is considered bad.
    double bad = 0.5;

    /// Logarithm of the likelihood ratio of one outcome, in favour of the bad rate.
    double evidenceOf(bool failed) const;
};

} // namespace ibisfork::policy
