#include "configurationinstance.h"
#include "logging/eventlog.h"

#include <array>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::config;
using briarhinge::tests::ConfigurationInstance;
using briarhinge::tests::FakeKeyValue;

namespace
{

std::string makeDeclaration(std::uint64_t revision)
{
    Declaration declaration;
    declaration.deployment = fmt::format("revision-{}", revision);
    return toJson(declaration);
}

DistributionOptions fastOptions()
{
    DistributionOptions options;
    options.watchersPerZone = 1;
    options.watchTimeout = base::Milliseconds(100);
    options.replyTimeout = base::Milliseconds(200);
    options.peerRetryDelay = base::Milliseconds(500);
    options.retryDelay = base::Milliseconds(20);
    options.gapDelay = base::Milliseconds(20);
    return options;
}

void waitUntil(const std::function<bool()> &condition)
{
    constexpr int polls = 5000;
    for (int i = 0; i < polls && !condition(); ++i) {
        std::this_thread::sleep_for(base::Milliseconds(2));
    }
    CHECK(condition());
}

}

TEST_GROUP(Distributor)
{
    FakeKeyValue keyValue;
    /** A key-value service that is down, for instances that are cut off. */
    FakeKeyValue unavailableKeyValue;
    logging::EventLog log{"test"};
    wire::IoThreads threads{2};
    std::vector<std::unique_ptr<ConfigurationInstance>> instances;

    void setup() override
    {
        unavailableKeyValue.outage = true;
    }

    void teardown() override
    {
        for (const auto &instance : instances) {
            instance->stop();
        }
        threads.stop();
    }

    ConfigurationInstance &add(FakeKeyValue & service)
    {
        const std::size_t index = instances.size();
        instances.push_back(std::make_unique<ConfigurationInstance>(fmt::format("vm-{}", index),
                                                                    fmt::format("zone-{}", index % 2), threads, service,
                                                                    log, fastOptions(), [](wire::FrameT &) {}));
        return *instances.back();
    }

    std::vector<Peer> peers() const
    {
        std::vector<Peer> all;
        for (const auto &instance : instances) {
            all.push_back(instance->self());
        }
        return all;
    }

    void apply(std::uint64_t revision)
    {
        Proposal proposal;
        proposal.expected = base::Revision(revision - 1);
        proposal.nonce = std::to_string(revision);
        proposal.declaration = makeDeclaration(revision);
        CHECK(std::holds_alternative<Accepted>(RevisionStore<FakeKeyValue>(keyValue).propose(proposal)));
    }

    void waitForAll(std::uint64_t revision)
    {
        for (const auto &instance : instances) {
            waitUntil([&] {
                return instance->hasRevision(revision);
            });
        }
    }
};

TEST(Distributor, everyInstanceGetsEachRevision)
{
    for (int i = 0; i < 12; ++i) {
        add(keyValue);
    }
    for (const auto &instance : instances) {
        instance->start(peers());
    }
    for (std::uint64_t revision = 1; revision <= 5; ++revision) {
        apply(revision);
        waitForAll(revision);
    }
}

TEST(Distributor, instancesThatCannotReachTheServiceGetItFromAWatcherThatTheyDoNotAsk)
{
    constexpr int count = 8;
    const auto makePeer = [](int index) {
        return Peer{fmt::format("vm-{}", index), {}, {}};
    };
    // The first instance of each zone is a watcher. Only the watcher that is later in the total order reaches the
    // service; the earlier one has no peer on its priority list.
    std::array<int, 2> watchers{0, 1};
    for (int i = 0; i < count; ++i) {
        int &watcher = watchers[static_cast<std::size_t>(i % 2)];
        watcher = precedes(makePeer(i), makePeer(watcher)) ? i : watcher;
    }
    const int connected = precedes(makePeer(watchers[0]), makePeer(watchers[1])) ? watchers[1] : watchers[0];
    for (int i = 0; i < count; ++i) {
        add(i == connected ? keyValue : unavailableKeyValue);
    }
    apply(1);
    for (const auto &instance : instances) {
        instance->start(peers());
    }
    waitForAll(1);
    apply(2);
    waitForAll(2);
}

TEST(Distributor, instanceAloneReadsTheServiceItself)
{
    apply(1);
    add(keyValue).start({});
    waitForAll(1);
    apply(2);
    waitForAll(2);
}

TEST(Distributor, startDuringAnOutageTakesTheHighestRevisionOfThePeersAndNotTheFirst)
{
    for (int i = 0; i < 5; ++i) {
        ConfigurationInstance &peer = add(unavailableKeyValue);
        const auto revision = static_cast<std::uint64_t>(i == 3 ? 9 : 4);
        peer.activeConfiguration().apply(base::Revision(revision), makeDeclaration(revision));
    }
    ConfigurationInstance &started = add(unavailableKeyValue);
    std::vector<std::uint64_t> applied;
    started.activeConfiguration().addListener([&] {
        applied.push_back(started.activeConfiguration().revision().value());
    });
    started.start(peers());
    waitUntil([&] {
        return started.hasRevision(9);
    });
    CHECK_EQUAL(1U, applied.size());
}

TEST(Distributor, revisionSeenOnAFrameIsFetchedFromItsHolder)
{
    ConfigurationInstance &behind = add(unavailableKeyValue);
    ConfigurationInstance &holder = add(unavailableKeyValue);
    behind.activeConfiguration().apply(base::Revision(1), makeDeclaration(1));
    holder.activeConfiguration().apply(base::Revision(2), makeDeclaration(2));
    // No peer is known, so the revision can only be learned from the frame.
    behind.start({});
    behind.distributor().recordRevision(base::Revision(2), holder.self().address);
    waitUntil([&] {
        return behind.hasRevision(2);
    });
}

TEST(Distributor, revisionThatTheProcessFindsInvalidLeavesTheOlderOneInForce)
{
    apply(1);
    ConfigurationInstance &instance = add(keyValue);
    instance.start({});
    waitForAll(1);
    Proposal broken;
    broken.expected = base::Revision(1);
    broken.nonce = "broken";
    broken.declaration = "{\"deployment\": 1}";
    RevisionStore<FakeKeyValue>(keyValue).propose(broken);
    waitUntil([&] {
        return instance.activeConfiguration().highestSeen() == base::Revision(2);
    });
    CHECK_EQUAL(1U, instance.activeConfiguration().revision().value());
    apply(3);
    waitForAll(3);
}
