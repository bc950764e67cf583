#include "turns/turnclient.h"

#include "turns/turnmessages.h"

#include <algorithm>
#include <random>
#include <unordered_set>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

namespace
{

using boost::system::error_code;

/** Maximum wait for the turn stores before a turn, within the second that callers wait for a connection. */
constexpr base::Milliseconds beginLimit{700};
/** Time for a member to return the chain before the request is sent to other members as well. */
constexpr base::Milliseconds chainPatience{40};
/** Retries of a reservation on a contended budget, each after a random delay of up to contentionPause. */
constexpr int contentionTries = 3;
constexpr base::Milliseconds contentionPause{40};
constexpr int mostGroupChanges = 4;

base::Milliseconds randomPause()
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return base::Milliseconds(std::uniform_int_distribution<std::int64_t>(5, contentionPause.count())(generator));
}

}

/** One begin request: sends it to all members and retries after a group change or budget contention. */
class TurnClient::BeginRun : public std::enable_shared_from_this<BeginRun>
{
public:
    BeginRun(TurnClient &client, TurnStart start, StartHandler onDone)
        : m_client(client)
        , m_start(std::move(start))
        , m_onDone(std::move(onDone))
        , m_timer(client.m_context)
        , m_pause(client.m_context)
    {
    }

    void run()
    {
        m_timer.expires_after(beginLimit);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(TurnsUnavailable{"turn stores did not answer in time"});
            }
        });
        m_missing = m_start.previous;
        useCache();
        ask();
    }

private:
    void useCache()
    {
        if (m_missing.value().empty()) {
            return;
        }
        ChainPart part = m_client.m_cache.chain(m_missing);
        if (!part.isKnown) {
            return;
        }
        m_prompt = part.prompt + m_prompt;
        if (m_engine.empty()) {
            m_engine = part.engine;
        }
        m_missing = part.missing;
    }

    void ask()
    {
        m_round++;
        m_answers.clear();
        m_entries.clear();
        m_askedForChain.clear();
        m_knowing.clear();
        m_unknowing.clear();
        m_open = 0;
        m_openForChain = 0;
        m_reservation =
            m_start.budget ? AttemptId(m_start.attempt.value() + "/" + std::to_string(m_round)) : AttemptId();
        if (!m_start.budget && m_missing.value().empty()) {
            finish(granted());
            return;
        }
        const auto members = membersByDistance();
        if (members.empty()) {
            finish(TurnsUnavailable{"no group of turn stores is known"});
            return;
        }
        bool wantsChain = !m_missing.value().empty();
        for (const StoreMember &member : members) {
            askMember(member, wantsChain, true);
            wantsChain = false;
        }
        askForChainLater();
    }

    std::vector<StoreMember> membersByDistance() const
    {
        auto members = m_client.m_group.members();
        std::stable_partition(members.begin(), members.end(), [this](const StoreMember &member) {
            return member.zone == m_client.m_zone;
        });
        return members;
    }

    void askMember(const StoreMember &member, bool wantsChain, bool isReserving, bool withGroup = false)
    {
        wire::BeginTurnT request;
        request.epoch = m_client.m_group.epoch.value();
        if (withGroup) {
            request.group = toJson(m_client.m_group);
        }
        if (isReserving && m_start.budget) {
            request.program = m_start.program.value();
            request.attempt = m_reservation.value();
            request.most = static_cast<std::uint32_t>(m_start.most.value());
        }
        request.previous = m_missing.value();
        request.want_chain = wantsChain;
        if (wantsChain) {
            m_askedForChain.insert(member.name);
        }
        ++m_open;
        m_openForChain += wantsChain ? 1 : 0;
        wire::MessageUnion message;
        message.Set(std::move(request));
        m_client.askStore(member, std::move(message),
                          [self = shared_from_this(), member, wantsChain, isReserving, asked = m_missing,
                           round = m_round](wire::ChannelReply reply) {
                              if (round == self->m_round && self->m_onDone) {
                                  self->answered(member, wantsChain, isReserving, asked, std::move(reply));
                              }
                          });
    }

    void answered(const StoreMember &member, bool wantsChain, bool isReserving, const TurnId &asked,
                  wire::ChannelReply reply)
    {
        --m_open;
        m_openForChain -= wantsChain ? 1 : 0;
        auto *frame = std::get_if<wire::FrameT>(&reply);
        auto *begun = frame == nullptr ? nullptr : frame->message.AsTurnBegun();
        if (begun == nullptr) {
            evaluate();
            return;
        }
        if (begun->status == wire::StoreStatus::StaleGroup) {
            moveToGroup(begun->group);
            return;
        }
        if (begun->status == wire::StoreStatus::GroupNeeded) {
            askMember(member, wantsChain, isReserving, true);
            return;
        }
        const DiskId disk(begun->disk);
        if (begun->status == wire::StoreStatus::Done && isReserving) {
            m_answers.insert(disk);
            BudgetEntries entries;
            for (const auto &entry : begun->entries) {
                entries.push_back(fromWire(*entry));
            }
            mergeEntries(m_entries, entries);
        }
        if (asked == m_missing && !m_missing.value().empty()) {
            if (!begun->known) {
                m_unknowing.insert(disk);
            } else if (wantsChain) {
                m_prompt = begun->chain + m_prompt;
                if (m_engine.empty()) {
                    m_engine = begun->engine;
                }
                m_missing = TurnId(begun->missing);
                m_knowing.clear();
                m_unknowing.clear();
                m_askedForChain.clear();
                m_isKnown = true;
                if (!m_missing.value().empty()) {
                    useCache();
                    askForChain();
                }
            } else {
                m_knowing.push_back(member);
                m_isKnown = true;
                if (m_isPatienceOver) {
                    askForChain();
                }
            }
        }
        evaluate();
    }

    void moveToGroup(const std::string &text)
    {
        if (const auto group = parseStoreGroup(text)) {
            m_client.setGroup(*group);
        }
        if (++m_groupChanges > mostGroupChanges) {
            finish(TurnsUnavailable{"the group of turn stores changes too fast"});
            return;
        }
        abandonReservation();
        ask();
    }

    void askForChainLater()
    {
        if (m_missing.value().empty()) {
            return;
        }
        m_pause.expires_after(chainPatience);
        m_pause.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->m_isPatienceOver = true;
                self->askForChain();
            }
        });
    }

    /** Requests the missing part of the chain from the next member known to have it, or from all if none is known. */
    void askForChain()
    {
        if (m_missing.value().empty()) {
            return;
        }
        const auto targets = m_knowing.empty() ? membersByDistance() : m_knowing;
        for (const StoreMember &member : targets) {
            if (!m_askedForChain.contains(member.name)) {
                askMember(member, true, false);
                if (!m_knowing.empty()) {
                    return;
                }
            }
        }
    }

    void evaluate()
    {
        if (!m_onDone) {
            return;
        }
        if (!m_missing.value().empty()) {
            if (isReadWhole(m_client.m_rule, m_client.m_group, m_unknowing) && m_knowing.empty()) {
                if (m_isKnown || m_missing != m_start.previous) {
                    finish(TurnsUnavailable{"a part of the chain was not found"});
                } else {
                    finish(NoSuchTurn{});
                }
                return;
            }
            // The members asked for the chain lack it or did not respond; try one that is known to have it.
            if (m_openForChain == 0 && !m_knowing.empty()) {
                askForChain();
            }
            if (m_open == 0) {
                tooFewAnswered();
            }
            return;
        }
        if (!m_start.budget) {
            finish(granted());
            return;
        }
        if (!isWritten(m_client.m_rule, m_client.m_group, m_answers)) {
            if (m_open == 0) {
                tooFewAnswered();
            }
            return;
        }
        judge();
    }

    /** Retries once through a relay if this process can't reach a quorum itself; otherwise the begin request fails. */
    void tooFewAnswered()
    {
        const bool mayAskByRelay = m_client.isCutOff() && m_client.m_peers.hasRelays();
        if (!mayAskByRelay || std::exchange(m_hasAskedAgain, true)) {
            finish(TurnsUnavailable{"too few turn stores answered"});
            return;
        }
        abandonReservation();
        ask();
    }

    void judge()
    {
        switch (judgeBudget(m_entries, m_reservation, *m_start.budget)) {
        case BudgetVerdict::Granted:
            finish(granted());
            return;
        case BudgetVerdict::Spent:
            finish(BudgetSpent{});
            return;
        case BudgetVerdict::Contended:
            break;
        }
        if (++m_contentions > contentionTries) {
            finish(BudgetSpent{});
            return;
        }
        abandonReservation();
        ++m_round;
        m_pause.expires_after(randomPause());
        m_pause.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->ask();
            }
        });
    }

    TurnGranted granted()
    {
        return {m_prompt, m_engine, m_reservation};
    }

    void abandonReservation()
    {
        if (!m_reservation.value().empty()) {
            m_client.releaseInBackground(m_start.program, m_reservation);
        }
    }

    void finish(TurnStartResult result)
    {
        if (!m_onDone) {
            return;
        }
        m_timer.cancel();
        m_pause.cancel();
        if (!std::holds_alternative<TurnGranted>(result)) {
            abandonReservation();
        }
        const StartHandler handler = std::exchange(m_onDone, nullptr);
        handler(std::move(result));
    }

    TurnClient &m_client;
    const TurnStart m_start;
    StartHandler m_onDone;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_pause;
    int m_round = 0;
    int m_groupChanges = 0;
    int m_contentions = 0;
    std::size_t m_open = 0;
    std::size_t m_openForChain = 0;
    AttemptId m_reservation;
    Answers m_answers;
    BudgetEntries m_entries;
    std::string m_prompt;
    std::string m_engine;
    /** The newest turn of the chain that is still missing; empty once the chain is complete. */
    TurnId m_missing;
    std::vector<StoreMember> m_knowing;
    Answers m_unknowing;
    std::unordered_set<StoreName> m_askedForChain;
    bool m_isKnown = false;
    bool m_isPatienceOver = false;
    bool m_hasAskedAgain = false;
};

void TurnClient::begin(const TurnStart &start, StartHandler onDone)
{
    std::make_shared<BeginRun>(*this, start, std::move(onDone))->run();
}

}
