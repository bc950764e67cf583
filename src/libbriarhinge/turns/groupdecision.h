#pragma once

#include "turns/storegroup.h"

#include <optional>
#include <set>
#include <vector>

namespace briarhinge::turns
{

/** What a turn store knows when it looks whether the group has to change. */
struct GroupView
{
    /** The latest group; of epoch zero when there is none yet. */
    StoreGroup group;
    StoreMember self;
    /** Every turn store that has registered, this one included. */
    std::vector<StoreMember> registered;
    /** Members that have not answered this store for the suspicion time. */
    std::set<StoreName> unreachable;
    /** Turn stores that operators want to take away. */
    std::set<StoreName> retiring;
    /** Whether all that start with this store have had the time to register. */
    bool mayFound = false;
    /** Whether a retiring member has waited long enough for a spare store to take its place. */
    bool mayShrink = false;
};

/**
 * Decides whether this store changes the group. Replacements are one at a time: a store with an empty disk takes its own
 * place again, a spare one that of a member which is unreachable or retires.
 *
 * @param view what this store knows
 * @param rule how many losses the group bears
 * @return the group to propose, of the next epoch, or nothing
 */
std::optional<StoreGroup> proposeGroup(const GroupView &view, const QuorumRule &rule);

/** @param group a group that changes @return the group once the change is done */
StoreGroup completedGroup(const StoreGroup &group);

/** @param members a set @param disk a store's stay on its disk @return whether it belongs to the set */
bool containsDisk(const std::vector<StoreMember> &members, const DiskId &disk);

}
