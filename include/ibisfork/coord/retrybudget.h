#pragma once

#include <map>
#include <string>

namespace ibisfork::coord {

/// Limits retries to a share of first attempts, separately for each workspace (token bucket).
class RetryBudget
{
public:
    /// Retries earned by one first attempt.
    static constexpr double defaultShare = 0.15;
    /// Most retries that a workspace can save up.
    static constexpr double defaultBurst = 5.0;

    /// @p share is the number of retries earned by a first attempt. @p burst is the most retries that can be saved up
    /// and the initial balance. Throws CoordError if either is negative.
    explicit RetryBudget(double share = defaultShare, double burst = defaultBurst);

    /// Counts a first attempt of @p workspace.
    void countFirstAttempt(const std::string &workspace);
    /// Uses one retry of @p workspace; returns false if none is left.
    bool consume(const std::string &workspace);

private:
    double m_share;
    double m_burst;
    /// Retries left by workspace.
    std::map<std::string, double> m_balances;
};

} // namespace ibisfork::coord
