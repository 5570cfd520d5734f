#pragma once

#include <string>
#include <vector>

namespace ibisfork::gateway {

/// Decides which of a route's models runs a request.
class ModelPolicy
{
public:
    /// The model for the first run. @p models: not empty, smallest first.
    std::string first(const std::vector<std::string> &models) const;
    /// The model for a second run after a response of low confidence. @p models: not empty, smallest first.
    std::string larger(const std::vector<std::string> &models) const;
    /// True if a response of @p model with @p confidence (0 to 100) should be replaced by a second run. @p pressure:
    /// mean time to the first byte, as a share of the route's objective.
    bool worthSecondRun(const std::vector<std::string> &models,
                        const std::string &model,
                        int confidence,
                        double pressure) const;
};

} // namespace ibisfork::gateway
