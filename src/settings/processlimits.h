#pragma once

#include <cstddef>
#include <optional>

namespace ibisfork::settings {

/// What the deployment lets one process use; nothing where it sets no limit.
struct ProcessLimits
{
    /// Resident memory, in bytes, beyond which the process is killed.
    std::optional<std::size_t> memory;
    /// Open descriptors, those of files among them.
    std::optional<std::size_t> descriptors;
};

/// The limits of the variables IBISFORK_MEMORY_MB and IBISFORK_DESCRIPTORS; one that is no number sets none.
ProcessLimits processLimitsFromEnvironment();

/// @p limits, completed by @p others.
ProcessLimits completedBy(const ProcessLimits &limits, const ProcessLimits &others);

} // namespace ibisfork::settings
