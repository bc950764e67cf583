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

/** A view of a group of three stores that all respond. */
GroupView makeView(const std::string &self, const std::string &disk = "1")
{
    GroupView view;
    view.group = {GroupEpoch(4), {member("a"), member("b"), member("c")}, {}};
    view.self = member(self, disk);
    view.responding = {DiskId("a-1"), DiskId("b-1"), DiskId("c-1"), view.self.disk};
    view.canBootstrap = true;
    return view;
}

/** Lets the member with @p disk be silent for a while in @p view, or for so long that it counts as lost. */
void silence(GroupView &view, const std::string &disk, bool isLost = false)
{
    view.responding.erase(DiskId(disk));
    view.unreachable.insert(DiskId(disk));
    if (isLost) {
        view.lost.insert(DiskId(disk));
    }
}

}

TEST_GROUP(StoreGroup){};

TEST(StoreGroup, everyReadQuorumMeetsEveryWriteQuorum)
{
    for (std::size_t toleratedLosses = 0; toleratedLosses < 4; ++toleratedLosses) {
        const QuorumRule each{toleratedLosses};
        for (std::size_t members = 1; members < 10; ++members) {
            CHECK(each.writeQuorum(members) + each.readQuorum(members) > members);
            CHECK(each.writeQuorum(members) >= toleratedLosses + 1);
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

TEST(StoreGroup, isNotReadFromAnOddEntry)
{
    const auto text = [](const std::string &epoch, const std::string &members) {
        return R"({"epoch":)" + epoch + R"(,"current":)" + members + R"(,"next":[]})";
    };
    const auto entry = [](const std::string &name, const std::string &address, const std::string &disk) {
        return R"({"name":")" + name + R"(","zone":"z","address":")" + address + R"(","disk":")" + disk + "\"}";
    };
    const auto list = [](const std::vector<std::string> &entries) {
        std::string joined;
        for (const std::string &each : entries) {
            joined += joined.empty() ? '[' : ',';
            joined += each;
        }
        joined += ']';
        return joined;
    };
    const std::string a = entry("a", "127.0.0.1:7000", "a-1");
    CHECK(parseStoreGroup(text("4", list({a}))).has_value());
    constexpr int manyMembers = 10'000;
    std::vector<std::string> many;
    many.reserve(manyMembers);
    for (int i = 0; i < manyMembers; ++i) {
        many.push_back(entry("m" + std::to_string(i), "127.0.0.1:7000", "d" + std::to_string(i)));
    }
    const std::string deep(100'000, '[');
    const std::vector<std::string> oddGroups{text("-1", list({a})),
                                             text("1.5", list({a})),
                                             text("18446744073709551615", list({a})),
                                             text("1e400", list({a})),
                                             text("\"4\"", list({a})),
                                             text("4", "[]"),
                                             text("4", a),
                                             text("4", "null"),
                                             text("4", list({a, a})),
                                             text("4", list({a, entry("b", "127.0.0.1:7001", "a-1")})),
                                             text("4", list({entry("a", "127.0.0.1", "a-1")})),
                                             text("4", list({entry("a", "127.0.0.1:0", "a-1")})),
                                             text("4", list({entry("a", "127.0.0.1:65536", "a-1")})),
                                             text("4", list({entry("", "127.0.0.1:7000", "a-1")})),
                                             text("4", list({entry("a", "127.0.0.1:7000", "")})),
                                             text("4", list(many)),
                                             text("4", deep),
                                             deep + std::string(deep.size(), ']')};
    for (const std::string &odd : oddGroups) {
        CHECK_FALSE_TEXT(parseStoreGroup(odd).has_value(), odd.substr(0, 200).c_str());
    }
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
    silence(view, "b-1");
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(containsDisk(group->next, DiskId("d-1")));
    CHECK_FALSE(containsDisk(group->next, DiskId("b-1")));
}

TEST(GroupDecision, anIsolatedSpareStoreReplacesNoMember)
{
    GroupView view = makeView("d");
    silence(view, "a-1");
    silence(view, "b-1");
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
    silence(view, "b-1");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aFirstGroupNeedsAsManyStoresAsMustKeepATurn)
{
    GroupView view = makeView("a");
    view.group = {};
    view.registered = {member("a")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    view.registered = {member("a"), member("b")};
    LONGS_EQUAL(2, proposeGroup(view, rule)->current.size());
    view.retiring = {StoreName("b")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

// Guards against a retirement that leaves a dead member which every write then needs.
TEST(GroupDecision, aRetiringMemberStaysWhileAnotherOneIsSilent)
{
    GroupView view = makeView("a");
    view.retiring = {StoreName("a")};
    view.canShrink = true;
    silence(view, "b-1");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    CHECK(retirementObstacle(view, rule) == RetirementObstacle::MemberUnreachable);
}

// Guards against a group of one store, whose turns go with its disk.
TEST(GroupDecision, aRetiringMemberStaysWhileTheOthersAreTooFew)
{
    GroupView view = makeView("a");
    view.group.current = {member("a"), member("b")};
    view.retiring = {StoreName("a")};
    view.canShrink = true;
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    CHECK(retirementObstacle(view, rule) == RetirementObstacle::TooFewStores);
}

// Guards against a change without way back once a member that has to remain has lost its disk.
TEST(GroupDecision, aStoreThatLostItsDiskEndsARetirementThatNeedsIt)
{
    GroupView view = makeView("b", "2");
    view.group.next = {member("b"), member("c")};
    silence(view, "b-1");
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(group->current == view.group.current);
    CHECK(group->next == std::vector<StoreMember>({member("a"), member("b", "2"), member("c")}));
}

TEST(GroupDecision, aRetirementIsAbandonedWhileAMemberThatRemainsIsSilent)
{
    for (const std::string name : {"a", "c"}) {
        GroupView view = makeView(name);
        view.group.next = {member("b"), member("c")};
        CHECK_FALSE(proposeGroup(view, rule).has_value());
        silence(view, "b-1");
        const auto group = proposeGroup(view, rule);
        CHECK(group.has_value());
        CHECK(group->current == view.group.current);
        CHECK(group->next.empty());
    }
}

TEST(GroupDecision, aJoinIsAbandonedOnceTheJoiningStoreIsLost)
{
    GroupView view = makeView("a");
    view.group.next = {member("a"), member("b"), member("d")};
    silence(view, "d-1");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    silence(view, "d-1", true);
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(group->next.empty());
}

// Guards against a group that grows beside a dead member, which then stays in it.
TEST(GroupDecision, aSpareStoreTakesThePlaceOfTheDeadMemberOfASmallGroup)
{
    GroupView view = makeView("d");
    view.group.current = {member("a"), member("b")};
    view.responding = {DiskId("a-1"), DiskId("d-1")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    silence(view, "b-1");
    const auto group = proposeGroup(view, rule);
    CHECK(group.has_value());
    CHECK(group->next == std::vector<StoreMember>({member("a"), member("d")}));
}

TEST(GroupDecision, membersRemoveALostOneAsLongAsEnoughAreLeft)
{
    GroupView view = makeView("a");
    silence(view, "c-1");
    CHECK_FALSE(proposeGroup(view, rule).has_value());
    silence(view, "c-1", true);
    CHECK(proposeGroup(view, rule)->next == std::vector<StoreMember>({member("a"), member("b")}));
    view.group.current = {member("a"), member("c")};
    CHECK_FALSE(proposeGroup(view, rule).has_value());
}

TEST(GroupDecision, aLeavingStorePushesWhatItHasAndARemainingOneSpreadsItIfTheLeavingOneIsGone)
{
    GroupView view = makeView("a");
    view.group.next = {member("b"), member("c")};
    CHECK(copyTask(view) == CopyTask::Push);
    view = makeView("b");
    view.group.next = {member("b"), member("c")};
    CHECK(copyTask(view) == CopyTask::None);
    silence(view, "a-1");
    CHECK(copyTask(view) == CopyTask::Spread);
    view.self = member("c");
    CHECK(copyTask(view) == CopyTask::None);
}

// Guards against a change that ends although a turn is only on another one of the leaving disks.
TEST(GroupDecision, noneOfSeveralLeavingStoresPushesAlone)
{
    GroupView view = makeView("a");
    view.group.current = {member("a"), member("b"), member("c"), member("d"), member("e")};
    view.group.next = {member("c"), member("d"), member("e")};
    CHECK(copyTask(view) == CopyTask::None);
    view.self = member("c");
    CHECK(copyTask(view) == CopyTask::Spread);
}
