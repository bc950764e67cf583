#pragma once

#include "base/digest.h"
#include "base/memorybudget.h"
#include "base/units.h"
#include "dispatch/loadbalancer.h"
#include "dispatch/permitwait.h"
#include "dispatch/requestpriority.h"
#include "placement/crash.h"
#include "requests/exchangerecord.h"
#include "requests/messages.h"
#include "requests/routing.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace briarhinge::stages
{

/** What is known of a request on its way through an entry. The stages and attempts of one request share it. */
class RequestState
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param arrivedAt time at which the last byte of the request was read */
    explicit RequestState(Time arrivedAt);

    /** A request is not sent to a runner when less time is left than the network round trip takes. */
    static constexpr base::Milliseconds minRemainingTime{15};

    /** @return whether the turn is stored, so that later turns may continue it */
    bool isStoredTurn() const;

    /** @return whether the request begins a chain; where turns are not stored, it can't be told from a later turn */
    bool isFirstTurn() const;

    /** @return whether the tokens of the response count against the budget of a program */
    bool hasBudget() const;

    /** @return whether turn stores are asked before the request may run */
    bool isTurn() const;

    /** @return whether the request may be the first one of a program, as far as it shows that itself */
    bool mayBeginProgram() const;

    /** @return what decides the order in which the request runs */
    dispatch::RequestPriority priority() const;

    /** @return how far the program of the request has come, as far as that is known */
    dispatch::ProgramStage programStage() const;

    /** @return time until the deadline of the request */
    base::Milliseconds remainingTime() const;

    /**
     * @param start time at which the request is sent to a runner
     * @return time at which its caller has an answer or may ask elsewhere: a request that must not be executed twice
     * may need all of its time, the answer to another one is usually there within the latency target of its route
     */
    Time latestEnd(Time start) const;

    /** @return time since the request arrived */
    base::Milliseconds elapsedTime() const;

    /** @return number of tokens that each event of a response counts for */
    std::uint64_t tokensPerEvent() const;

    /** @return what the request asks for; valid until the state is destroyed */
    placement::RequestContent content();

    /** @return the digest of content(), which does not change once the request can be placed */
    const base::Digest &digest();

    const Time arrivedAt;
    Time deadline;
    requests::CallerRequest request;
    std::shared_ptr<const requests::Routing> routing;
    const requests::Route *route = nullptr;
    /** The caller's account, of the routing above; null when there is none. */
    const accounts::Account *account = nullptr;
    /** Whether the request begins a program; empty as long as that is not known. */
    std::optional<bool> beginsProgram;
    /**
     * Part of its quota that the account has used lately, as a multiple of the mean part of all accounts; empty if the
     * account has no cap, or the request can't begin a program.
     */
    std::optional<double> relativeUse;
    /** Inputs and outputs of the preceding turns of the chain. */
    std::string prompt;
    /** The memory of the prompt. */
    std::shared_ptr<base::MemoryBudget::Share> promptMemory;
    /** Number of tokens that the caller was sent. */
    base::Tokens deliveredTokens;
    dispatch::PlacementRequest placementRequest;
    dispatch::Placement placement;
    requests::ExchangeRecord record;
    /** Whether a runner may have executed the request. */
    bool mayHaveRun = false;

private:
    /** Method, host and path; empty until they are needed. */
    std::string m_target;
    /** Empty until it is needed. */
    base::Digest m_digest;
};

}
