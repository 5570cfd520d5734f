#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

namespace ibisfork::load {

/// No engine holds more requests.
inline constexpr std::uint32_t mostRequests = 1'000'000;

/// What a process of an engine has said of its load in an answer.
struct Report
{
    std::string engine;
    /// Unix time of the process's start in milliseconds; 0 if unknown.
    std::int64_t startTimeMs = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on its machine, as a multiple of the usual time, if it says so.
    std::optional<double> slowdown{};
    /// When the answer came, by this node's clock.
    base::TimePoint saidAt{};
};

/// Keeps the newest report of each engine, whoever it was said to. What comes twice, late or by two ways changes
/// nothing.
class ReportBoard
{
public:
    /// Reports older than this are of no use; none is kept or passed on.
    static constexpr std::chrono::milliseconds lifetime{2500};
    /// A report replaces one of the same engine only if it is newer by this, since ages that were passed on differ.
    static constexpr std::chrono::milliseconds leastDifference{10};

    /// Takes over @p report; false if one as new is known, or if it is too old.
    bool put(const Report &report, base::TimePoint now);
    /// Forgets what is too old.
    void dropOld(base::TimePoint now);

    /// Rises with each report that is taken over.
    std::uint64_t version() const { return m_version; }
    /// The newest @p most of the reports that were taken over after @p version.
    std::vector<Report> changesAfter(std::uint64_t version, std::size_t most) const;

private:
    struct Entry
    {
        Report report;
        std::uint64_t version = 0;
    };

    std::map<std::string, Entry> m_entries;
    std::uint64_t m_version = 0;
};

} // namespace ibisfork::load
