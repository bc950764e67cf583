#include "keyvalue/keyvalue.h"
#include "logging/eventlog.h"
#include "temporaryfolder.h"
#include "turns/groupmanager.h"
#include "turns/journal.h"
#include "turns/storepeers.h"
#include "turns/turnserver.h"
#include "turns/turnstore.h"

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

const base::ZoneName zone("z");
constexpr base::Milliseconds retention{60'000};
constexpr std::size_t maxBytes = std::size_t{1024} * 1024;

/** Key-value service that accepts every write and records the last value of each key. */
struct RecordingService
{
    void write(const std::string &key, const std::string &value, keyvalue::KeyVersion, keyvalue::WriteHandler onWritten)
    {
        written[key] = value;
        onWritten(keyvalue::KeyVersion(++version));
    }

    std::map<std::string, std::string> written;
    std::uint64_t version = 10;
};

struct NullRetirementReporter
{
    void reportRetirementRunning()
    {
    }

    void reportRetirementCompleted()
    {
    }
};

/** A turn store with its server, run in the test process. */
struct RunningStore
{
    RunningStore(boost::asio::io_context &context, logging::EventLog &log, const std::string &name)
        : journal(folder.path())
        , store(DiskId(name), journal, retention, maxBytes)
        , server(
              context, store, journal, log,
              [] {
                  return std::vector<keyvalue::KeyValue>();
              },
              [](const wire::MessageUnion &) {
                  return std::optional<wire::MessageUnion>();
              })
    {
        journal.open([](std::span<const std::uint8_t>) {});
        const auto port = std::get<std::uint16_t>(server.listen({"127.0.0.1", 0}));
        member = {StoreName(name), zone, {"127.0.0.1", port}, DiskId(name)};
    }

    tests::TemporaryFolder folder;
    Journal journal;
    TurnStore store;
    TurnServer server;
    StoreMember member;
};

}

TEST_GROUP(GroupManager)
{
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context context;
    logging::EventLog log{"test"};
    RecordingService service;
    NullRetirementReporter retirementReporter;
};

TEST(GroupManager, aJoiningStoreCompletesAChangeOnlyOnceItsCopyIsOnItsDisk)
{
    RunningStore leaving(context, log, "leaving");
    RunningStore joining(context, log, "joining");
    const StoreGroup group{GroupEpoch(2), {leaving.member}, {joining.member}};
    leaving.store.adopt(group);
    wire::StatePageT page;
    page.turns.push_back(std::make_unique<wire::TurnRecordT>());
    page.turns.back()->id = "t";
    leaving.store.mergePage(page, std::chrono::steady_clock::now());
    StorePeers peers(context);
    GroupManager<RecordingService, NullRetirementReporter> manager(
        context, service, retirementReporter, peers, joining.store, joining.server, joining.member, QuorumRule{0}, log);
    std::promise<void> diskIsFree;
    joining.server.postToDiskThread([&diskIsFree] {
        diskIsFree.get_future().wait();
    });
    manager.updateGroup(toJson(group), keyvalue::KeyVersion(1));
    manager.start();
    CHECK(runUntil(
        [&joining] {
            return joining.store.turnCount() == 1;
        },
        std::chrono::seconds(5)));
    const std::string key(groupKey);
    CHECK_FALSE(runUntil(
        [this, &key] {
            return service.written.contains(key);
        },
        std::chrono::milliseconds(500)));
    diskIsFree.set_value();
    CHECK(runUntil(
        [this, &key] {
            return service.written.contains(key);
        },
        std::chrono::seconds(5)));
    const auto completed = parseStoreGroup(service.written[key]);
    LONGS_EQUAL(3, completed->epoch.value());
    CHECK(completed->next.empty());
    manager.stop();
    joining.server.stop();
    leaving.server.stop();
}
