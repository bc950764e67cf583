#include "storegroupworld.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;

namespace
{

using Step = StoreGroupWorld::Step;
using Kind = Step::Kind;

constexpr std::size_t maxExploredWorlds = 40'000;

std::string textOf(const Step &step)
{
    return std::to_string(static_cast<int>(step.kind)) + '@' + std::to_string(step.store) + '/'
        + std::to_string(step.mask) + '-' + std::to_string(step.age) + ' ';
}

/** What is wrong with @p world now, or would be if all faults ended. */
std::string fault(const StoreGroupWorld &world)
{
    std::string text = world.violation();
    if (!text.empty()) {
        return text;
    }
    StoreGroupWorld settled = world;
    settled.settle();
    text = settled.violation();
    return text.empty() ? settled.missingAfterSettling() : text;
}

/** Visits the worlds that steps lead to, nearest first. @return the first fault with its steps, or an empty string */
std::string explore(const StoreGroupWorld &first, std::size_t limit)
{
    std::deque<std::pair<StoreGroupWorld, std::string>> open{{first, {}}};
    std::unordered_set<std::string> known{first.key()};
    while (!open.empty()) {
        const auto [world, path] = std::move(open.front());
        open.pop_front();
        for (const Step &step : world.possibleSteps()) {
            StoreGroupWorld reached = world;
            reached.take(step);
            if (known.size() >= limit || !known.insert(reached.key()).second) {
                continue;
            }
            std::string longerPath = path;
            longerPath += textOf(step);
            if (std::string text = fault(reached); !text.empty()) {
                return text.append(" after ").append(longerPath).append(" | ").append(reached.describe());
            }
            open.emplace_back(std::move(reached), std::move(longerPath));
        }
    }
    return {};
}

/** A world whose first group exists and serves. */
StoreGroupWorld servingWorld(const WorldSize &size)
{
    StoreGroupWorld world(size);
    for (std::size_t i = 0; i < size.stores; ++i) {
        world.take({Kind::Decide, i});
    }
    for (std::size_t i = 0; i < size.stores; ++i) {
        world.take({Kind::Observe, i});
    }
    return world;
}

void checkHistories(const WorldSize &size)
{
    const bool held = rc::check("kept turns stay readable, and the group always recovers", [&size] {
        StoreGroupWorld world(size);
        std::string path;
        const int length = *rc::gen::inRange(20, 120);
        for (int i = 0; i < length; ++i) {
            const auto steps = world.possibleSteps();
            // Steps of one kind are equally likely, whatever their number.
            std::vector<std::vector<Step>> byKind(static_cast<std::size_t>(Kind::CancelRetirement) + 1);
            for (const Step &step : steps) {
                byKind[static_cast<std::size_t>(step.kind)].push_back(step);
            }
            std::erase_if(byKind, [](const auto &list) {
                return list.empty();
            });
            const auto &list = byKind[*rc::gen::inRange<std::size_t>(0, byKind.size())];
            const Step step = list[*rc::gen::inRange<std::size_t>(0, list.size())];
            path += textOf(step);
            world.take(step);
            std::string text = i + 1 == length ? fault(world) : world.violation();
            if (!text.empty()) {
                RC_FAIL(text.append(" after ").append(path).append(" | ").append(world.describe()));
            }
        }
    });
    CHECK(held);
}

}

TEST_GROUP(StoreGroupModel){};

TEST(StoreGroupModel, threeStoresFromTheirFirstStart)
{
    STRCMP_EQUAL("", explore(StoreGroupWorld({1, 3, 1, 1}), maxExploredWorlds).c_str());
}

TEST(StoreGroupModel, threeStoresThatServe)
{
    STRCMP_EQUAL("", explore(servingWorld({1, 3, 0, 1}), maxExploredWorlds).c_str());
}

TEST(StoreGroupModel, twoStoresAndASpareOne)
{
    STRCMP_EQUAL("", explore(servingWorld({1, 2, 1, 1}), maxExploredWorlds).c_str());
}

TEST(StoreGroupModel, aGroupOfOneStoreOfAnEarlierVersion)
{
    StoreGroupWorld world({1, 3, 0, 1});
    world.setFirstGroup(1);
    STRCMP_EQUAL("", explore(world, maxExploredWorlds / 4).c_str());
}

TEST(StoreGroupModel, fiveStoresOfWhichTwoMayBeLost)
{
    STRCMP_EQUAL("", explore(servingWorld({2, 5, 0, 1}), maxExploredWorlds / 4).c_str());
}

TEST(StoreGroupModel, longHistoriesOfFourStores)
{
    checkHistories({1, 3, 1, 6});
}

TEST(StoreGroupModel, longHistoriesOfNineStores)
{
    checkHistories({2, 5, 4, 6});
}
