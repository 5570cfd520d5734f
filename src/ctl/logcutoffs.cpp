#include "ctl/logcutoffs.h"

#include <algorithm>
#include <iostream>
#include <tuple>

#include <fmt/format.h>

#include "ctl/logfields.h"

namespace ibisfork::ctl {

namespace {

using std::chrono::milliseconds;

/// A node finds a cut out by requests that fail, so callers are hit for about so long before its line.
constexpr milliseconds timeToFindOut{1500};
/// A line counts the requests that ended in the second before it.
constexpr milliseconds countedBefore{1000};

struct Results
{
    std::string node;
    std::string service;
    milliseconds at{0};
    ServedShare share;
};

std::uint64_t numberOf(const std::string &line, const std::string &key)
{
    const auto text = logField(line, key);
    return text.empty() ? 0 : std::stoull(text);
}

milliseconds timeOf(const std::string &line)
{
    // The time stands first, so there may be nothing before it.
    return milliseconds(numberOf(" " + line, "time"));
}

Results resultsOf(const std::string &line)
{
    const auto served = numberOf(line, "served");
    const auto missed = numberOf(line, "refused") + numberOf(line, "failed");
    return {logField(line, "node"), logField(line, "service"), timeOf(line), {served, served + missed}};
}

/// Joins the spans of one service that overlap, in order of time.
std::vector<CutOffSpan> joined(std::vector<CutOffSpan> spans)
{
    std::sort(spans.begin(), spans.end(), [](const CutOffSpan &left, const CutOffSpan &right) {
        return std::tie(left.service, left.from) < std::tie(right.service, right.from);
    });
    std::vector<CutOffSpan> out;
    for (const auto &span : spans) {
        if (out.empty() || out.back().service != span.service || span.from > out.back().until) {
            out.push_back(span);
            continue;
        }
        out.back().until = std::max(out.back().until, span.until);
        out.back().nodes.insert(span.nodes.begin(), span.nodes.end());
    }
    return out;
}

void add(const Results &results, CutOffSpan &span)
{
    const auto begun = results.at - countedBefore;
    if (results.service != span.service || begun < span.from || results.at > span.until) {
        return;
    }
    auto &share = span.nodes.contains(results.node) ? span.atCutOffNodes : span.atOthers;
    share.served += results.share.served;
    share.asked += results.share.asked;
}

} // namespace

std::vector<CutOffSpan> cutOffSpans(std::istream &log)
{
    std::vector<CutOffSpan> spans;
    std::vector<Results> results;
    milliseconds last{0};
    for (std::string line; std::getline(log, line);) {
        const auto event = logField(line, "event");
        const auto node = logField(line, "node");
        const auto service = logField(line, "service");
        last = std::max(last, timeOf(line));
        if (event == "caller_results") {
            results.push_back(resultsOf(line));
        } else if (event == "cut_off") {
            spans.push_back({service, timeOf(line) - timeToFindOut, milliseconds::max(), {node}, {}, {}});
        } else if (event == "cut_off_ended") {
            const auto open = std::find_if(spans.rbegin(), spans.rend(), [&](const CutOffSpan &span) {
                return span.service == service && span.nodes.contains(node);
            });
            if (open != spans.rend()) {
                open->until = timeOf(line);
            }
        }
    }
    for (auto &span : spans) {
        span.until = std::min(span.until, last);
    }
    spans = joined(std::move(spans));
    for (auto &span : spans) {
        for (const auto &item : results) {
            add(item, span);
        }
    }
    return spans;
}

int logCutOffs(const Invocation &invocation)
{
    auto file = openLog(invocation);
    for (const auto &span : cutOffSpans(file)) {
        std::cout << fmt::format(
            "service={} from_ms={} for_ms={} nodes={} served={}/{} share={:.2f} served_at_others={}/{} share={:.2f}\n",
            span.service,
            span.from.count(),
            (span.until - span.from).count(),
            span.nodes.size(),
            span.atCutOffNodes.served,
            span.atCutOffNodes.asked,
            span.atCutOffNodes.share(),
            span.atOthers.served,
            span.atOthers.asked,
            span.atOthers.share());
    }
    return exitcode::ok;
}

} // namespace ibisfork::ctl
