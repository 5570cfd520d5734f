#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ibisfork::coord {

using Allowances = std::map<std::string, std::uint32_t>;

/// Divides @p cap over @p incarnations as evenly as whole numbers go; the sum is @p cap, or 0 without incarnations.
Allowances divideCap(std::uint32_t cap, const std::vector<std::string> &incarnations);

/// What one incarnation may still use of the allowances that were written for steps of a roll-out.
class ExposureBook
{
public:
    explicit ExposureBook(std::string incarnation);

    /// Takes the allowances of @p step of @p subject; what was used of the same step stays used.
    void update(const std::string &subject, const std::string &step, const Allowances &allowances);
    /// Nothing may be used of @p subject any more.
    void close(const std::string &subject);

    bool mayTake(const std::string &subject) const;
    /// Uses one of the allowance; false if there is none.
    bool take(const std::string &subject);
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
