#include "turns/turnclient.h"

#include "turns/turnmessages.h"

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
constexpr base::Milliseconds endRetry{150};

}

/** One end request: resent to all members until a quorum has acknowledged it or the time limit has passed. */
class TurnClient::EndRun : public std::enable_shared_from_this<EndRun>
{
public:
    EndRun(TurnClient &client, const TurnEnd &end, EndHandler onDone)
        : m_client(client)
        , m_onDone(std::move(onDone))
        , m_limit(client.m_context)
        , m_retry(client.m_context)
    {
        m_request.program = end.program.value();
        m_request.attempt = end.reservation.value();
        m_request.spent = static_cast<std::uint32_t>(end.spent.value());
        if (end.turn) {
            m_request.turn = std::make_unique<wire::TurnRecordT>(toWire(*end.turn));
        }
    }

    void run(base::Milliseconds timeLimit)
    {
        m_limit.expires_after(timeLimit);
        m_limit.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(false);
            }
        });
        ask();
    }

private:
    void ask()
    {
        for (const StoreMember &member : m_client.m_group.members()) {
            if (!m_answers.contains(member.disk) && !m_asked.contains(member.name)) {
                askMember(member, false);
            }
        }
        m_retry.expires_after(endRetry);
        m_retry.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->ask();
            }
        });
    }

    void askMember(const StoreMember &member, bool withGroup)
    {
        wire::EndTurnT request = m_request;
        request.epoch = m_client.m_group.epoch.value();
        if (withGroup) {
            request.group = toJson(m_client.m_group);
        }
        m_asked.insert(member.name);
        wire::MessageUnion message;
        message.Set(std::move(request));
        m_client.askStore(
            member, std::move(message),
            [self = shared_from_this(), member, epoch = m_client.m_group.epoch](wire::ChannelReply reply) {
                self->m_asked.erase(member.name);
                if (self->m_onDone) {
                    self->answered(member, epoch, std::move(reply));
                }
            });
    }

    void answered(const StoreMember &member, GroupEpoch epoch, wire::ChannelReply reply)
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
            ask();
            return;
        }
        if (ended->status == wire::StoreStatus::GroupNeeded) {
            askMember(member, true);
            return;
        }
        if (epoch != m_client.m_group.epoch && epoch != m_epoch) {
            return;
        }
        if (m_epoch != m_client.m_group.epoch) {
            // Acknowledgements of an older group may come from stores whose state has already been copied.
            m_epoch = m_client.m_group.epoch;
            m_answers.clear();
        }
        if (epoch == m_epoch) {
            m_answers.insert(DiskId(ended->disk));
        }
        if (isWritten(m_client.m_rule, m_client.m_group, m_answers)) {
            finish(true);
        }
    }

    void finish(bool isKept)
    {
        if (!m_onDone) {
            return;
        }
        m_limit.cancel();
        m_retry.cancel();
        const EndHandler handler = std::exchange(m_onDone, nullptr);
        handler(isKept);
    }

    TurnClient &m_client;
    wire::EndTurnT m_request;
    EndHandler m_onDone;
    boost::asio::steady_timer m_limit;
    boost::asio::steady_timer m_retry;
    GroupEpoch m_epoch;
    Answers m_answers;
    std::unordered_set<StoreName> m_asked;
};

void TurnClient::end(const TurnEnd &end, base::Milliseconds timeLimit, EndHandler onDone)
{
    if (end.reservation.value().empty() && !end.turn) {
        onDone(true);
        return;
    }
    EndHandler handler = std::move(onDone);
    if (end.turn) {
        handler = [this, turn = *end.turn, inner = std::move(handler)](bool isKept) {
            if (isKept) {
                m_cache.add(turn, std::chrono::steady_clock::now());
            } else {
                m_log.write(logging::events::turnNotKept, {{"request", turn.id.value()}});
            }
            inner(isKept);
        };
    }
    std::make_shared<EndRun>(*this, end, std::move(handler))->run(timeLimit);
}

}
