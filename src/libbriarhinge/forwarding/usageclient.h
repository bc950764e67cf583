#pragma once

#include "accounts/programsize.h"
#include "accounts/usageresult.h"
#include "accounts/usagestock.h"
#include "dispatch/permitschedule.h"
#include "dispatch/returnschedule.h"
#include "turns/turnclient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::forwarding
{

/**
 * Gets permits for the requests of client accounts. The turn stores grant them; each has an equal share of every cap. An
 * account has one message under way at a time, for all of its requests that wait. All methods must be called on one thread.
 */
class UsageClient
{
public:
    /** Receives the result; called exactly once, possibly before acquire() returns. */
    using UsageHandler = std::function<void(const accounts::UsageResult &)>;

    /**
     * @param context runs the timers
     * @param stores the turn stores
     * @param permitLifetime how long a permit may be used after it was asked for
     * @param entryCount returns the number of entries, including this one
     */
    UsageClient(boost::asio::io_context &context, turns::TurnClient &stores, base::Milliseconds permitLifetime,
                std::function<std::size_t()> entryCount);
    ~UsageClient();

    /** @param keepers the turn stores that share each cap */
    void setKeepers(std::vector<dispatch::KeeperId> keepers);

    /**
     * Gets a permit for one request: one at hand, or from the turn stores.
     *
     * @param need the request
     * @param onResult receives the result
     */
    void acquire(const accounts::UsageNeed &need, UsageHandler onResult);

    /**
     * Takes a permit for a second try of a request, which is worth none that others wait for.
     *
     * @param account the account
     * @return whether a permit was at hand
     */
    bool takeAtHand(const base::AccountId &account);

    /**
     * Takes a permit back for a request that no runner got.
     *
     * @param account the account
     * @param allowed the permit
     */
    void giveBack(const base::AccountId &account, const accounts::UsageAllowed &allowed);

private:
    using Time = accounts::UsageStock::Time;
    struct Waiter;
    struct Queue;
    struct PendingRequest;

    void ask(const base::AccountId &account, Queue &queue);
    void send(const base::AccountId &account, Queue &queue, const dispatch::KeeperId &keeper);
    void applyReply(const std::shared_ptr<PendingRequest> &pending, const wire::ChannelReply &reply);
    void keeperSilent(const std::shared_ptr<PendingRequest> &pending);
    void finishRequest(const base::AccountId &account);
    std::optional<dispatch::KeeperId> chooseKeeper(const base::AccountId &account, const Queue &queue, Time now);
    void refuseWaiters(const base::AccountId &account, Queue &queue);
    accounts::UsageResult exceeded(const base::AccountId &account, const Queue &queue, bool isStart, Time now);
    void allow(const Waiter &waiter, bool beginsProgram, double relativeUse, Time askedAt);

    boost::asio::io_context &m_context;
    turns::TurnClient &m_stores;
    const std::function<std::size_t()> m_entryCount;
    accounts::UsageStock m_stock;
    accounts::ProgramSize m_programSize;
    /** When each keeper next has a permit, and a permit for a request that begins a program. */
    dispatch::PermitSchedule<base::AccountId> m_permits;
    dispatch::PermitSchedule<base::AccountId> m_starts;
    dispatch::ReturnSchedule<base::AccountId> m_returns;
    dispatch::ReturnSchedule<base::AccountId> m_startReturns;
    std::unordered_map<base::AccountId, Queue> m_queues;
};

}
