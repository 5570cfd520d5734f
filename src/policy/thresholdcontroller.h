#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ibisfork::policy {

/// Feedback controller that adjusts the confidence threshold of a workspace so that the mean score of its answers meets
/// the quality target. Answers with a confidence below the threshold are escalated to a better version.
class ThresholdController
{
public:
    /// @p target is the mean score to reach and @p threshold the initial confidence threshold, both from 0 to 1.
    ThresholdController(double target, double threshold);

    /// Adjusts the threshold by a rating, which may be late; @p score is from 0 to 1.
    void rate(const std::string &judge, double score);
    /// Changes the mean score to reach; the threshold is kept.
    void setTarget(double target) { m_target = target; }

    /// Whether an answer with this confidence must be replaced by that of a better version.
    bool escalates(double confidence) const { return confidence < m_threshold; }
    /// Current confidence threshold, from 0 to 1.
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
