#pragma once

#include <cstddef>

namespace briarhinge::base
{

/** What the machine of a process allows it to use. */
struct MachineLimits
{
    /** Memory in bytes; 0 if it is not known. */
    std::size_t memoryBytes = 0;
    /** Open descriptors; 0 if their number is not known. */
    std::size_t descriptors = 0;

    /** @return the limit for the buffers of the process, in bytes; the rest is for its own state and the allocator */
    std::size_t bufferBytes() const;

    /** @return maximum number of callers' connections; each request may need a connection to a runner as well */
    std::size_t callerConnections() const;
};

/**
 * Replaces unknown limits by those that the operating system states.
 *
 * @param configured the limits in the settings
 * @return limits without unknown ones
 */
MachineLimits machineLimits(MachineLimits configured);

/**
 * Makes the allocator give large buffers back to the operating system as soon as they are freed. Must be called before
 * any other thread is started.
 */
void returnFreedMemory();

}
