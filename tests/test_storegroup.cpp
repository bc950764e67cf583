#include "turns/groupdecision.h"
#include "turns/storegroup.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

const QuorumRule rule{1};

StoreMember member(const std::string &name, const std::string &disk = "1", const std::string &zone = "z")
{
    return {StoreName(name), base::ZoneName(zone), {"127.0.0.1", 7000}, DiskId(name + "-" + disk)};
}

RespondingDisks respondingDisks(const std::vector<std::string> &disks)
{
    RespondingDisks set;
    for (const std::string &disk : disks) {
        set.insert(DiskId(disk));
    }
    return set;
}

GroupView makeView(const std::string &self, const std::string &disk = "1")
{
    GroupView view;
    view.group = {GroupEpoch(4), {member("a"), member("b"), member("c")}, {}};
    view.self = member(self, disk);
    view.canBootstrap = true;
    return view;
}

}

TEST_GROUP(StoreGroup){};

TEST(StoreGroup, everyReadQuorumMeetsEveryWriteQuorum)
{
    for (std::size_t toleratedLosses = 0; toleratedLosses < 4; ++toleratedLosses) {
        const QuorumRule each{toleratedLosses};
        for (std::size_t members = 1; members < 10; ++members) {
            CHECK(each.writeQuorum(members) + each.readQuorum(members) > members);
            CHECK(each.writeQuorum(members) >= std::min(members, toleratedLosses + 1));
        }
    }
}

TEST(StoreGroup, aWriteDuringAChangeNeedsBothSets)
{
    const StoreGroup group{
        GroupEpoch(5), {member("a"), member("b"), member("c")}, {member("a"), member("b"), member("d")}};
    CHECK(hasWriteQuorum(rule, group, respondingDisks({"a-1", "b-1"})));
    CHECK_FALSE(hasWriteQuorum(rule, group, respondingDisks({"a-1", "d-1"})));
    CHECK_FALSE(hasWriteQuorum(rule, group, respondingDisks({"a-1", "c-1"})));
    CHECK(hasWriteQuorum(rule, group, respondingDisks({"a-1", "c-1", "d-1"})));
}

TEST(StoreGroup, aMemberWithAnEmptyDiskDoesNotCountAsTheFormerMember)
{
    const StoreGroup group{
        GroupEpoch(5), {member("a"), member("b"), member("c")}, {member("a"), member("b"), member("c", "2")}};
    CHECK_FALSE(hasReadQuorum(rule, group, respondingDisks({"a-1", "c-2"})));
    CHECK(hasReadQuorum(rule, group, respondingDisks({"a-1", "b-1"})));
}

TEST(StoreGroup, isReadAsItWasWritten)
{
    const StoreGroup group{GroupEpoch(5), {member("a"), member("b")}, {member("c")}};
    CHECK(parseStoreGroup(toJson(group)) == group);
    CHECK_FALSE(parseStoreGroup("{\"epoch\":1}").has_value());
    CHECK_FALSE(parseStoreGroup("no json").has_value());
}

TEST_GROUP(GroupDecision){};

TEST(GroupDecision, theStoreWithTheLowestNameCreatesTheGroupAcrossZones)
{
    GroupView view = makeView("a");
    view.group = {};
    view.registered = {member("a", "1", "x"), member("b", "1", "x"), member("c", "1", "y"), member("d", "1", "z")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(group->current
          == std::vector<StoreMember>({member("a", "1", "x"), member("c", "1", "y"), member("d", "1", "z")}));
    view.self = member("b");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aMemberWithAnEmptyDiskReplacesItsFormerEntry)
{
    const auto group = proposeGroup(makeView("c", "2"), rule);
    CHECK(group.has_value());
    LONGS_EQUAL(5, group->epoch.value());
    CHECK(group->current == makeView("c").group.current);
    CHECK(containsDisk(group->next, DiskId("c-2")));
    CHECK_FALSE(containsDisk(group->next, DiskId("c-1")));
}

TEST(GroupDecision, aSpareStoreTakesThePlaceOfAnUnreachableMember)
{
    GroupView view = makeView("d");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    view.unreachable = {StoreName("b")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(containsDisk(group->next, DiskId("d-1")));
    CHECK_FALSE(containsDisk(group->next, DiskId("b-1")));
}

TEST(GroupDecision, anIsolatedSpareStoreReplacesNoMember)
{
    GroupView view = makeView("d");
    view.unreachable = {StoreName("a"), StoreName("b")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, oneStoreJoinsAtATime)
{
    GroupView view = makeView("c", "2");
    view.group.next = {member("a"), member("d"), member("c")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aStoreThatJoinsAndLosesItsDiskStartsAgain)
{
    GroupView view = makeView("d", "2");
    view.group.next = {member("a"), member("b"), member("d", "1")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(containsDisk(group->next, DiskId("d-2")));
    CHECK_FALSE(containsDisk(group->next, DiskId("d-1")));
}

TEST(GroupDecision, aRetiringMemberIsReplacedByASpareStore)
{
    GroupView view = makeView("d");
    view.retiring = {StoreName("a")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK_FALSE(containsDisk(group->next, DiskId("a-1")));
}

TEST(GroupDecision, aRetiringMemberLeavesWithoutASuccessorOnceItHasWaited)
{
    GroupView view = makeView("a");
    view.retiring = {StoreName("a")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    view.canShrink = true;
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    LONGS_EQUAL(2, group->next.size());
}

TEST(GroupDecision, aRetiringSpareStoreDoesNotJoin)
{
    GroupView view = makeView("d");
    view.retiring = {StoreName("d")};
    view.unreachable = {StoreName("b")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}
