#include "turns/turnclient.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace briarhinge::turns
{

namespace
{

/** Recent turns of a busy entry: 60 turns of 3 KB per second for 30 s. */
constexpr std::size_t maxCacheBytes = std::size_t{6} * 1024 * 1024;
/** The time within which callers may continue a turn according to the platform's current declarations. */
constexpr base::Milliseconds cacheRetention{60'000};
/** Maximum wait for one response; includes a sync of a slow disk. */
constexpr base::Milliseconds replyTimeout{600};
/** How long a settlement in the background is retried. */
constexpr base::Milliseconds settlementTimeout{4000};
/** How long relays are considered working after a response through one; four probe intervals. */
constexpr base::Milliseconds relayTrustInterval{1000};

std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

}

TurnClient::TurnClient(boost::asio::io_context &context, StorePeers &peers, QuorumRule rule,
                       const base::MemoryBudget &memory, base::ZoneName zone, logging::EventLog &log)
    : m_context(context)
    , m_peers(peers)
    , m_rule(rule)
    , m_memory(memory)
    , m_zone(std::move(zone))
    , m_log(log)
    , m_cache(cacheRetention, maxCacheBytes)
{
}

TurnClient::~TurnClient() = default;

void TurnClient::setGroup(const StoreGroup &group)
{
    if (group.epoch <= m_group.epoch) {
        return;
    }
    m_group = group;
    m_unresponsive.clear();
    m_log.write(logging::events::groupAdopted,
                {{"epoch", group.epoch.value()}, {"members", group.current.size()}, {"next", group.next.size()}});
}

bool TurnClient::isReady() const
{
    return !isIsolated() || steadyNow() - m_lastRelayReply < relayTrustInterval;
}

bool TurnClient::isMember(const wire::Address &address) const
{
    const auto members = m_group.members();
    return std::any_of(members.begin(), members.end(), [&address](const StoreMember &member) {
        return member.address == address;
    });
}

std::optional<StoreMember> TurnClient::member(const DiskId &disk) const
{
    const auto members = m_group.members();
    const auto found = std::find_if(members.begin(), members.end(), [&disk](const StoreMember &member) {
        return member.disk == disk;
    });
    return found == members.end() ? std::nullopt : std::optional(*found);
}

std::vector<DiskId> TurnClient::disks() const
{
    std::vector<DiskId> disks;
    for (const StoreMember &member : m_group.members()) {
        disks.push_back(member.disk);
    }
    return disks;
}

std::size_t TurnClient::copiesWhileStoring() const
{
    // A frame for each member, the turn itself and the record that the frames are made of.
    return m_group.members().size() + 2;
}

bool TurnClient::isIsolated() const
{
    RespondingDisks responding;
    for (const StoreMember &member : m_group.members()) {
        if (!m_unresponsive.contains(member.disk)) {
            responding.insert(member.disk);
        }
    }
    return !hasWriteQuorum(m_rule, m_group, responding);
}

wire::MessageUnion TurnClient::probeMessage() const
{
    wire::BeginTurnT request;
    request.epoch = m_group.epoch.value();
    wire::MessageUnion message;
    message.Set(std::move(request));
    return message;
}

void TurnClient::probe()
{
    const bool isRelayUsable = isIsolated() && m_peers.hasRelays();
    for (const StoreMember &member : m_group.members()) {
        if (!m_unresponsive.contains(member.disk)) {
            continue;
        }
        sendDirectly(member, probeMessage(), [](const wire::ChannelReply &) {});
        if (isRelayUsable) {
            sendByRelay(member, probeMessage(), [](const wire::ChannelReply &) {});
        }
    }
}

void TurnClient::sendToStore(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    if (!m_unresponsive.contains(member.disk) || !m_peers.hasRelays() || !isIsolated()) {
        sendDirectly(member, std::move(message), std::move(onReply));
    } else if (steadyNow() - m_lastRelayReply < relayTrustInterval) {
        sendByRelay(member, std::move(message), std::move(onReply));
    } else {
        sendBothWays(member, std::move(message), std::move(onReply));
    }
}

void TurnClient::sendBothWays(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    struct PendingRequest
    {
        ReplyHandler onReply;
        int open = 2;
    };
    const auto pending = std::make_shared<PendingRequest>(PendingRequest{std::move(onReply)});
    const auto deliver = [pending](wire::ChannelReply reply) {
        --pending->open;
        const bool isResponse = std::holds_alternative<wire::FrameT>(reply);
        if (pending->onReply && (isResponse || pending->open == 0)) {
            std::exchange(pending->onReply, nullptr)(std::move(reply));
        }
    };
    sendDirectly(member, message, deliver);
    sendByRelay(member, std::move(message), deliver);
}

void TurnClient::sendDirectly(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    m_peers.sendRequest(member.address, std::move(message), replyTimeout,
                        [this, member, onReply = std::move(onReply)](wire::ChannelReply reply) {
                            recordReply(member, reply);
                            onReply(std::move(reply));
                        });
}

void TurnClient::sendByRelay(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    m_peers.sendRequestByRelay(member.address, std::move(message), replyTimeout,
                               [this, onReply = std::move(onReply)](wire::ChannelReply reply) {
                                   if (std::holds_alternative<wire::FrameT>(reply)) {
                                       m_lastRelayReply = steadyNow();
                                   }
                                   onReply(std::move(reply));
                               });
}

void TurnClient::recordReply(const StoreMember &member, const wire::ChannelReply &reply)
{
    const bool isUnresponsive = std::holds_alternative<wire::ChannelError>(reply);
    if (!isUnresponsive) {
        m_unresponsive.erase(member.disk);
    } else if (m_unresponsive.insert(member.disk).second) {
        m_log.write(logging::events::storeUnreachable,
                    {{"store", member.name.value()}, {"reason", std::get<wire::ChannelError>(reply).reason}});
    }
}

void TurnClient::releaseReservation(const base::ProgramId &program, const AttemptId &reservation, base::Tokens spent)
{
    end({program, reservation, spent, std::nullopt}, settlementTimeout, [](bool) {});
}

}
