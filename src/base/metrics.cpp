#include <ibisfork/base/metrics.h>

#include <algorithm>

#include <fmt/format.h>

namespace ibisfork::base {

namespace {

const std::vector<double>
    latencyBounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};

std::string renderLabels(const MetricsRegistry::Labels &labels)
{
    std::string out;
    for (const auto &[key, value] : labels) {
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", key, value);
    }
    return out;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

template<typename Metric, typename... Arguments>
Metric &findOrCreate(std::map<std::string, std::unique_ptr<Metric>> &family,
                     const MetricsRegistry::Labels &labels,
                     Arguments &&...arguments)
{
    auto &slot = family[renderLabels(labels)];
    if (!slot) {
        slot = std::make_unique<Metric>(std::forward<Arguments>(arguments)...);
    }
    return *slot;
}

template<typename Families>
void renderValues(std::string &out, const Families &families, const char *type)
{
    for (const auto &[name, family] : families) {
        out += fmt::format("# TYPE {} {}\n", name, type);
        for (const auto &[labels, metric] : family) {
            out += fmt::format("{}{} {}\n", name, braced(labels), metric->value());
        }
    }
}

} // namespace

Histogram::Histogram(std::vector<double> bounds)
    : m_bounds(std::move(bounds))
    , m_counts(m_bounds.size())
{ }

void Histogram::observe(double seconds)
{
    const auto bound = std::lower_bound(m_bounds.begin(), m_bounds.end(), seconds);
    if (bound != m_bounds.end()) {
        m_counts[static_cast<std::size_t>(bound - m_bounds.begin())].fetch_add(1, std::memory_order_relaxed);
    }
    m_total.fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(seconds, std::memory_order_relaxed);
}

std::string Histogram::render(const std::string &name, const std::string &labels) const
{
    std::string out;
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulated = 0;
    for (std::size_t i = 0; i < m_bounds.size(); ++i) {
        cumulated += m_counts[i].load(std::memory_order_relaxed);
        out += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, separator, m_bounds[i], cumulated);
    }
    const auto total = m_total.load(std::memory_order_relaxed);
    out += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, total);
    out += fmt::format("{}_sum{} {}\n", name, braced(labels), m_sum.load(std::memory_order_relaxed));
    out += fmt::format("{}_count{} {}\n", name, braced(labels), total);
    return out;
}

Counter &MetricsRegistry::counter(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_counters[name], labels);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_gauges[name], labels);
}

Histogram &MetricsRegistry::histogram(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrCreate(m_histograms[name], labels, latencyBounds);
}

std::string MetricsRegistry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    renderValues(out, m_counters, "counter");
    renderValues(out, m_gauges, "gauge");
    for (const auto &[name, family] : m_histograms) {
        out += fmt::format("# TYPE {} histogram\n", name);
        for (const auto &[labels, metric] : family) {
            out += metric->render(name, labels);
        }
    }
    return out;
}

} // namespace ibisfork::base
