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

/** Names the VM of a turn store. */
using StoreName = base::StrongType<struct StoreNameTag, std::string>;

/** A turn store that belongs to the group. */
struct StoreMember
{
    StoreName name;
    base::ZoneName zone;
    wire::Address address;
    DiskId disk;

    bool operator==(const StoreMember &) const = default;
};

/**
 * The turn stores that keep the turns and budgets, and those that take over from them.
 *
 * While `next` is not empty, writes need a quorum of both sets, so that nothing is missed whichever set is asked.
 */
struct StoreGroup
{
    GroupEpoch epoch;
    std::vector<StoreMember> current;
    std::vector<StoreMember> next;

    /** @return every member once */
    std::vector<StoreMember> members() const;

    /** @param name a turn store @return it, when it is a member */
    std::optional<StoreMember> find(const StoreName &name) const;

    bool operator==(const StoreGroup &) const = default;
};

/** @param group a group @return it as JSON, as it is kept in the platform's store */
std::string toJson(const StoreGroup &group);

/** @param text JSON @return the group, or nothing when the text is none */
std::optional<StoreGroup> parseStoreGroup(std::string_view text);

/** How many losses a group bears. */
struct QuorumRule
{
    /** Disks that may be lost at once. */
    std::size_t tolerated = 1;

    /** @return members that a group has at best */
    std::size_t groupSize() const
    {
        return 2 * tolerated + 1;
    }

    /** @param members size of a set @return answers that a write needs */
    std::size_t writeQuorum(std::size_t members) const;

    /** @param members size of a set @return answers of which one at least comes from a writer's quorum */
    std::size_t readQuorum(std::size_t members) const;
};

/** Disks of the members that answered: a member that came back with an empty disk counts as another one. */
using Answers = std::unordered_set<DiskId>;

/** @return whether a write that these members acknowledged is kept @param rule the rule @param group the group
 * @param answers who acknowledged */
bool isWritten(const QuorumRule &rule, const StoreGroup &group, const Answers &answers);

/** @return whether what none of these members knows was never written @param rule the rule @param group the group
 * @param answers who was asked and answered */
bool isReadWhole(const QuorumRule &rule, const StoreGroup &group, const Answers &answers);

}
