#pragma once

#include "turns/storegroup.h"

#include <optional>
#include <set>
#include <vector>

namespace briarhinge::turns
{

/** Input of a turn store's decision whether to change the group. */
struct GroupView
{
    /** The latest known group; its epoch is zero if no group exists yet. */
    StoreGroup group;
    StoreMember self;
    /** All registered turn stores, including this one. */
    std::vector<StoreMember> registered;
    /** Members that have not responded to this store within the suspicion timeout. */
    std::set<StoreName> unreachable;
    /** Turn stores that operators want to remove. */
    std::set<StoreName> retiring;
    /** Whether the stores started along with this one have had enough time to register. */
    bool canBootstrap = false;
    /** Whether this store is retiring and has waited long enough for a spare store to replace it. */
    bool canShrink = false;
};

/**
 * Decides whether this store should change the group. Members are replaced one at a time: a store with an empty disk
 * replaces its own former entry, and a spare store replaces a member that is unreachable or retiring.
 *
 * @param view state known to this store
 * @param rule quorum sizes
 * @return the group to propose, with the next epoch, or nothing if no change is due
 */
std::optional<StoreGroup> proposeGroup(const GroupView &view, const QuorumRule &rule);

/** @return the successor of @p group, with its next set as the current one */
StoreGroup completedGroup(const StoreGroup &group);

/** @return whether one of @p members has the disk incarnation @p disk */
bool containsDisk(const std::vector<StoreMember> &members, const DiskId &disk);

}
