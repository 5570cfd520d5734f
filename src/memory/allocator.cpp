#include "memory/allocator.h"

#include <malloc.h>

namespace ibisfork::memory {

namespace {

/// Blocks from this size on are mapped one by one. Left to itself, the allocator raises the bound with the first large
/// block that is freed, and keeps later ones in its heap.
constexpr int mappedBlockBytes = 128 * 1024;
constexpr int keptHeapBytes = 1024 * 1024;
/// Each heap keeps what its threads have freed.
constexpr int mostHeaps = 2;

} // namespace

void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
    mallopt(M_ARENA_MAX, mostHeaps);
}

} // namespace ibisfork::memory
