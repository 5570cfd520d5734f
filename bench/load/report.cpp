#include "load/report.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::bench {

using Json = nlohmann::json;

namespace {

constexpr double chartHeight = 240.0;
constexpr double barWidth = 24.0;
constexpr double groupWidth = 110.0;
constexpr double margin = 40.0;

struct Bar
{
    const char *name;
    double share;
    const char *colour;
};

constexpr std::array<Bar, 3> bars{{
    {"p50", 0.50, "#4c78a8"},
    {"p95", 0.95, "#f58518"},
    {"p99", 0.99, "#e45756"},
}};

Json percentiles(const Samples &samples)
{
    return {{"count", samples.count()},
            {"p50_ms", samples.percentileMs(0.50)},
            {"p95_ms", samples.percentileMs(0.95)},
            {"p99_ms", samples.percentileMs(0.99)}};
}

Json phaseJson(const PhaseResult &result)
{
    return {{"phase", result.name},
            {"sent", result.sent},
            {"whole", result.whole},
            {"cut", result.cut},
            {"refused", result.refused},
            {"first_token", percentiles(result.firstToken)},
            {"between_tokens", percentiles(result.betweenTokens)},
            {"answer", percentiles(result.answer)},
            {"refusal", percentiles(result.refusal)}};
}

double highest(const std::vector<PhaseResult> &results)
{
    double most = 1.0;
    for (const auto &result : results) {
        most = std::max(most, result.firstToken.percentileMs(bars.back().share));
    }
    return most;
}

std::string groupSvg(const PhaseResult &result, double left, double scale)
{
    std::string svg;
    double x = left;
    for (const auto &bar : bars) {
        const double value = result.firstToken.percentileMs(bar.share);
        const double height = value * scale;
        svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" fill=\"{}\"/>"
                           "<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"9\">{:.1f}</text>\n",
                           x,
                           margin + chartHeight - height,
                           barWidth,
                           height,
                           bar.colour,
                           x,
                           margin + chartHeight - height - 3,
                           value);
        x += barWidth + 2;
    }
    return svg
        + fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"11\">{}</text>\n",
                      left,
                      margin + chartHeight + 16,
                      result.name);
}

} // namespace

std::string reportJson(const std::vector<PhaseResult> &results)
{
    Json phases = Json::array();
    for (const auto &result : results) {
        phases.push_back(phaseJson(result));
    }
    return Json{{"phases", phases}}.dump(2) + "\n";
}

std::string reportSvg(const std::vector<PhaseResult> &results)
{
    const double scale = chartHeight / highest(results);
    const double width = 2 * margin + groupWidth * static_cast<double>(results.size());
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                                  "font-family=\"sans-serif\">\n<text x=\"{}\" y=\"20\" font-size=\"13\">"
                                  "Time to the first token in ms: p50, p95, p99</text>\n",
                                  width,
                                  chartHeight + 2 * margin,
                                  margin);
    double left = margin;
    for (const auto &result : results) {
        svg += groupSvg(result, left, scale);
        left += groupWidth;
    }
    return svg + "</svg>\n";
}

} // namespace ibisfork::bench
