#pragma once

#include "base/ids.h"
#include "wire/address.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::state
{

/** The fixed number of partitions to which programs are hashed. */
inline constexpr std::uint32_t partitionCount = 1024;

/**
 * @param root the id of a root program
 * @return its partition
 */
base::PartitionId partitionForRoot(const base::ProgramId &root);

/** One incarnation of an entry. */
struct EntryInfo
{
    base::ProcessId incarnation;
    /** Name of the VM that it runs on. */
    std::string name;
    /** Address at which it accepts connections from other processes. */
    wire::Address address;
    /** Whether it is shutting down and must not be assigned further partitions. */
    bool leaving = false;

    bool operator==(const EntryInfo &) const = default;
};

/** Ownership of one partition. */
struct PartitionOwner
{
    base::ProcessId owner;
    /** Logs that the owner must replay before it serves the partition, oldest first. */
    std::vector<base::ProcessId> pendingLogs;

    bool operator==(const PartitionOwner &) const = default;
};

/** Assignment of partitions to entries. Stored as one key-value pair, which is updated by compare-and-swap. */
struct PartitionTable
{
    /** All incarnations that the partitions refer to. */
    std::map<base::ProcessId, EntryInfo> entries;
    /** Ownership by partition id. */
    std::vector<PartitionOwner> partitions;

    bool operator==(const PartitionTable &) const = default;
};

/** A text is not a valid partition table. */
struct TableError
{
    std::string reason;
};

/**
 * @param table the table
 * @return the table as JSON text
 */
std::string encodeTable(const PartitionTable &table);

/**
 * @param text JSON text
 * @return the table, or the error if the text is invalid
 */
std::variant<PartitionTable, TableError> decodeTable(std::string_view text);

/**
 * @param entry the entry
 * @return the entry as JSON text
 */
std::string encodeEntry(const EntryInfo &entry);

/**
 * @param text JSON text
 * @return the entry, or nothing if the text is invalid
 */
std::optional<EntryInfo> decodeEntry(std::string_view text);

/**
 * Selects the owner of a partition by rendezvous hashing, so that adding or removing an entry moves only the partitions
 * of that entry.
 *
 * @param partition the partition
 * @param live the live entries
 * @return the entry that should own the partition, or nullptr if there are no entries
 */
const EntryInfo *rendezvousOwner(base::PartitionId partition, const std::vector<EntryInfo> &live);

/**
 * Creates the first table of a deployment.
 *
 * @param live the live entries; must not be empty
 * @return a table that distributes the partitions over the entries, with no logs to replay
 */
PartitionTable initialTable(const std::vector<EntryInfo> &live);

/**
 * Reassigns the partitions of a dead incarnation to the live entries. Its log must be sealed.
 *
 * @param table the table, modified in place
 * @param dead the dead incarnation
 * @param live the live entries; must not be empty
 * @return whether any partition was reassigned
 */
bool reassignPartitions(PartitionTable &table, const base::ProcessId &dead, const std::vector<EntryInfo> &live);

/**
 * Hands partitions of a live owner over to other entries.
 *
 * @param table the table, modified in place
 * @param owner the present owner; partitions that it does not own are left unchanged
 * @param targets the new owner of each partition
 * @param withState the partitions that contain programs, for which the new owner must replay the log of the old one
 */
void handOver(PartitionTable &table, const base::ProcessId &owner,
              const std::map<base::PartitionId, EntryInfo> &targets, const std::set<base::PartitionId> &withState);

/**
 * Clears the pending logs of partitions whose state an owner has copied into its own log.
 *
 * @param table the table, modified in place
 * @param owner the owner
 * @param partitions the adopted partitions, each with the logs that were replayed. A partition whose owner or pending
 *     logs have changed since is left unchanged.
 */
void clearPendingLogs(PartitionTable &table, const base::ProcessId &owner,
                      const std::map<base::PartitionId, std::vector<base::ProcessId>> &partitions);

/**
 * Removes the incarnations that no partition refers to.
 *
 * @param table the table, modified in place
 * @return the removed incarnations
 */
std::vector<base::ProcessId> removeUnusedEntries(PartitionTable &table);

/**
 * @param table the table
 * @param incarnation an incarnation
 * @return whether the owner of any partition must still replay the log of @p incarnation
 */
bool isLogPending(const PartitionTable &table, const base::ProcessId &incarnation);

/**
 * @param table the table
 * @param incarnation an incarnation
 * @return the partitions that it owns
 */
std::vector<base::PartitionId> ownedPartitions(const PartitionTable &table, const base::ProcessId &incarnation);

}
