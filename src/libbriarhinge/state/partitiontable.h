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

/** The fixed number of groups that programs hash to. */
inline constexpr std::uint32_t partitionCount = 1024;

/** @param root a root program @return its partition */
base::PartitionId partitionOf(const base::ProgramId &root);

/** One incarnation of an entry. */
struct EntryInfo
{
    base::ProcessId incarnation;
    /** Name of the VM. */
    std::string name;
    /** Where it listens for other processes. */
    wire::Address address;
    /** Whether it is stopping: it gets no partitions any more. */
    bool leaving = false;

    bool operator==(const EntryInfo &) const = default;
};

/** Who owns one partition. */
struct PartitionOwner
{
    base::ProcessId owner;
    /** Logs that the owner must have read before it serves the partition, the oldest first. */
    std::vector<base::ProcessId> sources;

    bool operator==(const PartitionOwner &) const = default;
};

/** Owner of each partition; one value in the key-value service, changed by compare-and-swap. */
struct PartitionTable
{
    /** Every incarnation that is named below. */
    std::map<base::ProcessId, EntryInfo> entries;
    /** One for each partition. */
    std::vector<PartitionOwner> partitions;

    bool operator==(const PartitionTable &) const = default;
};

/** A text is no partition table. */
struct TableError
{
    std::string reason;
};

/** @param table the table @return it as JSON text */
std::string encodeTable(const PartitionTable &table);

/** @param text JSON text @return the table, or why it is none */
std::variant<PartitionTable, TableError> decodeTable(std::string_view text);

/** @param entry an entry @return it as JSON text */
std::string encodeEntry(const EntryInfo &entry);

/** @param text JSON text @return the entry; nothing when it is none */
std::optional<EntryInfo> decodeEntry(std::string_view text);

/**
 * Names the owner of a partition by rendezvous hashing: a change of the entries moves only the partitions of those
 * that came or went.
 *
 * @param partition the partition
 * @param live the live entries
 * @return the entry that should own it; nothing when there are none
 */
const EntryInfo *rendezvousOwner(base::PartitionId partition, const std::vector<EntryInfo> &live);

/** @param live the live entries @return a table in which they share the partitions, with no log to be read */
PartitionTable initialTable(const std::vector<EntryInfo> &live);

/**
 * Gives the partitions of a dead incarnation, whose log is sealed, to the live entries.
 *
 * @param table the table to change
 * @param dead the incarnation
 * @param live the live entries
 * @return whether it had any
 */
bool takeOver(PartitionTable &table, const base::ProcessId &dead, const std::vector<EntryInfo> &live);

/**
 * Gives partitions of a live owner to those that should have them.
 *
 * @param table the table to change
 * @param owner who hands over; partitions that it does not own are left alone
 * @param targets the partitions and who gets them
 * @param withState those that have programs: the new owner reads the log of the old one
 */
void handOver(PartitionTable &table, const base::ProcessId &owner,
              const std::map<base::PartitionId, EntryInfo> &targets, const std::set<base::PartitionId> &withState);

/**
 * Notes that an owner has the state of partitions in its own log.
 *
 * @param table the table to change
 * @param owner the owner
 * @param partitions what it has adopted, and the sources that it read for each
 */
void noteAdopted(PartitionTable &table, const base::ProcessId &owner,
                 const std::map<base::PartitionId, std::vector<base::ProcessId>> &partitions);

/** Drops the incarnations that no partition names. @param table the table to change @return the dropped ones */
std::vector<base::ProcessId> dropUnused(PartitionTable &table);

/** @param table the table @param incarnation an incarnation @return whether a partition waits for its log */
bool isSource(const PartitionTable &table, const base::ProcessId &incarnation);

/** @param table the table @param incarnation an incarnation @return the partitions that it owns */
std::vector<base::PartitionId> ownedBy(const PartitionTable &table, const base::ProcessId &incarnation);

}
