#pragma once

namespace ibisfork::policy {

/// Failure rates that a detector tells apart and how rarely it may be wrong.
struct DetectorBounds
{
    /// Failure rate of a sound version.
    double soundRate = 0.05;
    /// Failure rate from which a version is bad.
    double badRate = 0.5;
    /// Observations of a sound version between two false alarms, at least, in the mean.
    double falseAlarmEvery = 1e6;
};

/// A one-sided cumulative-sum test on a sequence of outcomes: finds that the failure rate has risen, also late.
class ChangeDetector
{
public:
    explicit ChangeDetector(const DetectorBounds &bounds);

    void observe(bool failed);
    /// Whether the version is bad; stays so.
    bool alarmed() const { return m_alarmed; }
    /// Evidence against the version, and the height at which it is bad; natural logarithms of a likelihood ratio.
    double evidence() const { return m_evidence; }
    double threshold() const { return m_threshold; }

private:
    double m_onFailure;
    double m_onSuccess;
    double m_threshold;
    double m_evidence = 0.0;
    bool m_alarmed = false;
};

} // namespace ibisfork::policy
