#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibisfork::coord {

/// Number of requests that each incarnation may send, by incarnation.
using Allowances = std::map<std::string, std::uint32_t>;

/// Divides @p cap among the distinct @p incarnations; shares differ by at most one. The shares add up to @p cap; the
/// result is empty without incarnations.
Allowances divideCap(std::uint32_t cap, const std::vector<std::string> &incarnations);

/// Tracks how much of the allowances written for the steps of roll-outs one incarnation has used. A subject is what is
/// rolled out, such as a model version.
class ExposureTracker
{
public:
    explicit ExposureTracker(std::string incarnation);

    /// Sets the allowances of @p step of @p subject. The used count is kept within a step and starts at 0 for a new
    /// step.
    void update(const std::string &subject, const std::string &step, const Allowances &allowances);
    /// Sets the allowance of @p subject to 0.
    void close(const std::string &subject);

    /// Whether any allowance of @p subject is left.
    bool hasAllowance(const std::string &subject) const;
    /// Uses one unit of the allowance of @p subject; returns false if none is left.
    bool consume(const std::string &subject);
    /// Units used in the current step of @p subject.
    std::uint32_t used(const std::string &subject) const;

private:
    struct Entry
    {
        std::string step;
        std::uint32_t allowance = 0;
        std::uint32_t used = 0;
    };

    std::string m_incarnation;
    std::map<std::string, Entry> m_entries;
};

} // namespace ibisfork::coord
