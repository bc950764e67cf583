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

/** Maximum wait for the turn stores before a turn, within the 1 s that callers wait for a connection. */
constexpr base::Milliseconds beginTimeout{700};
/** Time for a member to return the chain before the request is sent to other members as well. */
constexpr base::Milliseconds chainHedgeDelay{40};
/** Retries of a reservation on a contended budget, each after a random delay of up to maxContentionDelay. */
constexpr int maxContentionRetries = 3;
constexpr base::Milliseconds maxContentionDelay{40};
/** Maximum number of group changes during one begin request; the request fails if there are more. */
constexpr int maxGroupChanges = 4;

base::Milliseconds randomContentionDelay()
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return base::Milliseconds(std::uniform_int_distribution<std::int64_t>(5, maxContentionDelay.count())(generator));
}

}

/** One begin request: sends it to all members and retries after a group change or budget contention. */
class TurnClient::BeginOperation : public std::enable_shared_from_this<BeginOperation>
{
public:
    BeginOperation(TurnClient &client, TurnStart start, StartHandler onDone)
        : m_client(client)
        , m_start(std::move(start))
        , m_onDone(std::move(onDone))
        , m_timeoutTimer(client.m_context)
        , m_delayTimer(client.m_context)
        , m_memory(std::make_shared<base::MemoryBudget::Share>(client.m_memory))
    {
    }

    void run()
    {
        m_timeoutTimer.expires_after(beginTimeout);
        m_timeoutTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->finish(TurnsUnavailable{"turn stores did not answer in time"});
            }
        });
        m_missingTurn = m_start.previous;
        prependCachedTurns();
        if (m_onDone) {
            sendRequests();
        }
    }

private:
    void prependCachedTurns()
    {
        if (m_missingTurn.value().empty()) {
            return;
        }
        KnownChain cached = m_client.m_cache.chain(m_missingTurn);
        if (!cached.isNewestKnown) {
            return;
        }
        prepend(cached.prompt, cached.engine, TurnId(cached.missingTurn));
    }

    /** Puts older turns before the known part of the chain. */
    void prepend(const std::string &turns, const std::string &engine, TurnId missingTurn)
    {
        // The buffer of the prompt is copied when it grows.
        if (!m_memory->resize(2 * (m_prompt.size() + turns.size()))) {
            finish(NoRoom{"no memory for the chain"});
            return;
        }
        m_prompt.insert(0, turns);
        if (m_engine.empty()) {
            m_engine = engine;
        }
        m_missingTurn = std::move(missingTurn);
    }

    void sendRequests()
    {
        m_round++;
        m_reservedDisks.clear();
        m_budgetEntries.clear();
        m_chainRequested.clear();
        m_membersWithTurn.clear();
        m_disksWithoutTurn.clear();
        m_openRequests = 0;
        m_openChainRequests = 0;
        m_reservation =
            m_start.budget ? AttemptId(m_start.attempt.value() + "/" + std::to_string(m_round)) : AttemptId();
        m_isStoreFull = false;
        if (!needsQuorum() && m_missingTurn.value().empty()) {
            finish(granted());
            return;
        }
        const auto members = membersByDistance();
        if (members.empty()) {
            finish(TurnsUnavailable{"no group of turn stores is known"});
            return;
        }
        bool wantsChain = !m_missingTurn.value().empty();
        for (const StoreMember &member : members) {
            sendRequest(member, wantsChain, true);
            wantsChain = false;
        }
        scheduleChainRequests();
    }

    std::vector<StoreMember> membersByDistance() const
    {
        auto members = m_client.m_group.members();
        std::stable_partition(members.begin(), members.end(), [this](const StoreMember &member) {
            return member.zone == m_client.m_zone;
        });
        return members;
    }

    void sendRequest(const StoreMember &member, bool wantsChain, bool isReserving, bool includeGroup = false)
    {
        wire::BeginTurnT request;
        request.epoch = m_client.m_group.epoch.value();
        if (includeGroup) {
            request.group = toJson(m_client.m_group);
        }
        if (isReserving && m_start.budget) {
            request.program = m_start.program.value();
            request.attempt = m_reservation.value();
            request.most = static_cast<std::uint32_t>(m_start.maxTokens.value());
            request.retention_ms = static_cast<std::uint64_t>(storeRetention(m_start.retention).count());
        }
        if (isReserving) {
            request.input_bytes = static_cast<std::uint32_t>(m_start.inputBytes);
        }
        request.previous = m_missingTurn.value();
        request.want_chain = wantsChain;
        if (wantsChain) {
            m_chainRequested.insert(member.name);
        }
        ++m_openRequests;
        m_openChainRequests += wantsChain ? 1 : 0;
        wire::MessageUnion message;
        message.Set(std::move(request));
        m_client.sendToStore(member, std::move(message),
                             [self = shared_from_this(), member, wantsChain, isReserving, requestedTurn = m_missingTurn,
                              round = m_round](wire::ChannelReply reply) {
                                 if (round == self->m_round && self->m_onDone) {
                                     self->handleReply(member, wantsChain, isReserving, requestedTurn,
                                                       std::move(reply));
                                 }
                             });
    }

    void handleReply(const StoreMember &member, bool wantsChain, bool isReserving, const TurnId &requestedTurn,
                     wire::ChannelReply reply)
    {
        --m_openRequests;
        m_openChainRequests -= wantsChain ? 1 : 0;
        auto *frame = std::get_if<wire::FrameT>(&reply);
        auto *begun = frame == nullptr ? nullptr : frame->message.AsTurnBegun();
        if (begun == nullptr) {
            evaluate();
            return;
        }
        if (begun->status == wire::StoreStatus::StaleGroup) {
            adoptGroup(begun->group);
            return;
        }
        if (begun->status == wire::StoreStatus::GroupNeeded) {
            sendRequest(member, wantsChain, isReserving, true);
            return;
        }
        const DiskId disk(begun->disk);
        if (begun->status == wire::StoreStatus::Full) {
            m_isStoreFull = true;
            evaluate();
            return;
        }
        if (begun->status == wire::StoreStatus::Done && isReserving) {
            m_reservedDisks.insert(disk);
            BudgetEntries entries;
            for (const auto &entry : begun->entries) {
                entries.push_back(fromWire(*entry));
            }
            mergeEntries(m_budgetEntries, entries);
        }
        if (requestedTurn == m_missingTurn && !m_missingTurn.value().empty()) {
            if (!begun->known) {
                m_disksWithoutTurn.insert(disk);
            } else if (wantsChain) {
                prepend(begun->chain, begun->engine, TurnId(begun->missing));
                if (!m_onDone) {
                    return;
                }
                m_membersWithTurn.clear();
                m_disksWithoutTurn.clear();
                m_chainRequested.clear();
                m_isTurnKnown = true;
                if (begun->missing_known) {
                    m_membersWithTurn.push_back(member);
                }
                prependCachedTurns();
                if (!m_onDone) {
                    return;
                }
                requestChain();
            } else {
                m_membersWithTurn.push_back(member);
                m_isTurnKnown = true;
                if (m_isHedgeDelayOver) {
                    requestChain();
                }
            }
        }
        evaluate();
    }

    void adoptGroup(const std::string &text)
    {
        if (const auto group = parseStoreGroup(text)) {
            m_client.setGroup(*group);
        }
        if (++m_groupChanges > maxGroupChanges) {
            finish(TurnsUnavailable{"the group of turn stores changes too fast"});
            return;
        }
        abandonReservation();
        sendRequests();
    }

    void scheduleChainRequests()
    {
        if (m_missingTurn.value().empty()) {
            return;
        }
        m_delayTimer.expires_after(chainHedgeDelay);
        m_delayTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->m_isHedgeDelayOver = true;
                self->requestChain();
            }
        });
    }

    /** Requests the missing part of the chain from the next member known to have it, or from all if none is known. */
    void requestChain()
    {
        if (m_missingTurn.value().empty()) {
            return;
        }
        const auto targets = m_membersWithTurn.empty() ? membersByDistance() : m_membersWithTurn;
        for (const StoreMember &member : targets) {
            if (!m_chainRequested.contains(member.name)) {
                sendRequest(member, true, false);
                if (!m_membersWithTurn.empty()) {
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
        if (!m_missingTurn.value().empty()) {
            if (hasReadQuorum(m_client.m_rule, m_client.m_group, m_disksWithoutTurn) && m_membersWithTurn.empty()) {
                if (m_isTurnKnown || m_missingTurn != m_start.previous) {
                    finish(TurnsUnavailable{"a part of the chain was not found"});
                } else {
                    finish(NoSuchTurn{});
                }
                return;
            }
            // The members asked for the chain lack it or did not respond; try one that is known to have it.
            if (m_openChainRequests == 0 && !m_membersWithTurn.empty()) {
                requestChain();
            }
            if (m_openRequests == 0) {
                retryOrFail();
            }
            return;
        }
        if (needsQuorum() && !hasWriteQuorum(m_client.m_rule, m_client.m_group, m_reservedDisks)) {
            if (m_openRequests == 0) {
                retryOrFail();
            }
            return;
        }
        if (m_start.budget) {
            decideOnBudget();
        } else {
            finish(granted());
        }
    }

    /** @return whether a write quorum has to reserve the tokens of the turn or to have room for it */
    bool needsQuorum() const
    {
        return m_start.budget || m_start.inputBytes > 0;
    }

    /** Retries once through a relay if this process can't reach a quorum itself; otherwise the begin request fails. */
    void retryOrFail()
    {
        if (m_isStoreFull) {
            finish(NoRoom{"turn stores are full"});
            return;
        }
        const bool canUseRelay = m_client.isIsolated() && m_client.m_peers.hasRelays();
        if (!canUseRelay || std::exchange(m_hasRetried, true)) {
            finish(TurnsUnavailable{"too few turn stores answered"});
            return;
        }
        abandonReservation();
        sendRequests();
    }

    void decideOnBudget()
    {
        switch (checkBudget(m_budgetEntries, m_reservation, *m_start.budget)) {
        case BudgetDecision::Granted:
            finish(granted());
            return;
        case BudgetDecision::Spent:
            finish(BudgetSpent{});
            return;
        case BudgetDecision::Contended:
            break;
        }
        if (++m_contentions > maxContentionRetries) {
            finish(BudgetSpent{});
            return;
        }
        abandonReservation();
        ++m_round;
        m_delayTimer.expires_after(randomContentionDelay());
        m_delayTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_onDone) {
                self->sendRequests();
            }
        });
    }

    TurnGranted granted()
    {
        m_memory->resize(m_prompt.size());
        return {std::move(m_prompt), m_engine, m_reservation, isUnderWay(m_budgetEntries, m_reservation), m_memory};
    }

    void abandonReservation()
    {
        if (!m_reservation.value().empty()) {
            m_client.releaseReservation(m_start.program, m_reservation);
        }
    }

    void finish(TurnStartResult result)
    {
        if (!m_onDone) {
            return;
        }
        m_timeoutTimer.cancel();
        m_delayTimer.cancel();
        if (!std::holds_alternative<TurnGranted>(result)) {
            abandonReservation();
        }
        const StartHandler handler = std::exchange(m_onDone, nullptr);
        handler(std::move(result));
    }

    TurnClient &m_client;
    const TurnStart m_start;
    StartHandler m_onDone;
    boost::asio::steady_timer m_timeoutTimer;
    boost::asio::steady_timer m_delayTimer;
    int m_round = 0;
    int m_groupChanges = 0;
    int m_contentions = 0;
    std::size_t m_openRequests = 0;
    std::size_t m_openChainRequests = 0;
    AttemptId m_reservation;
    RespondingDisks m_reservedDisks;
    BudgetEntries m_budgetEntries;
    /** The memory of the prompt. */
    std::shared_ptr<base::MemoryBudget::Share> m_memory;
    std::string m_prompt;
    std::string m_engine;
    /** The newest turn of the chain that is still missing; empty once the chain is complete. */
    TurnId m_missingTurn;
    std::vector<StoreMember> m_membersWithTurn;
    RespondingDisks m_disksWithoutTurn;
    std::unordered_set<StoreName> m_chainRequested;
    bool m_isTurnKnown = false;
    bool m_isStoreFull = false;
    bool m_isHedgeDelayOver = false;
    bool m_hasRetried = false;
};

void TurnClient::begin(const TurnStart &start, StartHandler onDone)
{
    std::make_shared<BeginOperation>(*this, start, std::move(onDone))->run();
}

}
