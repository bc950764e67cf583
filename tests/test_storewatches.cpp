#include "logging/eventlog.h"
#include "platform/platformstore.h"
#include "platform/storeclient.h"
#include "platform/storewatch.h"

#include <chrono>
#include <functional>
#include <string>

#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using standins::platform::StoreFault;

namespace
{

wire::Address storeAddress()
{
    constexpr int lowest = 31'000;
    constexpr int range = 900;
    return {"127.0.0.1", static_cast<std::uint16_t>(lowest + ::getpid() % range)};
}

}

TEST_GROUP(StoreWatches)
{
    void setup() override
    {
        store.put("op/config", "1");
        store.put("servers/one", "1");
        watch.subscribe("op/", keep(config));
        platform::ItemHandlers runnerHandlers = keep(runner);
        runnerHandlers.onRemoved = [this](const std::string &, base::Milliseconds gracePeriod) {
            runner.clear();
            removalGracePeriod = gracePeriod;
        };
        watch.subscribe("servers/", std::move(runnerHandlers));
        watch.start();
        CHECK(runUntil([this] {
            return config == "1" && runner == "1";
        }));
        runFor(std::chrono::milliseconds(50));
    }

    void teardown() override
    {
        watch.stop();
        client.close();
        runFor(std::chrono::milliseconds(20));
    }

    platform::ItemHandlers keep(std::string & value)
    {
        platform::ItemHandlers handlers;
        handlers.onItem = [&value](const keyvalue::KeyValue &item) {
            value = item.value;
        };
        return handlers;
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(5))
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    /** Lets the watch be asked again into the silence. */
    void fallSilent(std::chrono::milliseconds duration)
    {
        store.put("op/config", "2");
        CHECK(runUntil([this] {
            return config == "2";
        }));
        store.setFault(StoreFault::Unresponsive);
        runFor(duration);
        store.setFault(StoreFault::None);
    }

    boost::asio::io_context context;
    logging::EventLog log{"test"};
    standins::platform::PlatformStore store{context, storeAddress()};
    platform::StoreClient client{context, storeAddress()};
    std::string config;
    std::string runner;
    base::Milliseconds removalGracePeriod{0};
    platform::StoreWatch watch{context, client, log, base::Milliseconds(2000)};
};

// Guards against a watch that is opened as the store falls silent and keeps an old configuration for its whole wait.
TEST(StoreWatches, aWatchAskedIntoASilenceIsAskedAgainAfterIt)
{
    for (const int silence : {1000, 2500, 4000}) {
        config.clear();
        fallSilent(std::chrono::milliseconds(silence));
        store.put("op/config", "3");
        // In force within 2 s of the acknowledgement.
        CHECK(runUntil(
            [this] {
                return config == "3";
            },
            std::chrono::seconds(2)));
    }
}

// Guards against watches that are asked again with each call that fails for another reason than an outage.
TEST(StoreWatches, aLostAnswerToAWriteLeavesTheWatchesAlone)
{
    bool isDone = false;
    store.dropAnswers(1);
    client.replace("briarhinge/x", "1", [&isDone](const keyvalue::WriteResult &) {
        isDone = true;
    });
    CHECK(runUntil([&isDone] {
        return isDone;
    }));
    bool isListed = false;
    client.list("briarhinge/", "", [&isListed](const auto &result) {
        isListed = std::holds_alternative<platform::ItemPage>(result);
    });
    CHECK(runUntil([&isListed] {
        return isListed;
    }));
    store.put("op/config", "4");
    CHECK(runUntil(
        [this] {
            return config == "4";
        },
        std::chrono::milliseconds(200)));
}

// Guards against a silence that begins and ends within a long poll, so that no call fails and an old configuration stays.
TEST(StoreWatches, aSilenceWithinALongPollIsNoticed)
{
    for (const int silence : {2500, 4000}) {
        config.clear();
        store.setFault(StoreFault::Silent);
        store.put("op/config", std::to_string(silence));
        runFor(std::chrono::milliseconds(silence));
        store.setFault(StoreFault::None);
        CHECK(runUntil(
            [this, silence] {
                return config == std::to_string(silence);
            },
            std::chrono::seconds(2)));
    }
}

// Guards against a store that rejects this process for a while, as if it called too often, after which nothing is asked again.
TEST(StoreWatches, aLongPollThatWasLostWhileTheStoreRejectedAllCallsIsAskedAgain)
{
    store.setFault(StoreFault::TooMany);
    store.put("op/config", "7");
    runFor(std::chrono::milliseconds(3000));
    store.setFault(StoreFault::None);
    CHECK(runUntil(
        [this] {
            return config == "7";
        },
        std::chrono::seconds(2)));
}

// Guards against runners that expired with the store's silence and are taken for gone at once.
TEST(StoreWatches, aKeyThatExpiredInASilenceMayReappear)
{
    store.setFault(StoreFault::Silent);
    store.remove("servers/one");
    runFor(std::chrono::milliseconds(4000));
    STRCMP_EQUAL("1", runner.c_str());
    store.setFault(StoreFault::None);
    CHECK(runUntil([this] {
        return runner.empty();
    }));
    CHECK(removalGracePeriod > base::Milliseconds(1000));
}

// Guards against a change that stays unknown until the long poll ends, since the answer to it was lost.
TEST(StoreWatches, aChangeWhoseAnswerWasLostIsReadAgain)
{
    store.loseWatchAnswers();
    store.put("op/config", "5");
    // In force within 2 s, once time limits apply again 3 s after the loss.
    CHECK(runUntil(
        [this] {
            return config == "5";
        },
        std::chrono::seconds(3)));
    store.put("op/config", "6");
    CHECK(runUntil(
        [this] {
            return config == "6";
        },
        std::chrono::seconds(1)));
}

// Guards against requests to a draining runner (DRAIN) and by an old configuration: the answer to a watch is lost, and reads
// that may be seconds old don't show it.
TEST(StoreWatches, aLostAnswerIsFoundThoughStaleReadsAreSecondsOld)
{
    store.setStaleness(std::chrono::seconds(6));
    store.loseNextWatchAnswers(1);
    store.put("op/config", "8");
    // Time limits apply again 3 s after the loss.
    runFor(std::chrono::milliseconds(3000));
    store.put("op/config", "9");
    CHECK(runUntil(
        [this] {
            return config == "9";
        },
        std::chrono::seconds(2)));
}

// Guards against a change that stays unknown for the whole wait of a watch, since the answer to the repeated watch was lost, too.
TEST(StoreWatches, aChangeWhoseAnswerWasLostTwiceIsReadAgain)
{
    store.loseNextWatchAnswers(2);
    removalGracePeriod = base::Milliseconds(-1);
    store.put("op/config", "10");
    // The second answer is lost 2 s after the first; time limits apply again 3 s after that, and are 2 s.
    CHECK(runUntil(
        [this] {
            return config == "10";
        },
        std::chrono::seconds(2 + 3 + 2)));
    // The store answered all the while, so a runner that is removed is gone.
    store.remove("servers/one");
    CHECK(runUntil([this] {
        return runner.empty();
    }));
    LONGS_EQUAL(0, removalGracePeriod.count());
}

// Guards against reads that are repeated over and over on a store that changes nothing.
TEST(StoreWatches, aQuietStoreIsAskedLittle)
{
    const int before = store.reads();
    runFor(std::chrono::milliseconds(6500));
    CHECK(store.reads() - before <= 5);
}

// Guards against requests that reach a removed runner because a watch was cut shortly before.
TEST(StoreWatches, aCutWatchDelaysNoRemoval)
{
    removalGracePeriod = base::Milliseconds(-1);
    store.setFault(StoreFault::Unavailable);
    store.setFault(StoreFault::None);
    runFor(std::chrono::milliseconds(10));
    store.remove("servers/one");
    CHECK(runUntil([this] {
        return runner.empty();
    }));
    LONGS_EQUAL(0, removalGracePeriod.count());
}

TEST(StoreWatches, aRemovalThatIsFoundAfterAnOutageMayBeTemporary)
{
    store.setFault(StoreFault::Unavailable);
    runFor(std::chrono::milliseconds(500));
    store.setFault(StoreFault::None);
    store.remove("servers/one");
    CHECK(runUntil([this] {
        return runner.empty();
    }));
    CHECK(removalGracePeriod.count() > 0);
}
