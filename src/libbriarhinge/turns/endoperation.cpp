#include "turns/turnclient.h"

#include "turns/turnmessages.h"
#include "wire/framecodec.h"

#include <chrono>
#include <unordered_set>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

namespace
{

using boost::system::error_code;

/** Interval at which an end request is resent to members that have not acknowledged it. */
constexpr base::Milliseconds endRetryInterval{150};
/** Largest turn that fits into a frame; the rest is for its ids. */
constexpr std::size_t maxTurnBytes = wire::maxFrameBytes - std::size_t{64} * 1024;

}

/** One end request: resent to all members until a quorum has acknowledged it or the time limit has passed. */
class TurnClient::EndOperation : public std::enable_shared_from_this<EndOperation>
{
public:
    EndOperation(TurnClient &client, const TurnEnd &end, EndHandler onDone)
        : m_client(client)
        , m_onDone(std::move(onDone))
        , m_timeoutTimer(client.m_context)
        , m_retryTimer(client.m_context)
    {
        m_request.program = end.program.value();
        m_request.attempt = end.reservation.value();
        m_request.spent = static_cast<std::uint32_t>(end.spent.value());
        m_request.retention_ms = static_cast<std::uint64_t>(storeRetention(end.retention).count());
        if (end.turn) {
            m_request.turn = std::make_unique<wire::TurnRecordT>(toWire(*end.turn));
        }
    }

    void run(base::Milliseconds timeLimit)
    {
        m_timeoutTimer.expires_after(timeLimit);
        m_timeoutTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(false);
            }
        });
        sendRequests();
    }

private:
    void sendRequests()
    {
        for (const StoreMember &member : m_client.m_group.members()) {
            if (!m_acknowledged.contains(member.disk) && !m_full.contains(member.disk)
                && !m_pendingMembers.contains(member.name)) {
                sendRequest(member, false);
            }
        }
        m_retryTimer.expires_after(endRetryInterval);
        m_retryTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->sendRequests();
            }
        });
    }

    void sendRequest(const StoreMember &member, bool includeGroup)
    {
        wire::EndTurnT request = m_request;
        request.epoch = m_client.m_group.epoch.value();
        if (includeGroup) {
            request.group = toJson(m_client.m_group);
        }
        m_pendingMembers.insert(member.name);
        wire::MessageUnion message;
        message.Set(std::move(request));
        m_client.sendToStore(
            member, std::move(message),
            [self = shared_from_this(), member, epoch = m_client.m_group.epoch](wire::ChannelReply reply) {
                self->m_pendingMembers.erase(member.name);
                if (self->m_onDone) {
                    self->handleReply(member, epoch, std::move(reply));
                }
            });
    }

    void handleReply(const StoreMember &member, GroupEpoch epoch, wire::ChannelReply reply)
    {
        auto *frame = std::get_if<wire::FrameT>(&reply);
        const auto *ended = frame == nullptr ? nullptr : frame->message.AsTurnEnded();
        if (ended == nullptr || ended->status == wire::StoreStatus::DiskFailed) {
            return;
        }
        if (ended->status == wire::StoreStatus::StaleGroup) {
            if (const auto group = parseStoreGroup(ended->group)) {
                m_client.setGroup(*group);
            }
            sendRequests();
            return;
        }
        if (ended->status == wire::StoreStatus::GroupNeeded) {
            sendRequest(member, true);
            return;
        }
        if (ended->status == wire::StoreStatus::Full) {
            m_full.insert(DiskId(ended->disk));
            RespondingDisks others;
            for (const StoreMember &other : m_client.m_group.members()) {
                if (!m_full.contains(other.disk)) {
                    others.insert(other.disk);
                }
            }
            if (!hasWriteQuorum(m_client.m_rule, m_client.m_group, others)) {
                finish(false);
            }
            return;
        }
        if (epoch != m_client.m_group.epoch && epoch != m_epoch) {
            return;
        }
        if (m_epoch != m_client.m_group.epoch) {
            // Acknowledgements of an older group may come from stores whose state has already been copied.
            m_epoch = m_client.m_group.epoch;
            m_acknowledged.clear();
        }
        if (epoch == m_epoch) {
            m_acknowledged.insert(DiskId(ended->disk));
        }
        if (hasWriteQuorum(m_client.m_rule, m_client.m_group, m_acknowledged)) {
            finish(true);
        }
    }

    void finish(bool isDurable)
    {
        if (!m_onDone) {
            return;
        }
        m_timeoutTimer.cancel();
        m_retryTimer.cancel();
        const EndHandler handler = std::exchange(m_onDone, nullptr);
        handler(isDurable);
    }

    TurnClient &m_client;
    wire::EndTurnT m_request;
    EndHandler m_onDone;
    boost::asio::steady_timer m_timeoutTimer;
    boost::asio::steady_timer m_retryTimer;
    GroupEpoch m_epoch;
    RespondingDisks m_acknowledged;
    /** Disks of members that have no room for the turn. */
    RespondingDisks m_full;
    std::unordered_set<StoreName> m_pendingMembers;
};

void TurnClient::end(const TurnEnd &end, base::Milliseconds timeLimit, EndHandler onDone)
{
    if (end.reservation.value().empty() && !end.turn) {
        onDone(true);
        return;
    }
    EndHandler handler = std::move(onDone);
    if (end.turn) {
        handler = [this, turn = *end.turn, inner = std::move(handler)](bool isDurable) {
            if (isDurable) {
                m_cache.add(turn, std::chrono::steady_clock::now());
            } else {
                m_log.write(logging::events::turnNotKept, {{"request", turn.id.value()}});
            }
            inner(isDurable);
        };
    }
    if (end.turn && end.turn->input.size() + end.turn->output.size() > maxTurnBytes) {
        releaseReservation(end.program, end.reservation, end.spent);
        handler(false);
        return;
    }
    std::make_shared<EndOperation>(*this, end, std::move(handler))->run(timeLimit);
}

}
