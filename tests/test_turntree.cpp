#include "turns/turntree.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

const TurnTree::Time start{};
constexpr base::Milliseconds retention{1000};

Turn turn(const std::string &id, const std::string &parent)
{
    return {TurnId(id), TurnId(parent), "<" + id + ">", "answer " + id + "\n", "engine-" + id};
}

}

TEST_GROUP(TurnTree)
{
    TurnTree tree{retention, 0};
};

TEST(TurnTree, aChainIsReadInOrderByteForByte)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("b", "a"), start);
    tree.add(turn("c", "b"), start);
    const KnownChain chain = tree.chain(TurnId("c"));
    STRCMP_EQUAL("<a>answer a\n<b>answer b\n<c>answer c\n", chain.prompt.c_str());
    CHECK(chain.missingTurn.value().empty());
    STRCMP_EQUAL("engine-c", chain.engine.c_str());
}

TEST(TurnTree, severalTurnsMayContinueOne)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("left", "a"), start);
    tree.add(turn("right", "a"), start);
    STRCMP_EQUAL("<a>answer a\n<left>answer left\n", tree.chain(TurnId("left")).prompt.c_str());
    STRCMP_EQUAL("<a>answer a\n<right>answer right\n", tree.chain(TurnId("right")).prompt.c_str());
}

TEST(TurnTree, aGapInAChainIsNamed)
{
    tree.add(turn("c", "b"), start);
    const KnownChain chain = tree.chain(TurnId("c"));
    CHECK(chain.isNewestKnown);
    STRCMP_EQUAL("b", chain.missingTurn.value().c_str());
    CHECK_FALSE(tree.chain(TurnId("b")).isNewestKnown);
}

TEST(TurnTree, aTurnKeepsItsWholeChainAlive)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("b", "a"), start + retention);
    tree.expire(start + retention + retention);
    CHECK(tree.chain(TurnId("b")).missingTurn.value().empty());
    tree.expire(start + retention + retention + base::Milliseconds(1));
    LONGS_EQUAL(0, tree.size());
}

// Guards against a chain whose beginning expires while it is in use (LOST), since a turn in between arrived last.
TEST(TurnTree, aTurnThatWasMissingPassesItsLatestUseOn)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("c", "b"), start + retention);
    LONGS_EQUAL(1, tree.missingTurns().size());
    STRCMP_EQUAL("b", tree.missingTurns().front().value().c_str());
    tree.add(turn("b", "a"), start);
    CHECK(tree.missingTurns().empty());
    tree.expire(start + retention + retention);
    CHECK(tree.chain(TurnId("c")).missingTurn.value().empty());
}

TEST(TurnTree, aMissingTurnIsForgottenWithTheTurnThatContinuesIt)
{
    tree.add(turn("c", "b"), start);
    tree.expire(start + retention);
    LONGS_EQUAL(1, tree.missingTurns().size());
    tree.expire(start + retention + base::Milliseconds(1));
    CHECK(tree.missingTurns().empty());
    LONGS_EQUAL(0, tree.bytes());
}

// Guards against a cache that grows with each turn whose parent another process stored.
TEST(TurnTree, missingTurnsAreEvictedToo)
{
    constexpr std::size_t maxBytes = 20'000;
    TurnTree small(retention, maxBytes);
    for (int i = 0; i < 1000; ++i) {
        small.add(turn(std::to_string(i), "parent-" + std::to_string(i)), start + base::Milliseconds(i));
        CHECK(small.bytes() <= maxBytes);
    }
    CHECK(small.missingTurns().size() <= small.size() + 1);
}

// Guards against turns that are forgotten (LOST) when a configuration asks for less than the one they were accepted under.
TEST(TurnTree, aShorterRetentionShortensNoPromise)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("c", "b"), start);
    tree.setRetention(retention / 2);
    tree.add(turn("d", ""), start);
    tree.expire(start + retention);
    CHECK(tree.contains(TurnId("a")));
    CHECK(tree.contains(TurnId("c")));
    LONGS_EQUAL(1, tree.missingTurns().size());
    CHECK_FALSE(tree.contains(TurnId("d")));
    tree.expire(start + retention + base::Milliseconds(1));
    LONGS_EQUAL(0, tree.bytes());
}

TEST(TurnTree, aTurnWithARetentionOfItsOwnKeepsItsChainForIt)
{
    tree.add(turn("a", ""), start);
    tree.add(turn("b", "a"), start, start + 3 * retention);
    tree.add(turn("other", ""), start);
    tree.expire(start + 3 * retention);
    CHECK(tree.chain(TurnId("b")).missingTurn.value().empty());
    CHECK_FALSE(tree.contains(TurnId("other")));
    tree.expire(start + 3 * retention + base::Milliseconds(1));
    LONGS_EQUAL(0, tree.size());
}

TEST(TurnTree, aCycleOfTurnsDoesNotPreventReadingAChain)
{
    tree.add(turn("a", "b"), start);
    tree.add(turn("b", "a"), start);
    CHECK(tree.chain(TurnId("a")).isNewestKnown);
}

TEST(TurnTree, theOldestTurnsAreEvictedBeyondTheSizeLimit)
{
    const auto add = [](TurnTree &turns, int i) {
        turns.add({TurnId(std::to_string(i)), TurnId(), "123456", "12345\n", ""}, start + base::Milliseconds(i));
    };
    TurnTree ten(retention, 0);
    for (int i = 90; i < 100; ++i) {
        add(ten, i);
    }
    TurnTree small(retention, ten.bytes());
    for (int i = 0; i < 100; ++i) {
        add(small, i);
    }
    CHECK(small.bytes() <= ten.bytes());
    CHECK(small.size() <= 10);
    CHECK(small.contains(TurnId("99")));
    CHECK_FALSE(small.contains(TurnId("0")));
}
