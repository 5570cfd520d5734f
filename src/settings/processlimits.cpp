#include "settings/processlimits.h"

#include <charconv>
#include <cstdlib>
#include <string_view>

#include "settings/units.h"

namespace ibisfork::settings {

namespace {

std::optional<std::size_t> readLimit(const char *variable, std::size_t unit)
{
    const char *value = std::getenv(variable);
    const std::string_view text(value == nullptr ? "" : value);
    std::size_t count = 0;
    const auto result = std::from_chars(text.begin(), text.end(), count);
    const bool isNumber = result.ec == std::errc() && result.ptr == text.end();
    return isNumber && count > 0 ? std::optional(count * unit) : std::nullopt;
}

} // namespace

ProcessLimits processLimitsFromEnvironment()
{
    return {readLimit("IBISFORK_MEMORY_MB", bytesPerMegabyte), readLimit("IBISFORK_DESCRIPTORS", 1)};
}

ProcessLimits completedBy(const ProcessLimits &limits, const ProcessLimits &others)
{
    return {limits.memory ? limits.memory : others.memory,
            limits.descriptors ? limits.descriptors : others.descriptors};
}

} // namespace ibisfork::settings
