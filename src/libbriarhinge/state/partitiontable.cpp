#include "state/partitiontable.h"

#include "base/digest.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::state
{

namespace
{

using nlohmann::json;

json toJson(const EntryInfo &entry)
{
    return {{"incarnation", entry.incarnation.value()},
            {"name", entry.name},
            {"address", wire::toString(entry.address)},
            {"leaving", entry.leaving}};
}

EntryInfo entryFrom(const json &object)
{
    const auto text = object.at("address").get<std::string>();
    const auto address = wire::parseAddress(text);
    if (!address) {
        throw std::invalid_argument(fmt::format("entry address \"{}\" is not valid", text));
    }
    return {base::ProcessId(object.at("incarnation").get<std::string>()), object.at("name").get<std::string>(),
            *address, object.at("leaving").get<bool>()};
}

/** Returns the index of an incarnation in the encoded entry list, which has the order of the map. */
std::size_t entryIndex(const PartitionTable &table, const base::ProcessId &incarnation)
{
    return static_cast<std::size_t>(std::distance(table.entries.begin(), table.entries.find(incarnation)));
}

PartitionOwner partitionFrom(const json &indexes, const std::vector<base::ProcessId> &incarnations)
{
    PartitionOwner partition{incarnations.at(indexes.at(0).get<std::size_t>()), {}};
    for (std::size_t i = 1; i < indexes.size(); ++i) {
        partition.pendingLogs.push_back(incarnations.at(indexes.at(i).get<std::size_t>()));
    }
    return partition;
}

PartitionTable tableFrom(const json &object)
{
    PartitionTable table;
    std::vector<base::ProcessId> incarnations;
    for (const json &entry : object.at("entries")) {
        const EntryInfo info = entryFrom(entry);
        incarnations.push_back(info.incarnation);
        table.entries[info.incarnation] = info;
    }
    for (const json &indexes : object.at("partitions")) {
        table.partitions.push_back(partitionFrom(indexes, incarnations));
    }
    if (table.partitions.size() != partitionCount) {
        throw std::invalid_argument(
            fmt::format("a table must have {} partitions, has {}", partitionCount, table.partitions.size()));
    }
    return table;
}

void addPendingLog(PartitionOwner &partition, const base::ProcessId &log)
{
    if (std::find(partition.pendingLogs.begin(), partition.pendingLogs.end(), log) == partition.pendingLogs.end()) {
        partition.pendingLogs.push_back(log);
    }
}

}

base::PartitionId partitionForRoot(const base::ProgramId &root)
{
    return base::PartitionId(static_cast<std::uint32_t>(base::stableHash(root.value()) % partitionCount));
}

std::string encodeTable(const PartitionTable &table)
{
    json object{{"entries", json::array()}, {"partitions", json::array()}};
    for (const auto &[incarnation, entry] : table.entries) {
        object["entries"].push_back(toJson(entry));
    }
    for (const PartitionOwner &partition : table.partitions) {
        json indexes = json::array({entryIndex(table, partition.owner)});
        for (const base::ProcessId &log : partition.pendingLogs) {
            indexes.push_back(entryIndex(table, log));
        }
        object["partitions"].push_back(std::move(indexes));
    }
    return object.dump();
}

std::variant<PartitionTable, TableError> decodeTable(std::string_view text)
{
    try {
        return tableFrom(json::parse(text));
    } catch (const std::exception &error) {
        return TableError{error.what()};
    }
}

std::string encodeEntry(const EntryInfo &entry)
{
    return toJson(entry).dump();
}

std::optional<EntryInfo> decodeEntry(std::string_view text)
{
    try {
        return entryFrom(json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

const EntryInfo *rendezvousOwner(base::PartitionId partition, const std::vector<EntryInfo> &live)
{
    const std::string suffix = "/" + std::to_string(partition.value());
    const auto owner = std::max_element(live.begin(), live.end(), [&](const auto &left, const auto &right) {
        return base::stableHash(left.name + suffix) < base::stableHash(right.name + suffix);
    });
    return owner == live.end() ? nullptr : &*owner;
}

PartitionTable initialTable(const std::vector<EntryInfo> &live)
{
    PartitionTable table;
    for (std::uint32_t i = 0; i < partitionCount; ++i) {
        const EntryInfo &owner = *rendezvousOwner(base::PartitionId(i), live);
        table.entries[owner.incarnation] = owner;
        table.partitions.push_back({owner.incarnation, {}});
    }
    return table;
}

bool reassignPartitions(PartitionTable &table, const base::ProcessId &dead, const std::vector<EntryInfo> &live)
{
    bool isChanged = false;
    for (std::uint32_t i = 0; i < partitionCount; ++i) {
        PartitionOwner &partition = table.partitions[i];
        if (partition.owner != dead) {
            continue;
        }
        const EntryInfo &owner = *rendezvousOwner(base::PartitionId(i), live);
        table.entries[owner.incarnation] = owner;
        addPendingLog(partition, dead);
        partition.owner = owner.incarnation;
        isChanged = true;
    }
    return isChanged;
}

void handOver(PartitionTable &table, const base::ProcessId &owner,
              const std::map<base::PartitionId, EntryInfo> &targets, const std::set<base::PartitionId> &withState)
{
    for (const auto &[id, target] : targets) {
        PartitionOwner &partition = table.partitions.at(id.value());
        if (partition.owner != owner) {
            continue;
        }
        if (withState.contains(id)) {
            addPendingLog(partition, owner);
        }
        table.entries[target.incarnation] = target;
        partition.owner = target.incarnation;
    }
}

void clearPendingLogs(PartitionTable &table, const base::ProcessId &owner,
                      const std::map<base::PartitionId, std::vector<base::ProcessId>> &partitions)
{
    for (const auto &[id, replayedLogs] : partitions) {
        PartitionOwner &partition = table.partitions.at(id.value());
        if (partition.owner == owner && partition.pendingLogs == replayedLogs) {
            partition.pendingLogs.clear();
        }
    }
}

std::vector<base::ProcessId> removeUnusedEntries(PartitionTable &table)
{
    std::set<base::ProcessId> used;
    for (const PartitionOwner &partition : table.partitions) {
        used.insert(partition.owner);
        used.insert(partition.pendingLogs.begin(), partition.pendingLogs.end());
    }
    std::vector<base::ProcessId> dropped;
    std::erase_if(table.entries, [&](const auto &entry) {
        const bool isUnused = !used.contains(entry.first);
        if (isUnused) {
            dropped.push_back(entry.first);
        }
        return isUnused;
    });
    return dropped;
}

bool isLogPending(const PartitionTable &table, const base::ProcessId &incarnation)
{
    return std::any_of(table.partitions.begin(), table.partitions.end(), [&](const PartitionOwner &partition) {
        return std::find(partition.pendingLogs.begin(), partition.pendingLogs.end(), incarnation)
            != partition.pendingLogs.end();
    });
}

std::vector<base::PartitionId> ownedPartitions(const PartitionTable &table, const base::ProcessId &incarnation)
{
    std::vector<base::PartitionId> owned;
    for (std::uint32_t i = 0; i < table.partitions.size(); ++i) {
        if (table.partitions[i].owner == incarnation) {
            owned.emplace_back(i);
        }
    }
    return owned;
}

}
