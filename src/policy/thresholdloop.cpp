#include "policy/thresholdloop.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace ibisfork::policy {

namespace {

/// Change of the threshold for a score that misses the target by one. Small, so that ratings which come hundreds of
/// answers late don't make the loop swing.
constexpr double gain = 0.01;
/// Weight of the newest rating in a judge's mean, once there are many.
constexpr double judgeWeight = 0.01;
/// Ratings before a judge's mean is compared with those of others.
constexpr std::uint64_t ratingsToKnowAJudge = 50;
/// Fewer judges can't tell who of them is biased.
constexpr std::size_t judgesToCompare = 3;
/// Largest score, so that a loop which is never rated well still lets a fully confident answer pass.
constexpr double highestThreshold = 1.0;

} // namespace

ThresholdLoop::ThresholdLoop(double target, double threshold)
    : m_target(target)
    , m_threshold(threshold)
{ }

void ThresholdLoop::rate(const std::string &judge, double score)
{
    auto &entry = m_judges[judge];
    ++entry.ratings;
    entry.mean += (score - entry.mean) * std::max(judgeWeight, 1.0 / static_cast<double>(entry.ratings));
    const auto unbiased = score - biasOf(entry);
    m_threshold = std::clamp(m_threshold + gain * (m_target - unbiased), 0.0, highestThreshold);
}

// Judges rate samples of the same answers, so their means agree but for their bias; the median is right while fewer
// than half are biased.
double ThresholdLoop::biasOf(const Judge &judge) const
{
    std::vector<double> means;
    for (const auto &[name, known] : m_judges) {
        if (known.ratings >= ratingsToKnowAJudge) {
            means.push_back(known.mean);
        }
    }
    if (means.size() < judgesToCompare || judge.ratings < ratingsToKnowAJudge) {
        return 0.0;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return judge.mean - *middle;
}

} // namespace ibisfork::policy
