#include "turns/turnclient.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace briarhinge::turns
{

namespace
{

/** Recent turns of a busy entry: 60 turns of 3 KB per second for 30 s. */
constexpr std::size_t cacheBytes = std::size_t{6} * 1024 * 1024;
/** The time within which callers may continue a turn according to the platform's current declarations. */
constexpr base::Milliseconds cacheTime{60'000};
/** Maximum wait for one response; includes a sync of a slow disk. */
constexpr base::Milliseconds answerLimit{600};
/** How long a settlement in the background is retried. */
constexpr base::Milliseconds settleLimit{4000};
/** How long relays are considered working after a response through one; four probe intervals. */
constexpr base::Milliseconds relayTrust{1000};

std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

}

TurnClient::TurnClient(boost::asio::io_context &context, StorePeers &peers, QuorumRule rule, base::ZoneName zone,
                       logging::EventLog &log)
    : m_context(context)
    , m_peers(peers)
    , m_rule(rule)
    , m_zone(std::move(zone))
    , m_log(log)
    , m_cache(cacheTime, cacheBytes)
{
}

TurnClient::~TurnClient() = default;

void TurnClient::setGroup(const StoreGroup &group)
{
    if (group.epoch <= m_group.epoch) {
        return;
    }
    m_group = group;
    m_silent.clear();
    m_log.write(logging::events::groupAdopted,
                {{"epoch", group.epoch.value()}, {"members", group.current.size()}, {"next", group.next.size()}});
}

bool TurnClient::isReady() const
{
    return !isCutOff() || steadyNow() - m_relayWorked < relayTrust;
}

bool TurnClient::isMember(const wire::Address &address) const
{
    const auto members = m_group.members();
    return std::any_of(members.begin(), members.end(), [&address](const StoreMember &member) {
        return member.address == address;
    });
}

bool TurnClient::isCutOff() const
{
    Answers answering;
    for (const StoreMember &member : m_group.members()) {
        if (!m_silent.contains(member.disk)) {
            answering.insert(member.disk);
        }
    }
    return !isWritten(m_rule, m_group, answering);
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
    const bool wantsRelay = isCutOff() && m_peers.hasRelays();
    for (const StoreMember &member : m_group.members()) {
        if (!m_silent.contains(member.disk)) {
            continue;
        }
        askDirectly(member, probeMessage(), [](const wire::ChannelReply &) {});
        if (wantsRelay) {
            askByRelay(member, probeMessage(), [](const wire::ChannelReply &) {});
        }
    }
}

void TurnClient::askStore(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    if (!m_silent.contains(member.disk) || !m_peers.hasRelays() || !isCutOff()) {
        askDirectly(member, std::move(message), std::move(onReply));
    } else if (steadyNow() - m_relayWorked < relayTrust) {
        askByRelay(member, std::move(message), std::move(onReply));
    } else {
        askBothWays(member, std::move(message), std::move(onReply));
    }
}

void TurnClient::askBothWays(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    struct Question
    {
        ReplyHandler onReply;
        int open = 2;
    };
    const auto question = std::make_shared<Question>(Question{std::move(onReply)});
    const auto take = [question](wire::ChannelReply reply) {
        --question->open;
        const bool isAnswer = std::holds_alternative<wire::FrameT>(reply);
        if (question->onReply && (isAnswer || question->open == 0)) {
            std::exchange(question->onReply, nullptr)(std::move(reply));
        }
    };
    askDirectly(member, message, take);
    askByRelay(member, std::move(message), take);
}

void TurnClient::askDirectly(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    m_peers.ask(member.address, std::move(message), answerLimit,
                [this, member, onReply = std::move(onReply)](wire::ChannelReply reply) {
                    noteAnswer(member, reply);
                    onReply(std::move(reply));
                });
}

void TurnClient::askByRelay(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply)
{
    m_peers.askByRelay(member.address, std::move(message), answerLimit,
                       [this, onReply = std::move(onReply)](wire::ChannelReply reply) {
                           if (std::holds_alternative<wire::FrameT>(reply)) {
                               m_relayWorked = steadyNow();
                           }
                           onReply(std::move(reply));
                       });
}

void TurnClient::noteAnswer(const StoreMember &member, const wire::ChannelReply &reply)
{
    const bool isSilent = std::holds_alternative<wire::ChannelError>(reply);
    if (!isSilent) {
        m_silent.erase(member.disk);
    } else if (m_silent.insert(member.disk).second) {
        m_log.write(logging::events::storeUnreachable,
                    {{"store", member.name.value()}, {"reason", std::get<wire::ChannelError>(reply).reason}});
    }
}

void TurnClient::releaseInBackground(const base::ProgramId &program, const AttemptId &reservation)
{
    end({program, reservation, base::Tokens(0), std::nullopt}, settleLimit, [](bool) {});
}

}
