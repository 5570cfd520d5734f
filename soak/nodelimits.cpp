#include "nodelimits.h"

#include <cstdlib>
#include <fstream>
#include <string>

#include <sys/resource.h>

#include <fmt/format.h>

namespace ibisfork::soak {

namespace {

/// A number of the kernel's status file, 0 if there is no such process.
std::size_t statusField(pid_t process, std::string_view field)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size()));
        }
    }
    return 0;
}

} // namespace

void announce(const NodeLimits &limits)
{
    // By environment, since builds from before the limits don't know them in their settings.
    if (limits.memoryMb > 0) {
        setenv("IBISFORK_MEMORY_MB", std::to_string(limits.memoryMb).c_str(), 1);
    }
    if (limits.descriptors > 0) {
        setenv("IBISFORK_DESCRIPTORS", std::to_string(limits.descriptors).c_str(), 1);
    }
}

void limitDescriptors(pid_t process, std::size_t descriptors)
{
    const rlimit limit{descriptors, descriptors};
    if (descriptors > 0) {
        prlimit(process, RLIMIT_NOFILE, &limit, nullptr);
    }
}

std::size_t residentMb(pid_t process)
{
    constexpr std::size_t kilobytesPerMegabyte = 1024;
    return statusField(process, "VmRSS:") / kilobytesPerMegabyte;
}

std::size_t waitsOf(pid_t process)
{
    return statusField(process, "voluntary_ctxt_switches:");
}

} // namespace ibisfork::soak
