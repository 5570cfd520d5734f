#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace ibisfork::base {

/// A count that only grows.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that goes up and down.
class Gauge
{
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Counts of observations, in seconds, by upper bound.
class Histogram
{
public:
    explicit Histogram(std::vector<double> bounds);
    void observe(double seconds);
    std::string render(const std::string &name, const std::string &labels) const;

private:
    std::vector<double> m_bounds;
    std::vector<std::atomic<std::uint64_t>> m_counts;
    std::atomic<std::uint64_t> m_total{0};
    std::atomic<double> m_sum{0.0};
};

/// Owns the metrics of a process. References stay valid while it lives; all calls are thread-safe.
class MetricsRegistry
{
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    Counter &counter(const std::string &name, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const Labels &labels = {});

    /// All metrics in the text exposition format.
    std::string render() const;

private:
    template<typename Metric>
    using Family = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

    mutable std::mutex m_mutex;
    Family<Counter> m_counters;
    Family<Gauge> m_gauges;
    Family<Histogram> m_histograms;
};

} // namespace ibisfork::base
