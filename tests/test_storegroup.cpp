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

Answers answers(const std::vector<std::string> &disks)
{
    Answers set;
    for (const std::string &disk : disks) {
        set.insert(DiskId(disk));
    }
    return set;
}

GroupView viewOf(const std::string &self, const std::string &disk = "1")
{
    GroupView view;
    view.group = {GroupEpoch(4), {member("a"), member("b"), member("c")}, {}};
    view.self = member(self, disk);
    view.mayFound = true;
    return view;
}

}

TEST_GROUP(StoreGroup){};

TEST(StoreGroup, everyReadQuorumMeetsEveryWriteQuorum)
{
    for (std::size_t tolerated = 0; tolerated < 4; ++tolerated) {
        const QuorumRule each{tolerated};
        for (std::size_t members = 1; members < 10; ++members) {
            CHECK(each.writeQuorum(members) + each.readQuorum(members) > members);
            CHECK(each.writeQuorum(members) >= std::min(members, tolerated + 1));
        }
    }
}

TEST(StoreGroup, aWriteDuringAChangeNeedsBothSets)
{
    const StoreGroup group{
        GroupEpoch(5), {member("a"), member("b"), member("c")}, {member("a"), member("b"), member("d")}};
    CHECK(isWritten(rule, group, answers({"a-1", "b-1"})));
    CHECK_FALSE(isWritten(rule, group, answers({"a-1", "d-1"})));
    CHECK_FALSE(isWritten(rule, group, answers({"a-1", "c-1"})));
    CHECK(isWritten(rule, group, answers({"a-1", "c-1", "d-1"})));
}

TEST(StoreGroup, aMemberWithAnEmptyDiskIsNotTheOneThatWasAsked)
{
    const StoreGroup group{
        GroupEpoch(5), {member("a"), member("b"), member("c")}, {member("a"), member("b"), member("c", "2")}};
    CHECK_FALSE(isReadWhole(rule, group, answers({"a-1", "c-2"})));
    CHECK(isReadWhole(rule, group, answers({"a-1", "b-1"})));
}

TEST(StoreGroup, isReadAsItWasWritten)
{
    const StoreGroup group{GroupEpoch(5), {member("a"), member("b")}, {member("c")}};
    CHECK(parseStoreGroup(toJson(group)) == group);
    CHECK_FALSE(parseStoreGroup("{\"epoch\":1}").has_value());
    CHECK_FALSE(parseStoreGroup("no json").has_value());
}

TEST_GROUP(GroupDecision){};

TEST(GroupDecision, theFirstOfThoseThatRegisteredFoundsTheGroupOverAllZones)
{
    GroupView view = viewOf("a");
    view.group = {};
    view.registered = {member("a", "1", "x"), member("b", "1", "x"), member("c", "1", "y"), member("d", "1", "z")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(group->current
          == std::vector<StoreMember>({member("a", "1", "x"), member("c", "1", "y"), member("d", "1", "z")}));
    view.self = member("b");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aMemberWhoseDiskIsEmptyTakesItsPlaceAgain)
{
    const auto group = proposeGroup(viewOf("c", "2"), rule);
    CHECK(group.has_value());
    LONGS_EQUAL(5, group->epoch.value());
    CHECK(group->current == viewOf("c").group.current);
    CHECK(containsDisk(group->next, DiskId("c-2")));
    CHECK_FALSE(containsDisk(group->next, DiskId("c-1")));
}

TEST(GroupDecision, aSpareStoreTakesThePlaceOfAnUnreachableMember)
{
    GroupView view = viewOf("d");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    view.unreachable = {StoreName("b")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(containsDisk(group->next, DiskId("d-1")));
    CHECK_FALSE(containsDisk(group->next, DiskId("b-1")));
}

TEST(GroupDecision, aSpareStoreThatIsCutOffReplacesNobody)
{
    GroupView view = viewOf("d");
    view.unreachable = {StoreName("a"), StoreName("b")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, oneStoreJoinsAtATime)
{
    GroupView view = viewOf("c", "2");
    view.group.next = {member("a"), member("d"), member("c")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aStoreThatJoinsAndLosesItsDiskStartsAgain)
{
    GroupView view = viewOf("d", "2");
    view.group.next = {member("a"), member("b"), member("d", "1")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(containsDisk(group->next, DiskId("d-2")));
    CHECK_FALSE(containsDisk(group->next, DiskId("d-1")));
}

TEST(GroupDecision, aRetiringMemberIsReplacedByASpareStore)
{
    GroupView view = viewOf("d");
    view.retiring = {StoreName("a")};
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK_FALSE(containsDisk(group->next, DiskId("a-1")));
}

TEST(GroupDecision, aRetiringMemberLeavesWithoutASuccessorOnceItHasWaited)
{
    GroupView view = viewOf("a");
    view.retiring = {StoreName("a")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    view.mayShrink = true;
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    LONGS_EQUAL(2, group->next.size());
}

TEST(GroupDecision, aRetiringSpareStoreDoesNotJoin)
{
    GroupView view = viewOf("d");
    view.retiring = {StoreName("d")};
    view.unreachable = {StoreName("b")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}
