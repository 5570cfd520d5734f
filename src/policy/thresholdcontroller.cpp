#include "policy/thresholdcontroller.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace ibisfork::policy {

namespace {

/// Change of the threshold per unit of difference between target and score. Kept small so that ratings delayed by
/// hundreds of answers don't make the threshold oscillate.
constexpr double gain = 0.01;
/// Minimum weight of a new rating in a judge's running mean.
constexpr double minRatingWeight = 0.01;
/// Number of ratings from which a judge's mean is compared with those of others.
constexpr std::uint64_t minRatingsPerJudge = 50;
/// Minimum number of judges for bias correction; with fewer it is unknown which one is biased.
constexpr std::size_t minJudges = 3;
/// Upper bound of the threshold, so that an answer with full confidence is never escalated even if all ratings are
/// poor.
constexpr double maxThreshold = 1.0;

} // namespace

ThresholdController::ThresholdController(double target, double threshold)
    : m_target(target)
    , m_threshold(threshold)
{ }

void ThresholdController::rate(const std::string &judge, double score)
{
    auto &entry = m_judges[judge];
    ++entry.ratings;
    entry.mean += (score - entry.mean) * std::max(minRatingWeight, 1.0 / static_cast<double>(entry.ratings));
    const auto unbiased = score - biasOf(entry);
    m_threshold = std::clamp(m_threshold + gain * (m_target - unbiased), 0.0, maxThreshold);
}

// Judges rate samples of the same answers, so their means differ only by their bias. The median is unbiased as long as
// fewer than half of the judges are biased.
double ThresholdController::biasOf(const Judge &judge) const
{
    std::vector<double> means;
    for (const auto &[name, other] : m_judges) {
        if (other.ratings >= minRatingsPerJudge) {
            means.push_back(other.mean);
        }
    }
    if (means.size() < minJudges || judge.ratings < minRatingsPerJudge) {
        return 0.0;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return judge.mean - *middle;
}

} // namespace ibisfork::policy
