#include "logging/eventlog.h"
#include "temporaryfolder.h"
#include "turns/chainrepair.h"
#include "turns/storepeers.h"
#include "turns/turnserver.h"
#include "turns/turnstore.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

constexpr std::size_t maxBytes = std::size_t{16} * 1024 * 1024;
constexpr base::Milliseconds retention{60'000};

wire::EndTurnT end(const std::string &id, const std::string &parent)
{
    wire::EndTurnT request;
    request.epoch = 1;
    request.turn = std::make_unique<wire::TurnRecordT>();
    request.turn->id = id;
    request.turn->parent = parent;
    request.turn->input = "in-" + id;
    request.turn->output = "out-" + id + "\n";
    return request;
}

/** @return whether a store has a turn with its whole chain */
bool hasWholeChain(TurnStore &store, const std::string &id, TurnStore::Time now)
{
    wire::BeginTurnT request;
    request.epoch = 1;
    request.previous = id;
    request.want_chain = true;
    const auto begun = store.begin(request, now);
    return begun.known && begun.missing.empty();
}

/** A turn store that repairs its chains. */
struct RepairingStore
{
    RepairingStore(boost::asio::io_context &context, logging::EventLog &log, const std::string &name)
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
        , peers(context)
        , repair(context, peers, store, server, log)
    {
        journal.open([](std::span<const std::uint8_t>) {});
        const auto port = std::get<std::uint16_t>(server.listen({"127.0.0.1", 0}));
        member = {StoreName(name), base::ZoneName("z"), {"127.0.0.1", port}, DiskId(name)};
        repair.start();
    }

    ~RepairingStore()
    {
        repair.stop();
        server.stop();
    }

    RepairingStore(const RepairingStore &) = delete;
    RepairingStore &operator=(const RepairingStore &) = delete;

    tests::TemporaryFolder folder;
    Journal journal;
    TurnStore store;
    TurnServer server;
    StorePeers peers;
    ChainRepair repair;
    StoreMember member;
};

/** A store of the model, whose requests to the others arrive at once. */
struct ModelStore
{
    explicit ModelStore(const std::string &name)
        : journal(folder.path())
        , store(DiskId(name), journal, retention, maxBytes)
    {
        journal.open([](std::span<const std::uint8_t>) {});
        store.adopt({GroupEpoch(1), {{StoreName("s"), base::ZoneName("z"), {"127.0.0.1", 1}, DiskId(name)}}, {}});
    }

    tests::TemporaryFolder folder;
    Journal journal;
    TurnStore store;
};

/** Repairs a store from another one as ChainRepair does. @return whether it got a turn */
bool repairFrom(TurnStore &store, TurnStore &other, TurnStore::Time now)
{
    wire::FetchStateT request;
    request.epoch = 1;
    for (const TurnId &id : store.missingTurns()) {
        request.turns.push_back(id.value());
    }
    if (request.turns.empty()) {
        return false;
    }
    const auto page = other.fetch(request, now);
    store.mergePage(page, now);
    return !page.turns.empty();
}

}

TEST_GROUP(ChainRepair)
{
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context context;
    logging::EventLog log{"test"};
};

// Guards against a rolling restart after which no turn store prolongs the beginning of a chain that is in use (LOST).
TEST(ChainRepair, eachStoreHasTheWholeChainSoonAfterItsOwnGap)
{
    std::vector<std::unique_ptr<RepairingStore>> stores;
    StoreGroup group{GroupEpoch(1), {}, {}};
    for (const char *name : {"a", "b", "c"}) {
        stores.push_back(std::make_unique<RepairingStore>(context, log, name));
        group.current.push_back(stores.back()->member);
    }
    for (const auto &one : stores) {
        one->store.adopt(group);
    }
    constexpr int turns = 6;
    std::string parent;
    for (int i = 0; i < turns; ++i) {
        const std::string id = "turn-" + std::to_string(i);
        for (std::size_t index = 0; index < stores.size(); ++index) {
            // Two turns in a row miss the first store, one each of the next two the others.
            const bool isDown = (i == 1 || i == 2) ? index == 0 : (i == 3 ? index == 1 : (i == 4 && index == 2));
            if (!isDown) {
                stores[index]->store.end(end(id, parent), std::chrono::steady_clock::now());
            }
        }
        parent = id;
    }
    for (const auto &one : stores) {
        CHECK(runUntil([&one, &parent] {
            return hasWholeChain(one->store, parent, std::chrono::steady_clock::now());
        }));
        CHECK(one->store.missingTurns().empty());
    }
}

// Guards against gaps that stay as long as one member does not answer.
TEST(ChainRepair, aSilentMemberDoesNotKeepTheOthersFromBeingAsked)
{
    RepairingStore gap(context, log, "gap");
    RepairingStore whole(context, log, "whole");
    const StoreMember silent{StoreName("silent"), base::ZoneName("z"), {"127.0.0.1", 1}, DiskId("silent")};
    const StoreGroup group{GroupEpoch(1), {gap.member, silent, whole.member}, {}};
    gap.store.adopt(group);
    whole.store.adopt(group);
    const auto now = std::chrono::steady_clock::now();
    whole.store.end(end("a", ""), now);
    whole.store.end(end("b", "a"), now);
    gap.store.end(end("b", "a"), now);
    CHECK(runUntil([&gap, now] {
        return hasWholeChain(gap.store, "b", now);
    }));
}

// Guards against a store with a new disk that fetches turn by turn what it is being sent as a whole, so that its copy fails
// and turns are refused (RECOVER).
TEST(ChainRepair, aStoreThatJoinsTheGroupAwaitsItsCopy)
{
    RepairingStore whole(context, log, "whole");
    RepairingStore joining(context, log, "joining");
    const StoreGroup changing{GroupEpoch(1), {whole.member}, {whole.member, joining.member}};
    const auto now = std::chrono::steady_clock::now();
    whole.store.adopt(changing);
    joining.store.adopt(changing);
    whole.store.end(end("a", ""), now);
    joining.store.end(end("b", "a"), now);
    context.run_for(std::chrono::milliseconds(1500));
    LONGS_EQUAL(1, joining.store.turnCount());
    const StoreGroup changed{GroupEpoch(2), changing.next, {}};
    whole.store.adopt(changed);
    joining.store.adopt(changed);
    CHECK(runUntil([&joining] {
        return joining.store.turnCount() == 2;
    }));
}

// Guards against chains that lose their beginning (LOST) after any series of missed turns and pauses.
TEST(ChainRepair, aQuorumKeepsEachChainOverAnyMissedTurns)
{
    const bool holds = rc::check([](const std::vector<std::uint8_t> &steps) {
        std::array<ModelStore, 3> stores{ModelStore("a"), ModelStore("b"), ModelStore("c")};
        TurnStore::Time now{};
        std::vector<TurnStore::Time> endedAt;
        for (const std::uint8_t step : steps) {
            now += base::Milliseconds(step * 200);
            // Three in four turns miss one store; each continues one that is still kept, or begins a chain.
            const std::size_t missed = step % 4;
            std::string parent;
            if (!endedAt.empty()) {
                const std::size_t continued = endedAt.size() - 1 - step / 4 % std::min<std::size_t>(endedAt.size(), 3);
                parent = now - endedAt[continued] <= retention ? std::to_string(continued) : "";
            }
            for (std::size_t i = 0; i < stores.size(); ++i) {
                stores[i].store.compact(now);
                if (i != missed) {
                    stores[i].store.end(end(std::to_string(endedAt.size()), parent), now);
                }
            }
            endedAt.push_back(now);
            for (auto &store : stores) {
                for (auto &other : stores) {
                    while (&store != &other && repairFrom(store.store, other.store, now)) {
                    }
                }
            }
            for (std::size_t turn = 0; turn < endedAt.size(); ++turn) {
                if (now - endedAt[turn] > retention) {
                    continue;
                }
                int holders = 0;
                for (auto &store : stores) {
                    holders += hasWholeChain(store.store, std::to_string(turn), now) ? 1 : 0;
                }
                RC_ASSERT(holders >= 2);
            }
        }
    });
    CHECK(holds);
}
