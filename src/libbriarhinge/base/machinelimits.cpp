#include "base/machinelimits.h"

#include <malloc.h>
#include <unistd.h>

namespace briarhinge::base
{

namespace
{

/** Allocations from this size on have a mapping of their own, which is unmapped when they are freed. */
constexpr int mappedBlockBytes = 128 * 1024;
/** Free memory at the end of the heap from which it is given back; less would be requested again at once. */
constexpr int trimThresholdBytes = 4 * 1024 * 1024;
/** Heaps that threads share; each keeps freed memory of its own. */
constexpr int maxArenas = 2;

}

std::size_t MachineLimits::bufferBytes() const
{
    return memoryBytes / 2;
}

MachineLimits machineLimits(MachineLimits configured)
{
    if (configured.memoryBytes == 0) {
        configured.memoryBytes =
            static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    return configured;
}

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    ::mallopt(M_ARENA_MAX, maxArenas);
}

}
