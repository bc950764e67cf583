#include "forwarding/usageclient.h"

#include "accounts/scope.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

namespace
{

using boost::system::error_code;

/** A turn store answers within a round trip of 1 to 6 ms; one that takes this long does not help the request any more. */
constexpr base::Milliseconds replyTimeout{100};
/** Turn stores that may stay silent before a request is refused: it should be answered within 250 ms. */
constexpr int maxSilentKeepers = 2;
/** Callers come back within a third of the time that they have left; a later time would keep them from coming at all. */
constexpr base::Milliseconds longestReturn{2000};

std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

}

/** A request that waits for a permit. */
struct UsageClient::Waiter
{
    base::ProgramId program;
    bool mayBeginProgram = false;
    UsageHandler onResult;
    int silentKeepers = 0;
};

/** The requests of one account that wait. */
struct UsageClient::Queue
{
    accounts::UsageCap cap;
    std::uint64_t version = 0;
    std::vector<Waiter> waiters;
    std::uint32_t returnedStarts = 0;
    bool isAsking = false;
};

/** A message to a turn store, and the requests that it is for. */
struct UsageClient::PendingRequest
{
    PendingRequest(boost::asio::io_context &context, base::AccountId asked, dispatch::KeeperId askedKeeper)
        : account(std::move(asked))
        , keeper(std::move(askedKeeper))
        , sentAt(steadyNow())
        , timer(context, replyTimeout)
    {
    }

    const base::AccountId account;
    const dispatch::KeeperId keeper;
    const Time sentAt;
    std::vector<Waiter> waiters;
    boost::asio::steady_timer timer;
    bool isDone = false;
};

UsageClient::UsageClient(boost::asio::io_context &context, turns::TurnClient &stores, base::Milliseconds permitLifetime,
                         std::function<std::size_t()> entryCount)
    : m_context(context)
    , m_stores(stores)
    , m_entryCount(std::move(entryCount))
    , m_stock(permitLifetime)
{
}

UsageClient::~UsageClient() = default;

void UsageClient::setKeepers(std::vector<dispatch::KeeperId> keepers)
{
    m_permits.setKeepers(keepers);
    m_starts.setKeepers(std::move(keepers));
}

void UsageClient::acquire(const accounts::UsageNeed &need, UsageHandler onResult)
{
    const auto now = steadyNow();
    const base::AccountId &account = need.account.id;
    Queue &queue = m_queues[account];
    queue.cap = *need.account.cap;
    queue.version = std::max(queue.version, need.version);
    if (!need.mayBeginProgram) {
        if (const auto permit = m_stock.take(account, now)) {
            if (!need.program.value().empty()) {
                m_programSize.recordRequest();
            }
            if (!queue.isAsking && m_stock.isLow(account, now)) {
                ask(account, queue);
            }
            onResult(accounts::UsageAllowed{*permit});
            return;
        }
    }
    queue.waiters.push_back({need.program, need.mayBeginProgram, std::move(onResult)});
    if (!queue.isAsking) {
        ask(account, queue);
    }
}

bool UsageClient::takeAtHand(const base::AccountId &account)
{
    return m_stock.take(account, steadyNow()).has_value();
}

void UsageClient::giveBack(const base::AccountId &account, const accounts::UsageAllowed &allowed)
{
    m_stock.giveBack(account, allowed.permit);
    if (allowed.beginsProgram) {
        ++m_queues[account].returnedStarts;
    }
}

std::optional<dispatch::KeeperId> UsageClient::chooseKeeper(const base::AccountId &account, const Queue &queue,
                                                            Time now)
{
    const bool hasOthers = std::any_of(queue.waiters.begin(), queue.waiters.end(), [](const Waiter &waiter) {
        return !waiter.mayBeginProgram;
    });
    auto &schedule = hasOthers || queue.waiters.empty() ? m_permits : m_starts;
    return schedule.chooseKeeper({account}, now, base::Milliseconds(0));
}

void UsageClient::ask(const base::AccountId &account, Queue &queue)
{
    if (const auto keeper = chooseKeeper(account, queue, steadyNow())) {
        send(account, queue, *keeper);
    } else {
        refuseWaiters(account, queue);
    }
}

void UsageClient::send(const base::AccountId &account, Queue &queue, const dispatch::KeeperId &keeper)
{
    const auto pending = std::make_shared<PendingRequest>(m_context, account, keeper);
    pending->waiters = std::exchange(queue.waiters, {});
    queue.isAsking = true;
    pending->timer.async_wait([this, pending](const error_code &error) {
        if (!error) {
            keeperSilent(pending);
        }
    });
    const auto store = m_stores.member(turns::DiskId(keeper.value()));
    if (!store) {
        return;
    }
    wire::RequestUsesT request;
    request.account = account.value();
    request.requests_per_second = queue.cap.requestsPerSecond;
    request.burst = queue.cap.burst;
    request.version = queue.version;
    request.requests_per_program = m_programSize.requestsPerProgram();
    request.returned_starts = std::exchange(queue.returnedStarts, 0);
    for (const Waiter &waiter : pending->waiters) {
        if (waiter.mayBeginProgram) {
            request.programs.push_back(accounts::scopedId(account, waiter.program.value()));
        } else {
            ++request.needed;
        }
    }
    request.spare = m_stock.spare(account, pending->sentAt);
    wire::MessageUnion message;
    message.Set(std::move(request));
    m_stores.sendToStore(*store, std::move(message), [this, pending](const wire::ChannelReply &reply) {
        applyReply(pending, reply);
    });
}

void UsageClient::applyReply(const std::shared_ptr<PendingRequest> &pending, const wire::ChannelReply &reply)
{
    const auto *frame = std::get_if<wire::FrameT>(&reply);
    const auto *decision = frame == nullptr ? nullptr : frame->message.AsUsesDecision();
    if (decision == nullptr) {
        keeperSilent(pending);
        return;
    }
    if (std::exchange(pending->isDone, true)) {
        // The requests were sent to another turn store meanwhile; the permits expire unused.
        return;
    }
    pending->timer.cancel();
    const auto now = steadyNow();
    const base::AccountId &account = pending->account;
    m_permits.recordNext(account, pending->keeper, now + base::Milliseconds(decision->next_ms));
    m_starts.recordNext(account, pending->keeper, now + base::Milliseconds(decision->next_start_ms));
    std::uint32_t permits = decision->granted;
    std::uint32_t starts = decision->granted_starts;
    std::size_t program = 0;
    std::vector<std::pair<Waiter, bool>> allowed;
    std::vector<Waiter> waiting;
    for (Waiter &waiter : pending->waiters) {
        const bool begins = waiter.mayBeginProgram && (program >= decision->begins.size() || decision->begins[program]);
        program += waiter.mayBeginProgram ? 1 : 0;
        std::uint32_t &left = begins ? starts : permits;
        if (left > 0) {
            --left;
            allowed.emplace_back(std::move(waiter), begins);
        } else {
            waiter.mayBeginProgram = begins;
            waiting.push_back(std::move(waiter));
        }
    }
    m_stock.add(account, permits, pending->sentAt);
    Queue &queue = m_queues[account];
    queue.waiters.insert(queue.waiters.begin(), std::make_move_iterator(waiting.begin()),
                         std::make_move_iterator(waiting.end()));
    finishRequest(account);
    for (const auto &[waiter, begins] : allowed) {
        allow(waiter, begins, decision->relative_use, pending->sentAt);
    }
}

void UsageClient::keeperSilent(const std::shared_ptr<PendingRequest> &pending)
{
    if (std::exchange(pending->isDone, true)) {
        return;
    }
    pending->timer.cancel();
    const auto now = steadyNow();
    m_permits.recordSilence(pending->keeper, now);
    m_starts.recordSilence(pending->keeper, now);
    std::vector<Waiter> givenUp;
    Queue &queue = m_queues[pending->account];
    for (Waiter &waiter : pending->waiters) {
        (++waiter.silentKeepers >= maxSilentKeepers ? givenUp : queue.waiters).push_back(std::move(waiter));
    }
    finishRequest(pending->account);
    for (const Waiter &waiter : givenUp) {
        waiter.onResult(accounts::UsageUnknown{"no keeper of the account's cap answers"});
    }
}

void UsageClient::finishRequest(const base::AccountId &account)
{
    Queue &queue = m_queues[account];
    queue.isAsking = false;
    if (!queue.waiters.empty()) {
        ask(account, queue);
    }
}

void UsageClient::refuseWaiters(const base::AccountId &account, Queue &queue)
{
    const auto now = steadyNow();
    const bool isAnswered = m_permits.hasKeeper(now);
    std::vector<std::pair<UsageHandler, accounts::UsageResult>> results;
    for (Waiter &waiter : std::exchange(queue.waiters, {})) {
        results.emplace_back(std::move(waiter.onResult),
                             isAnswered ? exceeded(account, queue, waiter.mayBeginProgram, now)
                                        : accounts::UsageUnknown{"no keeper of the account's cap answers"});
    }
    for (const auto &[onResult, result] : results) {
        onResult(result);
    }
}

accounts::UsageResult UsageClient::exceeded(const base::AccountId &account, const Queue &queue, bool isStart, Time now)
{
    const double share = queue.cap.requestsPerSecond / static_cast<double>(m_entryCount());
    const Time next = (isStart ? m_starts : m_permits).nextPermit(account, now);
    const requests::RequestRate rate(isStart ? share / m_programSize.requestsPerProgram() : share);
    auto &returns = isStart ? m_startReturns : m_returns;
    return accounts::UsageExceeded{returns.next(account, next, rate, longestReturn, now), isStart};
}

void UsageClient::allow(const Waiter &waiter, bool beginsProgram, double relativeUse, Time askedAt)
{
    if (!waiter.program.value().empty()) {
        m_programSize.recordRequest();
    }
    if (beginsProgram) {
        m_programSize.recordStart();
    }
    waiter.onResult(accounts::UsageAllowed{{askedAt + m_stock.permitLifetime()}, beginsProgram, relativeUse});
}

}
