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
    /** Disks, including this store's, that have responded within the suspicion timeout. */
    std::set<DiskId> responding;
    /** Disks of members that have not responded for longer than the suspicion timeout. */
    std::set<DiskId> unreachable;
    /** Disks of members that have not responded for so long that the group should do without them. */
    std::set<DiskId> lost;
    /** Turn stores that operators want to remove. */
    std::set<StoreName> retiring;
    /** Whether the stores started along with this one have had enough time to register. */
    bool canBootstrap = false;
    /** Whether this store is retiring and has waited long enough for a spare store to replace it. */
    bool canShrink = false;
};

/** What a store has to copy before a change of the group can be completed. */
enum class CopyTask {
    None,
    /** A joining store fetches the state of the current set. */
    Fetch,
    /** A leaving store pushes its state to the next set. */
    Push,
    /** A remaining store fetches the state of the current set and pushes it to the next one, as the leaving store is gone. */
    Spread,
};

/** Why a retiring store stays in the group. */
enum class RetirementObstacle {
    None,
    /** Without this store, a turn could not be kept on as many disks as the tolerated losses require. */
    TooFewStores,
    /** A member that would remain does not respond. */
    MemberUnreachable,
};

/**
 * Decides whether this store should change the group. A store with an empty disk replaces its own former entry, a spare
 * store replaces a member that is unreachable or retiring, and members remove one that retires or is lost as long as
 * enough others are left. A change that can't be completed is replaced by another one or abandoned.
 *
 * @param view state known to this store
 * @param rule quorum sizes
 * @return the group to propose, with the next epoch, or nothing if no change is due
 */
std::optional<StoreGroup> proposeGroup(const GroupView &view, const QuorumRule &rule);

/**
 * @param view state known to this store
 * @return what this store has to copy for the change in progress
 */
CopyTask copyTask(const GroupView &view);

/**
 * @param view state known to this store, a member of the group
 * @param rule quorum sizes
 * @return what keeps this store from leaving the group without a successor
 */
RetirementObstacle retirementObstacle(const GroupView &view, const QuorumRule &rule);

/** @return the successor of @p group, with its next set as the current one */
StoreGroup completedGroup(const StoreGroup &group);

/** @return whether one of @p members has the disk incarnation @p disk */
bool containsDisk(const std::vector<StoreMember> &members, const DiskId &disk);

}
