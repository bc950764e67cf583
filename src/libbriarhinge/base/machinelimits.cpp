#include "base/machinelimits.h"

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace briarhinge::base
{

namespace
{

/** Descriptors that a process needs besides those for callers and runners: files, peers and the platform's store. */
constexpr std::size_t ownDescriptors = 200;
constexpr std::size_t minCallerConnections = 16;
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

std::size_t MachineLimits::callerConnections() const
{
    const std::size_t shared = descriptors > ownDescriptors ? descriptors - ownDescriptors : 0;
    return std::max(shared / 2, minCallerConnections);
}

MachineLimits machineLimits(MachineLimits configured)
{
    if (configured.memoryBytes == 0) {
        configured.memoryBytes =
            static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    rlimit allowed{};
    if (configured.descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &allowed) == 0) {
        configured.descriptors = allowed.rlim_cur;
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
