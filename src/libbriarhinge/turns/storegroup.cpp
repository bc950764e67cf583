#include "turns/storegroup.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace briarhinge::turns
{

namespace
{

using nlohmann::json;

/** More than any group or joint change has; protects against lists that would fill the memory. */
constexpr std::size_t maxListedMembers = 64;
/** Epochs grow by one per change, so a larger one was not written by a turn store. */
constexpr std::uint64_t maxEpoch = std::uint64_t{1} << 62;

json membersJson(const std::vector<StoreMember> &members)
{
    json list = json::array();
    for (const StoreMember &member : members) {
        list.push_back({{"name", member.name.value()},
                        {"zone", member.zone.value()},
                        {"address", wire::toString(member.address)},
                        {"disk", member.disk.value()}});
    }
    return list;
}

std::vector<StoreMember> parseMembers(const json &list)
{
    if (!list.is_array() || list.size() > maxListedMembers) {
        throw std::invalid_argument("no list of members");
    }
    std::vector<StoreMember> members;
    for (const json &item : list) {
        const auto address = wire::parseAddress(item.at("address").get<std::string>());
        if (!address || address->port == 0) {
            throw std::invalid_argument("member without an address");
        }
        StoreMember member{StoreName(item.at("name").get<std::string>()),
                           base::ZoneName(item.at("zone").get<std::string>()), *address,
                           DiskId(item.at("disk").get<std::string>())};
        const bool isListedTwice = std::any_of(members.begin(), members.end(), [&member](const StoreMember &other) {
            return other.name == member.name || other.disk == member.disk;
        });
        if (isListedTwice || member.name.value().empty() || member.disk.value().empty()) {
            throw std::invalid_argument("member without an identity of its own");
        }
        members.push_back(std::move(member));
    }
    return members;
}

std::size_t countResponding(const std::vector<StoreMember> &members, const RespondingDisks &disks)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&disks](const auto &member) {
        return disks.contains(member.disk);
    }));
}

}

std::vector<StoreMember> StoreGroup::members() const
{
    // If a name occurs in both sets, the entry in the next set is the live one.
    std::vector<StoreMember> all = next;
    for (const StoreMember &member : current) {
        const bool isListed = std::any_of(all.begin(), all.end(), [&member](const StoreMember &other) {
            return other.name == member.name;
        });
        if (!isListed) {
            all.push_back(member);
        }
    }
    return all;
}

std::optional<StoreMember> StoreGroup::find(const StoreName &name) const
{
    for (const StoreMember &member : members()) {
        if (member.name == name) {
            return member;
        }
    }
    return std::nullopt;
}

std::string toJson(const StoreGroup &group)
{
    return json{
        {"epoch", group.epoch.value()}, {"current", membersJson(group.current)}, {"next", membersJson(group.next)}}
        .dump();
}

std::optional<StoreGroup> parseStoreGroup(std::string_view text)
{
    try {
        const json document = json::parse(text);
        const json &epoch = document.at("epoch");
        if (!epoch.is_number_unsigned() || epoch.get<std::uint64_t>() > maxEpoch) {
            return std::nullopt;
        }
        StoreGroup group{GroupEpoch(epoch.get<std::uint64_t>()), parseMembers(document.at("current")),
                         parseMembers(document.at("next"))};
        return group.current.empty() ? std::nullopt : std::optional(std::move(group));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::size_t QuorumRule::writeQuorum(std::size_t members) const
{
    const std::size_t majority = members / 2 + 1;
    return std::max(copies(), majority);
}

std::size_t QuorumRule::readQuorum(std::size_t members) const
{
    return members - std::min(members, writeQuorum(members)) + 1;
}

bool hasWriteQuorum(const QuorumRule &rule, const StoreGroup &group, const RespondingDisks &disks)
{
    if (group.current.empty()) {
        return false;
    }
    const bool inCurrent = countResponding(group.current, disks) >= rule.writeQuorum(group.current.size());
    const bool inNext = group.next.empty() || countResponding(group.next, disks) >= rule.writeQuorum(group.next.size());
    return inCurrent && inNext;
}

bool hasReadQuorum(const QuorumRule &rule, const StoreGroup &group, const RespondingDisks &disks)
{
    return !group.current.empty() && countResponding(group.current, disks) >= rule.readQuorum(group.current.size());
}

}
