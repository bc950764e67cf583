#include "turns/relayserver.h"
#include "turns/turnclient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <unistd.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

constexpr std::size_t memoryBytes = std::size_t{16} * 1024 * 1024;

const base::ZoneName zone("z");

wire::Address addressAt(int offset)
{
    constexpr int lowest = 31'000;
    constexpr int range = 500;
    return {"127.0.0.1", static_cast<std::uint16_t>(lowest + ::getpid() % range + offset)};
}

const wire::Address storeAddress = addressAt(0);
const wire::Address relayAddress = addressAt(500);
/** Nothing listens at this address, as if the network path to the store were interrupted. */
const wire::Address cutAddress = addressAt(1000);

StoreGroup groupAt(const wire::Address &address)
{
    return {GroupEpoch(1), {{StoreName("s"), zone, address, DiskId("disk")}}, {}};
}

}

TEST_GROUP(Relay)
{
    /** Responds like a turn store that grants every reservation. */
    void answer(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
    {
        relayedTo = frame.relay_to;
        wire::FrameT reply;
        reply.request_id = frame.request_id;
        reply.last = true;
        if (const auto *begin = frame.message.AsBeginTurn()) {
            wire::TurnBegunT begun;
            begun.disk = "disk";
            auto entry = std::make_unique<wire::BudgetEntryT>();
            entry->attempt = begin->attempt;
            entry->most = begin->most;
            begun.entries.push_back(std::move(entry));
            reply.message.Set(std::move(begun));
        } else {
            wire::TurnEndedT ended;
            ended.disk = "disk";
            reply.message.Set(std::move(ended));
        }
        session->send(reply);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    TurnStart start() const
    {
        return {base::ProgramId("p"), AttemptId("a"), base::Tokens(10), base::Tokens(100), TurnId()};
    }

    TurnStartResult begin(TurnClient & client)
    {
        std::optional<TurnStartResult> result;
        client.begin(start(), [&result](TurnStartResult outcome) {
            result = std::move(outcome);
        });
        CHECK(runUntil([&result] {
            return result.has_value();
        }));
        return *result;
    }

    logging::EventLog log{"test"};
    boost::asio::io_context context;
    std::string relayedTo;
    wire::FrameServer standIn{context, log,
                              [this](const auto &session, const wire::FrameT &frame) {
                                  answer(session, frame);
                              },
                              [](const auto &, const std::string &) {}};
};

TEST(Relay, anIsolatedEntryReachesTheTurnStoresThroughARelay)
{
    CHECK(std::holds_alternative<std::uint16_t>(standIn.listen(relayAddress)));
    StorePeers peers(context);
    TurnClient client(context, peers, QuorumRule{0}, base::MemoryBudget(memoryBytes), zone, log);
    client.setGroup(groupAt(cutAddress));
    peers.setRelays({relayAddress});
    CHECK(std::holds_alternative<TurnGranted>(begin(client)));
    STRCMP_EQUAL(wire::toString(cutAddress).c_str(), relayedTo.c_str());
    CHECK(client.isReady());
    bool isDurable = false;
    client.end({base::ProgramId("p"), AttemptId("a/1"), base::Tokens(5), std::nullopt}, base::Milliseconds(2000),
               [&isDurable](bool durable) {
                   isDurable = durable;
               });
    CHECK(runUntil([&isDurable] {
        return isDurable;
    }));
    standIn.stop();
}

TEST(Relay, anIsolatedEntryWithoutARelayReportsTheTurnStoresUnavailable)
{
    StorePeers peers(context);
    TurnClient client(context, peers, QuorumRule{0}, base::MemoryBudget(memoryBytes), zone, log);
    client.setGroup(groupAt(cutAddress));
    CHECK(std::holds_alternative<TurnsUnavailable>(begin(client)));
    CHECK_FALSE(client.isReady());
}

TEST(Relay, aRelayThatCanNotReachTheStoreReportsItAndTheNextRelayIsUsed)
{
    StorePeers relayPeers(context);
    RelayServer relay(
        context, relayPeers,
        [](const wire::Address &) {
            return true;
        },
        [](const wire::MessageUnion &) {
            return std::optional<wire::MessageUnion>();
        },
        log);
    CHECK(std::holds_alternative<std::uint16_t>(relay.listen(relayAddress)));
    CHECK(std::holds_alternative<std::uint16_t>(standIn.listen(storeAddress)));
    StorePeers peers(context);
    TurnClient client(context, peers, QuorumRule{0}, base::MemoryBudget(memoryBytes), zone, log);
    client.setGroup(groupAt(cutAddress));
    peers.setRelays({relayAddress, storeAddress});
    CHECK(std::holds_alternative<TurnsUnavailable>(begin(client)));
    CHECK(std::holds_alternative<TurnGranted>(begin(client)));
    relay.stop();
    standIn.stop();
}

TEST(Relay, aRecoveredStoreIsReachedDirectlyWhileNoRelayResponds)
{
    StorePeers peers(context);
    TurnClient client(context, peers, QuorumRule{0}, base::MemoryBudget(memoryBytes), zone, log);
    client.setGroup(groupAt(storeAddress));
    CHECK(std::holds_alternative<TurnsUnavailable>(begin(client)));
    peers.setRelays({cutAddress});
    CHECK(std::holds_alternative<std::uint16_t>(standIn.listen(storeAddress)));
    CHECK(std::holds_alternative<TurnGranted>(begin(client)));
    STRCMP_EQUAL("", relayedTo.c_str());
    standIn.stop();
}

TEST(Relay, aRelayForwardsARequestToAStoreAndReturnsTheResponse)
{
    StorePeers relayPeers(context);
    RelayServer relay(
        context, relayPeers,
        [](const wire::Address &address) {
            return address == storeAddress;
        },
        [](const wire::MessageUnion &) {
            return std::optional<wire::MessageUnion>();
        },
        log);
    CHECK(std::holds_alternative<std::uint16_t>(relay.listen(relayAddress)));
    CHECK(std::holds_alternative<std::uint16_t>(standIn.listen(storeAddress)));
    StorePeers peers(context);
    peers.setRelays({relayAddress});
    std::optional<wire::ChannelReply> reply;
    const auto ask = [&](const wire::Address &store) {
        reply.reset();
        wire::MessageUnion message;
        message.Set(wire::EndTurnT{});
        peers.sendRequestByRelay(store, std::move(message), base::Milliseconds(1000),
                                 [&reply](wire::ChannelReply answered) {
                                     reply = std::move(answered);
                                 });
        CHECK(runUntil([&reply] {
            return reply.has_value();
        }));
    };
    ask(storeAddress);
    const auto *frame = std::get_if<wire::FrameT>(&*reply);
    CHECK(frame != nullptr && frame->message.AsTurnEnded() != nullptr);
    STRCMP_EQUAL("", relayedTo.c_str());
    ask(cutAddress);
    CHECK(std::holds_alternative<wire::ChannelError>(*reply));
    relay.stop();
    standIn.stop();
}
