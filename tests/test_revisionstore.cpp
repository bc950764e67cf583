#include "config/difference.h"
#include "config/revisionstore.h"
#include "fakekeyvalue.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::config;
using briarhinge::tests::FakeKeyValue;

namespace
{

using Store = RevisionStore<FakeKeyValue>;

Proposal proposal(std::uint64_t expected, const std::string &nonce, const std::string &declaration = "{}")
{
    Proposal wanted;
    wanted.who = "operator-" + nonce;
    wanted.what = "apply";
    wanted.expected = base::Revision(expected);
    wanted.nonce = nonce;
    wanted.declaration = declaration;
    return wanted;
}

Store makeStore(FakeKeyValue &keyValue)
{
    return Store(keyValue, [](base::Milliseconds) {});
}

std::vector<RevisionRecord> readHistory(FakeKeyValue &keyValue)
{
    return std::get<std::vector<RevisionRecord>>(makeStore(keyValue).history());
}

}

TEST_GROUP(RevisionStore)
{
    FakeKeyValue keyValue;
};

TEST(RevisionStore, keepsEveryRevisionWithItsAuditEntry)
{
    Store store = makeStore(keyValue);
    constexpr std::uint64_t count = 40;
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto result = store.propose(proposal(i, std::to_string(i), std::to_string(i)));
        CHECK(std::holds_alternative<Accepted>(result));
    }
    const auto records = readHistory(keyValue);
    CHECK_EQUAL(count, records.size());
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK_EQUAL(i, records[i].audit.from.value());
        CHECK_EQUAL(i + 1, records[i].audit.to.value());
        CHECK_EQUAL("operator-" + std::to_string(i), records[i].audit.who);
        CHECK_EQUAL(std::to_string(i), records[i].declaration);
    }
}

TEST(RevisionStore, loserOfARaceIsToldWhoWon)
{
    Store store = makeStore(keyValue);
    store.propose(proposal(0, "first", "{\"a\":1}"));
    const auto result = store.propose(proposal(0, "second", "{\"a\":2}"));
    const auto *conflict = std::get_if<Conflict>(&result);
    CHECK(conflict != nullptr);
    CHECK_EQUAL(std::string("operator-first"), conflict->winner.audit.who);
    CHECK_EQUAL(1U, readHistory(keyValue).size());
}

TEST(RevisionStore, lostAnswerIsReadBackAndNotAppliedTwice)
{
    Store store = makeStore(keyValue);
    bool isLost = false;
    keyValue.nextFault = [&isLost] {
        return std::exchange(isLost, true) ? FakeKeyValue::Fault::None : FakeKeyValue::Fault::LoseAnswer;
    };
    const auto result = store.propose(proposal(0, "one"));
    const auto *accepted = std::get_if<Accepted>(&result);
    CHECK(accepted != nullptr);
    CHECK(accepted->wasReadBack);
    CHECK_EQUAL(1U, accepted->revision.value());
    CHECK_EQUAL(1U, readHistory(keyValue).size());
}

TEST(RevisionStore, lostAnswerIsReadBackAfterAnotherRevisionFollowed)
{
    Store store = makeStore(keyValue);
    int writes = 0;
    keyValue.nextFault = [&] {
        if (++writes != 1) {
            return FakeKeyValue::Fault::None;
        }
        return FakeKeyValue::Fault::LoseAnswer;
    };
    Store slow(keyValue, [&](base::Milliseconds) {
        CHECK(std::holds_alternative<Accepted>(store.propose(proposal(1, "later"))));
    });
    const auto result = slow.propose(proposal(0, "early"));
    CHECK(std::holds_alternative<Accepted>(result));
    CHECK_EQUAL(1U, std::get<Accepted>(result).revision.value());
    CHECK_EQUAL(2U, readHistory(keyValue).size());
}

TEST(RevisionStore, outageThroughoutIsUnresolvedOnlyIfAWriteMayHaveLeft)
{
    keyValue.outage = true;
    CHECK(std::holds_alternative<StoreUnavailable>(makeStore(keyValue).propose(proposal(0, "x"))));
    keyValue.outage = false;
    keyValue.nextFault = [&] {
        keyValue.outage = true;
        return FakeKeyValue::Fault::LoseAnswer;
    };
    CHECK(std::holds_alternative<Unresolved>(makeStore(keyValue).propose(proposal(0, "x"))));
    keyValue.outage = false;
    keyValue.nextFault = [] {
        return FakeKeyValue::Fault::None;
    };
    CHECK(std::holds_alternative<Accepted>(makeStore(keyValue).propose(proposal(0, "x"))));
    CHECK_EQUAL(1U, readHistory(keyValue).size());
}

TEST(RevisionStore, racesAndLostAnswersLeaveAGaplessHistoryWhereEachAcceptedProposalStandsOnce)
{
    const bool holds = rc::check([] {
        FakeKeyValue service;
        service.nextFault = [] {
            const auto roll = *rc::gen::inRange(0, 4);
            return roll == 0 ? FakeKeyValue::Fault::LoseAnswer
                : roll == 1  ? FakeKeyValue::Fault::LoseRequest
                             : FakeKeyValue::Fault::None;
        };
        int left = *rc::gen::inRange(0, 12);
        std::set<std::string> accepted;
        std::set<std::string> refused;
        // While a proposal waits for its retry, another operator submits one.
        std::function<void(int)> operate = [&](int depth) {
            const std::string nonce = std::to_string(left--);
            Store store(service, [&](base::Milliseconds) {
                if (left > 0 && depth < 3) {
                    operate(depth + 1);
                }
            });
            const auto head = store.head();
            const auto *found = std::get_if<Head>(&head);
            const auto result = store.propose(proposal(found == nullptr ? 0 : found->record.audit.to.value(), nonce));
            if (std::holds_alternative<Accepted>(result)) {
                accepted.insert(nonce);
            } else if (std::holds_alternative<Conflict>(result)) {
                refused.insert(nonce);
            }
        };
        while (left > 0) {
            operate(0);
        }
        std::map<std::string, int> times;
        std::uint64_t next = 1;
        for (const RevisionRecord &record : readHistory(service)) {
            RC_ASSERT(record.audit.to.value() == next);
            RC_ASSERT(record.audit.from.value() + 1 == next);
            ++next;
            ++times[record.audit.nonce];
        }
        for (const std::string &nonce : accepted) {
            RC_ASSERT(times[nonce] == 1);
        }
        for (const std::string &nonce : refused) {
            RC_ASSERT(times[nonce] == 0);
        }
    });
    CHECK(holds);
}

TEST(RevisionStore, differenceNamesMembersOfListsByTheirNames)
{
    const auto found = differences(R"({"pools":[{"name":"chat","timeout":"5s"},{"name":"old","timeout":"1s"}]})",
                                   R"({"pools":[{"name":"chat","timeout":"6s"}]})");
    CHECK_EQUAL(3U, found.size());
    CHECK(found[0] == (Difference{"pools[chat].timeout", "\"5s\"", "\"6s\""}));
    CHECK(found[1] == (Difference{"pools[old].name", "\"old\"", ""}));
}
