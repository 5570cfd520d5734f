#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ibisfork::policy {

/// Holds a workspace's quality target by moving the confidence below which a cheap answer is escalated.
class ThresholdLoop
{
public:
    /// @p target is the mean score to hold; @p threshold is where the loop begins.
    ThresholdLoop(double target, double threshold);

    /// Takes a rating, however late; @p score is from 0 to 1.
    void rate(const std::string &judge, double score);
    void setTarget(double target) { m_target = target; }

    /// Whether an answer of this confidence is to be replaced by a better version's.
    bool escalates(double confidence) const { return confidence < m_threshold; }
    double threshold() const { return m_threshold; }

private:
    struct Judge
    {
        double mean = 0.0;
        std::uint64_t ratings = 0;
    };

    double biasOf(const Judge &judge) const;

    double m_target;
    double m_threshold;
    std::map<std::string, Judge> m_judges;
};

} // namespace ibisfork::policy
