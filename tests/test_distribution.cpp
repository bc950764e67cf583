#include "config/activeconfiguration.h"
#include "config/declaredpolicies.h"
#include "config/peerorder.h"
#include "entry/fixedpolicies.h"

#include <algorithm>
#include <thread>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::config;

namespace
{

std::string makeDeclaration(std::uint64_t revision)
{
    Declaration declaration;
    declaration.deployment = "inkono";
    KindDeclaration kind;
    kind.name = base::KindName("allergy");
    kind.priority = static_cast<std::int32_t>(revision % 1000);
    kind.budget = {base::Tokens(1), base::MicroMoney(1), 1};
    kind.wallTime = base::Milliseconds(1000);
    declaration.kinds = {kind};
    return toJson(declaration);
}

std::vector<Peer> makePeers(int count)
{
    std::vector<Peer> peers;
    peers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        peers.push_back({"vm-" + std::to_string(i),
                         base::ZoneName("zone-" + std::to_string(i % 3)),
                         {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}});
    }
    return peers;
}

bool contains(const std::vector<Peer> &list, const Peer &peer)
{
    return std::find(list.begin(), list.end(), peer) != list.end();
}

std::vector<Peer> without(std::vector<Peer> peers, const Peer &self)
{
    std::erase(peers, self);
    return peers;
}

}

TEST_GROUP(ActiveConfiguration){};

TEST(ActiveConfiguration, onlyEverMovesToAHigherValidRevision)
{
    const bool holds = rc::check([] {
        ActiveConfiguration activeConfiguration;
        base::Revision highest;
        const int offers = *rc::gen::inRange(1, 30);
        for (int i = 0; i < offers; ++i) {
            const base::Revision before = activeConfiguration.revision();
            const base::Revision offered(static_cast<std::uint64_t>(*rc::gen::inRange(0, 12)));
            const bool isValid = *rc::gen::inRange(0, 4) > 0;
            activeConfiguration.apply(offered, isValid ? makeDeclaration(offered.value()) : "{\"deployment\":1}");
            if (offered > highest) {
                highest = offered;
                RC_ASSERT(activeConfiguration.revision() == (isValid ? offered : before));
            } else {
                RC_ASSERT(activeConfiguration.revision() == before);
            }
            RC_ASSERT(activeConfiguration.highestSeen() == highest);
        }
    });
    CHECK(holds);
}

TEST(ActiveConfiguration, threadsThatOfferAtOnceNeverMakeItRevert)
{
    ActiveConfiguration activeConfiguration;
    base::Revision last;
    std::mutex mutex;
    bool hasReverted = false;
    activeConfiguration.addListener([&] {
        const std::lock_guard lock(mutex);
        const base::Revision present = activeConfiguration.revision();
        hasReverted = hasReverted || present < last;
        last = present;
    });
    constexpr std::uint64_t threadCount = 4;
    constexpr std::uint64_t offersPerThread = 200;
    std::vector<std::jthread> threads;
    for (std::uint64_t t = 0; t < threadCount; ++t) {
        threads.emplace_back([&activeConfiguration, t] {
            for (std::uint64_t i = 1; i <= offersPerThread; ++i) {
                activeConfiguration.apply(base::Revision(i * threadCount + t), makeDeclaration(i));
            }
        });
    }
    threads.clear();
    CHECK_FALSE(hasReverted);
    CHECK_EQUAL(offersPerThread * threadCount + threadCount - 1, activeConfiguration.revision().value());
}

TEST(ActiveConfiguration, kindsAreTheDeclaredOnesOnceARevisionIsInForce)
{
    ActiveConfiguration activeConfiguration;
    const DeclaredPolicies<entry::FixedPolicies> policies(activeConfiguration);
    CHECK(policies.policyForKind(base::KindName("poem")).has_value());
    activeConfiguration.confirmEmpty();
    CHECK(policies.policyForKind(base::KindName("poem")).has_value());
    activeConfiguration.apply(base::Revision(7), makeDeclaration(7));
    CHECK_FALSE(policies.policyForKind(base::KindName("poem")).has_value());
    CHECK_EQUAL(7, policies.policyForKind(base::KindName("allergy"))->priority);
    activeConfiguration.confirmEmpty();
    CHECK_EQUAL(7U, activeConfiguration.revision().value());
}

TEST_GROUP(PeerOrder){};

TEST(PeerOrder, listsAreJointlyCompleteAndAcyclicAlsoWhenViewsDiffer)
{
    const bool holds = rc::check([] {
        const auto all = makePeers(*rc::gen::inRange(2, 40));
        for (const Peer &left : all) {
            for (const Peer &right : all) {
                if (left == right) {
                    continue;
                }
                // Each of the two views contains the other process and a random subset of the rest.
                auto view = all;
                std::erase_if(view, [&](const Peer &peer) {
                    return peer != right && *rc::gen::arbitrary<bool>();
                });
                const bool requestsRight = contains(priorityList(left, without(view, left)), right);
                const bool requestsLeft = contains(priorityList(right, without(all, right)), left);
                RC_ASSERT(requestsRight != requestsLeft);
                RC_ASSERT(!requestsRight || precedes(right, left));
            }
        }
    });
    CHECK(holds);
}

TEST(PeerOrder, nearestComeFirstAndEachZoneHasItsWatchers)
{
    const auto all = makePeers(60);
    std::map<base::ZoneName, std::size_t> watchers;
    for (const Peer &self : all) {
        const auto list = priorityList(self, without(all, self));
        const auto firstFar = std::find_if(list.begin(), list.end(), [&](const Peer &peer) {
            return peer.zone != self.zone;
        });
        CHECK(std::all_of(firstFar, list.end(), [&](const Peer &peer) {
            return peer.zone != self.zone;
        }));
        watchers[self.zone] += isWatcher(self, without(all, self), 2) ? 1 : 0;
    }
    CHECK_EQUAL(3U, watchers.size());
    for (const auto &[zone, count] : watchers) {
        CHECK_EQUAL(2U, count);
    }
}
