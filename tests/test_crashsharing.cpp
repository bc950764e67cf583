#include "forwarding/crashsharing.h"
#include "turns/relayserver.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::forwarding;

namespace
{

wire::Address addressAt(int offset)
{
    constexpr int lowest = 30'000;
    constexpr int range = 250;
    return {"127.0.0.1", static_cast<std::uint16_t>(lowest + ::getpid() % range * 4 + offset)};
}

/** A key-value service that answers at once. */
struct FakeKeyValue
{
    void replace(const std::string &key, const std::string &value, const keyvalue::WriteHandler &onWritten)
    {
        ++writes;
        if (!isAvailable) {
            onWritten(keyvalue::PlatformUnavailable{});
            return;
        }
        values[key] = value;
        onWritten(keyvalue::KeyVersion(static_cast<std::uint64_t>(writes)));
    }

    bool isAvailable = true;
    int writes = 0;
    std::map<std::string, std::string> values;
};

/** What one entry has of the mechanism. */
struct Entry
{
    Entry(boost::asio::io_context &context, FakeKeyValue &service, const std::string &name, logging::EventLog &log)
        : peers(context)
        , sharing(context, peers, service, name, suspects, log)
        , server(
              context, peers,
              [](const wire::Address &) {
                  return false;
              },
              [this](const wire::MessageUnion &message) {
                  ++messages;
                  return sharing.handleMessage(message);
              },
              log)
    {
    }

    placement::SuspectTable suspects{placement::SuspectLimits{}};
    turns::StorePeers peers;
    CrashSharing<FakeKeyValue> sharing;
    int messages = 0;
    turns::RelayServer server;
};

placement::CrashReport crashOf(const std::string &runner)
{
    return {{runner, 1, 0}, {{base::Digest("a"), 10, true}}};
}

}

TEST_GROUP(CrashSharing)
{
    void setup() override
    {
        for (int i = 0; i < 3; ++i) {
            entries.push_back(std::make_unique<Entry>(context, service, "entry-" + std::to_string(i), log));
            CHECK(std::holds_alternative<std::uint16_t>(entries.back()->server.listen(addressAt(i))));
        }
        entries[0]->sharing.setEntries({addressAt(1), addressAt(2)});
        entries[1]->sharing.setEntries({addressAt(2), addressAt(0)});
        entries[2]->sharing.setEntries({addressAt(0), addressAt(1)});
        CHECK(runUntil([this] {
            return entries[0]->messages + entries[1]->messages + entries[2]->messages == 6;
        }));
    }

    void teardown() override
    {
        for (const auto &entry : entries) {
            entry->sharing.stop();
            entry->server.stop();
        }
        context.run_for(std::chrono::milliseconds(20));
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    bool isQuarantinedAt(std::size_t entry) const
    {
        return entries[entry]->suspects.isQuarantined(base::Digest("a"));
    }

    boost::asio::io_context context;
    logging::EventLog log{"test"};
    FakeKeyValue service;
    std::vector<std::unique_ptr<Entry>> entries;
};

// Guards against entries that each count for themselves.
TEST(CrashSharing, crashesSeenByDifferentEntriesCountTogetherAtAll)
{
    for (std::size_t i = 0; i < 3; ++i) {
        entries[i]->sharing.publish(crashOf("r" + std::to_string(i)));
    }
    CHECK(runUntil([this] {
        return isQuarantinedAt(0) && isQuarantinedAt(1) && isQuarantinedAt(2);
    }));
    LONGS_EQUAL(0, service.writes);
}

// Guards against entries that are cut off from each other and forget what they could not send.
TEST(CrashSharing, crashesThatAnEntryDoesNotAcknowledgeArePublishedAndSentAgain)
{
    entries[1]->server.stop();
    service.isAvailable = false;
    for (int i = 0; i < 3; ++i) {
        entries[0]->sharing.publish(crashOf("r" + std::to_string(i)));
    }
    CHECK(runUntil([this] {
        return isQuarantinedAt(2) && service.writes >= 2;
    }));
    CHECK_FALSE(isQuarantinedAt(1));
    service.isAvailable = true;
    CHECK(runUntil([this] {
        return service.values.size() == 1;
    }));
    const auto published = *service.values.begin();
    entries[1]->sharing.applyPublished(published.first, published.second);
    CHECK(isQuarantinedAt(1));
}

// Guards against an entry that starts anew and lets a quarantined request run.
TEST(CrashSharing, anEntryThatStartsAsksTheOthers)
{
    for (int i = 0; i < 3; ++i) {
        entries[0]->sharing.publish(crashOf("r" + std::to_string(i)));
    }
    Entry started(context, service, "entry-3", log);
    started.sharing.setEntries({addressAt(0)});
    CHECK(runUntil([&started] {
        return started.suspects.isQuarantined(base::Digest("a"));
    }));
    started.sharing.stop();
}

// Guards against an entry that starts without the crashes because the first entries that it asks are down.
TEST(CrashSharing, anEntryThatStartsAsksTheNextOneWhileOthersAreDown)
{
    entries[0]->sharing.publish(crashOf("r1"));
    Entry late(context, service, "late", log);
    constexpr int firstUnused = 10;
    late.sharing.setEntries({addressAt(firstUnused), addressAt(firstUnused + 1), addressAt(firstUnused + 2),
                             addressAt(firstUnused + 3), addressAt(0)});
    CHECK(runUntil([&late] {
        return late.suspects.knows(crashOf("r1").crash);
    }));
    late.sharing.stop();
    late.server.stop();
    context.run_for(std::chrono::milliseconds(20));
}

// Guards against an entry that starts together with all others and asks each of them too early.
TEST(CrashSharing, anEntryThatDidNotAnswerIsAskedAgain)
{
    constexpr int lateOffset = 3;
    Entry first(context, service, "first", log);
    first.sharing.setEntries({addressAt(lateOffset)});
    context.run_for(std::chrono::milliseconds(100));
    Entry second(context, service, "second", log);
    second.sharing.publish(crashOf("r2"));
    CHECK(std::holds_alternative<std::uint16_t>(second.server.listen(addressAt(lateOffset))));
    CHECK(runUntil([&first] {
        return first.suspects.knows(crashOf("r2").crash);
    }));
    for (Entry *entry : {&first, &second}) {
        entry->sharing.stop();
        entry->server.stop();
    }
    context.run_for(std::chrono::milliseconds(20));
}

// Guards against a quarantine that a restart prolongs from what was published long ago.
TEST(CrashSharing, whatWasPublishedLongAgoDoesNotCount)
{
    PublishedCrashes published;
    published.publishedAt = 1;
    published.reports = {crashOf("r0"), crashOf("r1"), crashOf("r2")};
    entries[0]->sharing.applyPublished("briarhinge/crashes/x", formatCrashes(published));
    CHECK_FALSE(isQuarantinedAt(0));
    entries[0]->sharing.applyPublished("briarhinge/crashes/x", "not JSON");
    CHECK_FALSE(isQuarantinedAt(0));
}
