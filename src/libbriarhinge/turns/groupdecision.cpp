#include "turns/groupdecision.h"

#include <algorithm>

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
    const auto first = std::min_element(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.name < right.name;
    });
    if (!view.canBootstrap || first == candidates.end() || first->name != view.self.name) {
        return std::nullopt;
    }
    return StoreGroup{GroupEpoch(1), selectAcrossZones(candidates, rule.groupSize()), {}};
}

/** Finds the member that this spare store should replace: a retiring one first, then an unreachable one. */
const StoreMember *memberToReplace(const GroupView &view, const QuorumRule &rule)
{
    const Members &current = view.group.current;
    for (const StoreMember &member : current) {
        if (view.retiring.contains(member.name)) {
            return &member;
        }
    }
    const StoreMember *lost = nullptr;
    std::size_t reachable = 0;
    for (const StoreMember &member : current) {
        if (view.unreachable.contains(member.name)) {
            lost = &member;
        } else {
            ++reachable;
        }
    }
    // A store that reaches less than a write quorum is probably isolated itself.
    return reachable >= rule.writeQuorum(current.size()) ? lost : nullptr;
}

/** Next set proposed by a store outside of the group while no change is in progress. */
std::optional<Members> proposeJoin(const GroupView &view, const QuorumRule &rule)
{
    if (const StoreMember *member = memberToReplace(view, rule)) {
        return replaceMember(view.group.current, member->name, view.self);
    }
    if (view.group.current.size() < rule.groupSize()) {
        Members grown = view.group.current;
        grown.push_back(view.self);
        return grown;
    }
    return std::nullopt;
}

std::optional<Members> proposeWhileStable(const GroupView &view, const QuorumRule &rule)
{
    const Members &current = view.group.current;
    const StoreMember *own = findMember(current, view.self.name);
    const bool isRetiring = view.retiring.contains(view.self.name);
    if (own == nullptr) {
        return isRetiring ? std::nullopt : proposeJoin(view, rule);
    }
    if (own->disk != view.self.disk) {
        return replaceMember(current, view.self.name, view.self);
    }
    if (isRetiring && view.canShrink && current.size() > 1) {
        Members left = current;
        std::erase_if(left, [&view](const StoreMember &member) {
            return member.name == view.self.name;
        });
        return left;
    }
    return std::nullopt;
}

/** Next set proposed while a change is in progress: replaces a joining store that was lost. */
std::optional<Members> proposeWhileChanging(const GroupView &view, const QuorumRule &rule)
{
    const Members &next = view.group.next;
    if (containsDisk(next, view.self.disk)) {
        return std::nullopt;
    }
    const StoreMember *own = findMember(next, view.self.name);
    if (own != nullptr && !containsDisk(view.group.current, own->disk)) {
        return replaceMember(next, own->name, view.self);
    }
    const bool isJoiningStoreLost = std::any_of(next.begin(), next.end(), [&view](const StoreMember &member) {
        return !containsDisk(view.group.current, member.disk) && view.unreachable.contains(member.name);
    });
    if (!isJoiningStoreLost) {
        return std::nullopt;
    }
    GroupView stable = view;
    stable.group.next.clear();
    return proposeWhileStable(stable, rule);
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
