#include "gateway/forwardheaders.h"

#include <array>
#include <charconv>
#include <string>

#include <ibisfork/base/names.h>

namespace ibisfork::gateway {

namespace {

/// Names with this prefix concern two nodes only, also those that only a newer build knows.
constexpr std::string_view headerPrefix = "Forward-";
constexpr const char *runsLeftHeader = "Forward-Runs-Left";
constexpr const char *runsUsedHeader = "Forward-Runs-Used";
constexpr const char *countedHeader = "Forward-Counted";
constexpr const char *refusedHeader = "Forward-Refused";
constexpr const char *refusedServiceHeader = "Forward-Refused-Service";
/// Value: start time in milliseconds, space, engine id.
constexpr const char *leavingEngineHeader = "Forward-Engine-Leaving";

constexpr std::array<base::Name<RefusalScope>, 3> refusalScopeNames{{
    {RefusalScope::Request, "request"},
    {RefusalScope::Service, "service"},
    {RefusalScope::Node, "node"},
}};

bool concernsNodes(std::string_view name)
{
    return http::equalNames(name.substr(0, headerPrefix.size()), headerPrefix);
}

std::optional<unsigned> readNumber(const http::HeaderList &headers, std::string_view name)
{
    const auto text = headers.find(name);
    unsigned value = 0;
    if (!text) {
        return std::nullopt;
    }
    const auto result = std::from_chars(text->data(), text->data() + text->size(), value);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace

void addForwardState(http::HeaderList &headers, const ForwardState &state)
{
    headers.add(runsLeftHeader, std::to_string(state.runsLeft));
    headers.add(countedHeader, state.isCounted ? "1" : "0");
}

std::optional<ForwardState> readForwardState(const http::HeaderList &headers)
{
    const auto runs = readNumber(headers, runsLeftHeader);
    const auto counted = headers.find(countedHeader);
    if (!runs || *runs == 0 || !counted) {
        return std::nullopt;
    }
    return ForwardState{*runs, *counted == "1"};
}

void addRunsUsed(http::HeaderList &headers, unsigned runs)
{
    headers.add(runsUsedHeader, std::to_string(runs));
}

std::optional<unsigned> readRunsUsed(const http::HeaderList &headers)
{
    return readNumber(headers, runsUsedHeader);
}

void addForwardRefusal(http::HeaderList &headers, RefusalScope scope, const std::string &service)
{
    headers.add(refusedHeader, std::string(base::nameOf(refusalScopeNames, scope)));
    if (!service.empty()) {
        headers.add(refusedServiceHeader, service);
    }
}

std::optional<std::string> readRefusedService(const http::HeaderList &headers)
{
    const auto value = headers.find(refusedServiceHeader);
    return value ? std::optional(std::string(*value)) : std::nullopt;
}

std::optional<RefusalScope> readForwardRefusal(const http::HeaderList &headers)
{
    const auto value = headers.find(refusedHeader);
    if (!value) {
        return std::nullopt;
    }
    return base::valueOf(refusalScopeNames, *value).value_or(RefusalScope::Service);
}

void addLeavingEngine(http::HeaderList &headers, const EngineProcess &engine)
{
    headers.add(leavingEngineHeader, std::to_string(engine.startTimeMs) + ' ' + engine.id);
}

std::optional<EngineProcess> readLeavingEngine(const http::HeaderList &headers)
{
    const auto value = headers.find(leavingEngineHeader).value_or(std::string_view());
    EngineProcess engine;
    const auto result = std::from_chars(value.data(), value.data() + value.size(), engine.startTimeMs);
    const auto length = static_cast<std::size_t>(result.ptr - value.data());
    if (result.ec != std::errc() || length + 1 >= value.size() || value[length] != ' ') {
        return std::nullopt;
    }
    engine.id = value.substr(length + 1);
    return engine;
}

http::HeaderList withoutForwardHeaders(const http::HeaderList &headers)
{
    http::HeaderList out;
    for (const auto &header : headers) {
        if (!concernsNodes(header.name)) {
            out.add(header.name, header.value);
        }
    }
    return out;
}

} // namespace ibisfork::gateway
