#pragma once

#include <cstddef>

#include <sys/types.h>

namespace ibisfork::soak {

/// What a node may use; 0 for no limit.
struct NodeLimits
{
    std::size_t memoryMb = 0;
    std::size_t descriptors = 0;
};

/// Tells nodes that start from now on of @p limits.
void announce(const NodeLimits &limits);
/// The process gets no more than @p descriptors.
void limitDescriptors(pid_t process, std::size_t descriptors);
/// Resident memory of @p process, 0 if there is no such process.
std::size_t residentMb(pid_t process);
/// How often @p process has given up the processor by itself, 0 if there is no such process.
std::size_t waitsOf(pid_t process);

} // namespace ibisfork::soak
