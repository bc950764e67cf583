#pragma once

#include "base/ids.h"
#include "turns/turn.h"
#include "wire/address.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace briarhinge::turns
{

/** Name of the VM that runs a turn store. */
using StoreName = base::StrongType<struct StoreNameTag, std::string>;

/** A turn store as a member of a group. */
struct StoreMember
{
    StoreName name;
    base::ZoneName zone;
    wire::Address address;
    DiskId disk;

    bool operator==(const StoreMember &) const = default;
};

/**
 * The replica set for turns and budgets, with its successor while a membership change is in progress.
 *
 * While `next` is not empty, writes need a quorum of both sets, so that reads from either set see every write.
 */
struct StoreGroup
{
    GroupEpoch epoch;
    std::vector<StoreMember> current;
    std::vector<StoreMember> next;

    /** @return the members of both sets without duplicate names */
    std::vector<StoreMember> members() const;

    /** @return the member called @p name, if there is one */
    std::optional<StoreMember> find(const StoreName &name) const;

    bool operator==(const StoreGroup &) const = default;
};

/** @return @p group as JSON, the format used in the key-value service */
std::string toJson(const StoreGroup &group);

/**
 * @param text a group or, with epoch 0 and a single member, a registration as JSON
 * @return the group, or nothing if it is malformed, names a store or a disk twice in a set, or has no current member
 */
std::optional<StoreGroup> parseStoreGroup(std::string_view text);

/** Quorum sizes of a group, derived from the number of disk losses that it tolerates. */
struct QuorumRule
{
    /** Number of disks that may be lost at the same time. */
    std::size_t toleratedLosses = 1;

    /** @return the target number of members of a group */
    std::size_t groupSize() const
    {
        return 2 * toleratedLosses + 1;
    }

    /** @return the disks that a record must be on to survive the tolerated losses; smaller groups acknowledge nothing */
    std::size_t copies() const
    {
        return toleratedLosses + 1;
    }

    /** @return the acknowledgements that a write to a set of @p members needs; may be more than there are members */
    std::size_t writeQuorum(std::size_t members) const;

    /** @return the responses from a set of @p members that overlap with every write quorum, at least one */
    std::size_t readQuorum(std::size_t members) const;
};

/** Disks of the members that responded. A member that came back with an empty disk counts as a different one. */
using RespondingDisks = std::unordered_set<DiskId>;

/**
 * Checks whether a write is durable at a group.
 *
 * @param rule quorum sizes
 * @param group the group that was written to
 * @param disks disks that acknowledged the write
 * @return whether the disks form a write quorum of the current set and, during a change, of the next set
 */
bool hasWriteQuorum(const QuorumRule &rule, const StoreGroup &group, const RespondingDisks &disks);

/**
 * Checks whether a read is complete: a record that none of the disks has was never written.
 *
 * @param rule quorum sizes
 * @param group the group that was read from
 * @param disks disks that responded
 * @return whether the disks form a read quorum of the current set
 */
bool hasReadQuorum(const QuorumRule &rule, const StoreGroup &group, const RespondingDisks &disks);

}
