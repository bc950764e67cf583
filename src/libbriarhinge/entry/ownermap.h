#pragma once

#include "base/ids.h"
#include "platform/vmlist.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::entry
{

/** The fixed number of groups that programs hash to. */
inline constexpr std::uint32_t partitionCount = 1024;

/** @param root a root program @return its partition */
base::PartitionId partitionOf(const base::ProgramId &root);

/**
 * Names the owner of a partition by rendezvous hashing: a change of the entries moves only the partitions of those
 * that came or went.
 *
 * @param partition the partition
 * @param entries the names of the live entries
 * @return the name of its owner; nothing when there are no entries
 */
std::optional<std::string> rendezvousOwner(base::PartitionId partition, const std::vector<std::string> &entries);

/** Knows the live entries, and with them the owner of each program. */
class OwnerMap
{
public:
    /** Takes in the VM list. @param vms every VM; those that are no entries are passed over */
    void update(const std::vector<platform::Vm> &vms);

    /** @param root a root program @return the VM of its owner; nothing when there is none */
    std::optional<platform::Vm> ownerOf(const base::ProgramId &root) const;

private:
    mutable std::mutex m_mutex;
    std::vector<platform::Vm> m_entries;
};

}
