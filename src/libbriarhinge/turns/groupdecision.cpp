#include "turns/groupdecision.h"

#include <algorithm>
#include <iterator>

namespace briarhinge::turns
{

namespace
{

using Members = std::vector<StoreMember>;

const StoreMember *findMember(const Members &members, const StoreName &name)
{
    const auto found = std::find_if(members.begin(), members.end(), [&name](const StoreMember &member) {
        return member.name == name;
    });
    return found == members.end() ? nullptr : &*found;
}

/** @return the member with the lowest name, null if there is none */
const StoreMember *firstByName(const Members &members)
{
    const auto first = std::min_element(members.begin(), members.end(), [](const auto &left, const auto &right) {
        return left.name < right.name;
    });
    return first == members.end() ? nullptr : &*first;
}

Members replaceMember(Members members, const StoreName &name, const StoreMember &replacement)
{
    std::replace_if(
        members.begin(), members.end(),
        [&name](const StoreMember &member) {
            return member.name == name;
        },
        replacement);
    return members;
}

Members withoutDisk(Members members, const DiskId &disk)
{
    std::erase_if(members, [&disk](const StoreMember &member) {
        return member.disk == disk;
    });
    return members;
}

/** @return the members of @p members whose disks are not among those of @p others */
Members membersNotIn(const Members &members, const Members &others)
{
    Members result;
    std::copy_if(members.begin(), members.end(), std::back_inserter(result), [&others](const StoreMember &member) {
        return !containsDisk(others, member.disk);
    });
    return result;
}

bool isEachIn(const Members &members, const std::set<DiskId> &disks)
{
    return std::all_of(members.begin(), members.end(), [&disks](const StoreMember &member) {
        return disks.contains(member.disk);
    });
}

bool isAnyIn(const Members &members, const std::set<DiskId> &disks)
{
    return std::any_of(members.begin(), members.end(), [&disks](const StoreMember &member) {
        return disks.contains(member.disk);
    });
}

/** @return whether this store reaches enough of the current set to copy its state */
bool reachesReadQuorum(const GroupView &view, const QuorumRule &rule)
{
    return hasReadQuorum(rule, view.group, RespondingDisks(view.responding.begin(), view.responding.end()));
}

/** Selects stores round-robin over the zones, in the order of their names. */
Members selectAcrossZones(Members candidates, std::size_t count)
{
    std::sort(candidates.begin(), candidates.end(), [](const StoreMember &left, const StoreMember &right) {
        return left.name < right.name;
    });
    Members chosen;
    while (chosen.size() < count && !candidates.empty()) {
        std::set<base::ZoneName> zones;
        Members left;
        for (const StoreMember &candidate : candidates) {
            if (chosen.size() < count && zones.insert(candidate.zone).second) {
                chosen.push_back(candidate);
            } else {
                left.push_back(candidate);
            }
        }
        candidates = std::move(left);
    }
    return chosen;
}

std::optional<StoreGroup> bootstrapGroup(const GroupView &view, const QuorumRule &rule)
{
    Members candidates;
    for (const StoreMember &store : view.registered) {
        if (!view.retiring.contains(store.name)) {
            candidates.push_back(store);
        }
    }
    const StoreMember *first = firstByName(candidates);
    // A smaller group could keep nothing; this store waits for more stores to register.
    const bool canKeepTurns = candidates.size() >= rule.copies();
    if (!view.canBootstrap || !canKeepTurns || first->name != view.self.name) {
        return std::nullopt;
    }
    return StoreGroup{GroupEpoch(1), selectAcrossZones(candidates, rule.groupSize()), {}};
}

/** Finds the member that a spare store should replace: an unreachable one first, then a retiring one. */
const StoreMember *memberToReplace(const GroupView &view)
{
    const StoreMember *retiring = nullptr;
    for (const StoreMember &member : view.group.current) {
        if (view.unreachable.contains(member.disk)) {
            return &member;
        }
        if (view.retiring.contains(member.name)) {
            retiring = &member;
        }
    }
    return retiring;
}

/** Next set proposed by a store outside of the group while no change is in progress. */
std::optional<Members> proposeJoin(const GroupView &view, const QuorumRule &rule)
{
    const Members &current = view.group.current;
    const bool isEachMemberKnown = std::all_of(current.begin(), current.end(), [&view](const StoreMember &member) {
        return view.responding.contains(member.disk) || view.unreachable.contains(member.disk);
    });
    // To grow the group beside a dead member would leave that member in it for good.
    if (!isEachMemberKnown || !reachesReadQuorum(view, rule)) {
        return std::nullopt;
    }
    if (const StoreMember *member = memberToReplace(view)) {
        return replaceMember(current, member->name, view.self);
    }
    if (current.size() < rule.groupSize()) {
        Members grown = current;
        grown.push_back(view.self);
        return grown;
    }
    return std::nullopt;
}

/** Next set proposed by a member of a stable group: without itself if it retires, or without the lost members. */
std::optional<Members> proposeShrink(const GroupView &view, const QuorumRule &rule)
{
    const Members &current = view.group.current;
    if (view.canShrink && retirementObstacle(view, rule) == RetirementObstacle::None) {
        return withoutDisk(current, view.self.disk);
    }
    Members left = current;
    std::erase_if(left, [&view](const StoreMember &member) {
        return view.lost.contains(member.disk);
    });
    const bool canShrink = left.size() < current.size() && left.size() >= rule.copies();
    return canShrink && isEachIn(left, view.responding) ? std::optional(std::move(left)) : std::nullopt;
}

std::optional<Members> proposeWhileStable(const GroupView &view, const QuorumRule &rule)
{
    const Members &current = view.group.current;
    const StoreMember *own = findMember(current, view.self.name);
    if (own == nullptr) {
        return view.retiring.contains(view.self.name) ? std::nullopt : proposeJoin(view, rule);
    }
    if (own->disk != view.self.disk) {
        return replaceMember(current, view.self.name, view.self);
    }
    return proposeShrink(view, rule);
}

/** Next set, which is empty to abandon the change, proposed while a store joins. */
std::optional<Members> proposeWhileJoining(const GroupView &view, const QuorumRule &rule, const Members &joining)
{
    const StoreMember *own = findMember(joining, view.self.name);
    if (own != nullptr) {
        return own->disk == view.self.disk ? std::nullopt
                                           : std::optional(replaceMember(view.group.next, own->name, view.self));
    }
    if (!containsDisk(view.group.current, view.self.disk)) {
        return isAnyIn(joining, view.unreachable) ? proposeWhileStable(view, rule) : std::nullopt;
    }
    return isAnyIn(joining, view.lost) && reachesReadQuorum(view, rule) ? std::optional(Members()) : std::nullopt;
}

/** Next set, which is empty to abandon the change, proposed while a store leaves without a successor. */
std::optional<Members> proposeWhileLeaving(const GroupView &view, const QuorumRule &rule)
{
    const Members &next = view.group.next;
    const StoreMember *own = findMember(next, view.self.name);
    if (own != nullptr && own->disk != view.self.disk) {
        return replaceMember(view.group.current, own->name, view.self);
    }
    if (!isAnyIn(next, view.unreachable)) {
        return std::nullopt;
    }
    if (!containsDisk(view.group.current, view.self.disk)) {
        return proposeWhileStable(view, rule);
    }
    // The next set needs all its members, so it can't do without one that is gone.
    return reachesReadQuorum(view, rule) ? std::optional(Members()) : std::nullopt;
}

std::optional<Members> proposeWhileChanging(const GroupView &view, const QuorumRule &rule)
{
    const Members joining = membersNotIn(view.group.next, view.group.current);
    return joining.empty() ? proposeWhileLeaving(view, rule) : proposeWhileJoining(view, rule, joining);
}

}

std::optional<StoreGroup> proposeGroup(const GroupView &view, const QuorumRule &rule)
{
    if (view.group.epoch.value() == 0) {
        return bootstrapGroup(view, rule);
    }
    const auto next = view.group.next.empty() ? proposeWhileStable(view, rule) : proposeWhileChanging(view, rule);
    if (!next) {
        return std::nullopt;
    }
    return StoreGroup{GroupEpoch(view.group.epoch.value() + 1), view.group.current, *next};
}

CopyTask copyTask(const GroupView &view)
{
    const Members &current = view.group.current;
    const Members &next = view.group.next;
    if (next.empty()) {
        return CopyTask::None;
    }
    const bool isInCurrent = containsDisk(current, view.self.disk);
    const bool isInNext = containsDisk(next, view.self.disk);
    if (isInNext && !isInCurrent) {
        return CopyTask::Fetch;
    }
    if (!isInCurrent || !membersNotIn(next, current).empty()) {
        return CopyTask::None;
    }
    const Members leaving = membersNotIn(current, next);
    // One of several leaving stores may lack what another one has.
    const bool isOnlyOneLeaving = leaving.size() == 1;
    if (!isInNext) {
        return isOnlyOneLeaving ? CopyTask::Push : CopyTask::None;
    }
    const bool isLeaverGone = !isOnlyOneLeaving || isEachIn(leaving, view.unreachable);
    return firstByName(next)->disk == view.self.disk && isLeaverGone ? CopyTask::Spread : CopyTask::None;
}

RetirementObstacle retirementObstacle(const GroupView &view, const QuorumRule &rule)
{
    const Members left = withoutDisk(view.group.current, view.self.disk);
    if (left.size() < rule.copies()) {
        return RetirementObstacle::TooFewStores;
    }
    return isEachIn(left, view.responding) ? RetirementObstacle::None : RetirementObstacle::MemberUnreachable;
}

StoreGroup completedGroup(const StoreGroup &group)
{
    return {GroupEpoch(group.epoch.value() + 1), group.next, {}};
}

bool containsDisk(const std::vector<StoreMember> &members, const DiskId &disk)
{
    return std::any_of(members.begin(), members.end(), [&disk](const StoreMember &member) {
        return member.disk == disk;
    });
}

}
