#include "gateway/forwardheaders.h"

#include <charconv>
#include <string>

namespace ibisfork::gateway {

namespace {

constexpr const char *runsLeftHeader = "Forward-Runs-Left";
constexpr const char *countedHeader = "Forward-Counted";
constexpr const char *refusedHeader = "Forward-Refused";

} // namespace

void addForwardState(http::HeaderList &headers, const ForwardState &state)
{
    headers.add(runsLeftHeader, std::to_string(state.runsLeft));
    headers.add(countedHeader, state.isCounted ? "1" : "0");
}

std::optional<ForwardState> readForwardState(const http::HeaderList &headers)
{
    const auto runs = headers.find(runsLeftHeader);
    const auto counted = headers.find(countedHeader);
    ForwardState state;
    if (!runs || !counted) {
        return std::nullopt;
    }
    const auto result = std::from_chars(runs->data(), runs->data() + runs->size(), state.runsLeft);
    if (result.ec != std::errc() || state.runsLeft == 0) {
        return std::nullopt;
    }
    state.isCounted = *counted == "1";
    return state;
}

void addForwardRefusal(http::HeaderList &headers)
{
    headers.add(refusedHeader, "1");
}

bool isForwardRefusal(const http::HeaderList &headers)
{
    return headers.find(refusedHeader).has_value();
}

http::HeaderList withoutForwardHeaders(const http::HeaderList &headers)
{
    http::HeaderList out;
    for (const auto &header : headers) {
        const bool concernsNodes = http::equalNames(header.name, runsLeftHeader)
            || http::equalNames(header.name, countedHeader) || http::equalNames(header.name, refusedHeader);
        if (!concernsNodes) {
            out.add(header.name, header.value);
        }
    }
    return out;
}

} // namespace ibisfork::gateway
