#pragma once

#include <map>
#include <string>

namespace ibisfork::coord {

/// Bounds retries to a share of fresh requests, separately for each workspace.
class RetryBudget
{
public:
    static constexpr double defaultShare = 0.15;
    static constexpr double defaultBurst = 5.0;

    /// @p share is the retries earned by a fresh request, @p burst the most that are saved up, and what there is at
    /// the start. Throws CoordError if either is negative.
    explicit RetryBudget(double share = defaultShare, double burst = defaultBurst);

    /// Counts a fresh request of @p workspace.
    void countFresh(const std::string &workspace);
    /// Takes one retry of @p workspace; false if there is none left.
    bool take(const std::string &workspace);

private:
    double m_share;
    double m_burst;
    std::map<std::string, double> m_left;
};

} // namespace ibisfork::coord
