#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Runs that take a comparable time: those of one route, run by one model.
struct RunKind
{
    std::string route;
    /// Model that ran the request if the node chose it, otherwise empty.
    std::string model{};

    auto operator<=>(const RunKind &) const = default;
};

/// Learns how long the runs of each kind usually take to their first byte.
class UsualTimes
{
public:
    /// Records a run with a prompt of @p promptTokens; 0 if the request has no prompt.
    void record(const RunKind &kind, std::uint32_t promptTokens, base::Duration firstByte);
    /// Time after which the first byte of a run is several times later than usual for a prompt of this length; nullopt
    /// while too few runs of the kind are known.
    std::optional<base::Duration> lateAfter(const RunKind &kind, std::uint32_t promptTokens) const;

private:
    /// Weighted moments of the runs of one kind, for a linear fit of seconds against prompt tokens.
    struct Fit
    {
        unsigned runs = 0;
        double seconds = 0;
        double tokens = 0;
        double tokensVariance = 0;
        double covariance = 0;

        void add(double runTokens, double runSeconds);
        /// Usual time to the first byte, in seconds.
        double usual(double runTokens) const;
    };

    std::map<RunKind, Fit> m_fits;
};

} // namespace ibisfork::gateway
