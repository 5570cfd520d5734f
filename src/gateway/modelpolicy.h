#pragma once

#include <string>
#include <vector>

namespace ibisfork::gateway {

/// Which of a route's models runs a request.
class ModelPolicy
{
public:
    /// The model for the first run. @p models: smallest first.
    std::string first(const std::vector<std::string> &models) const;
    /// The model for a second run when the first answer is poor.
    std::string larger(const std::vector<std::string> &models) const;
    /// True if an answer of @p model with @p confidence (0 to 100) is worth a second run. @p pressure: the time that
    /// answers take to begin, as a share of the time in which they should.
    bool worthSecondRun(const std::vector<std::string> &models,
                        const std::string &model,
                        int confidence,
                        double pressure) const;
};

} // namespace ibisfork::gateway
