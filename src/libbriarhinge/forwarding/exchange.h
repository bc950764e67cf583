#pragma once

#include "forwarding/attempt.h"
#include "forwarding/secondtry.h"
#include "stages/accountstage.h"
#include "stages/deadlinestage.h"
#include "stages/placementstage.h"
#include "stages/programstage.h"
#include "stages/routestage.h"
#include "stages/stopstage.h"
#include "stages/suspectstage.h"
#include "stages/turnstage.h"
#include "stages/usagestage.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace briarhinge::forwarding
{

/**
 * Handles one request of a caller, from its last byte to the end of the response: lets it pass the stages, then makes
 * attempts at runners and merges what they come to.
 *
 * The status sent to the caller depends on whether the request may have been executed: a response that invites a retry
 * is only given while no runner can have started the request.
 */
template <RequestFormat Format>
class Exchange : public std::enable_shared_from_this<Exchange<Format>>
{
public:
    /**
     * @param context state shared by all exchanges of the entry
     * @param caller the caller's connection
     */
    Exchange(ExchangeContext &context, std::shared_ptr<http::ServerConnection> caller)
        : m_shared(context)
        , m_caller(std::move(caller))
        , m_state(std::chrono::steady_clock::now())
        , m_routeStage(m_state, context.routing, context.retryDelay)
        , m_stopStage(m_state, context.stopDeadline)
        , m_deadlineStage(m_state, context.context,
                          [this] {
                              deadlineExpired();
                          })
        , m_accountStage(m_state, context.knowledge)
        , m_usageStage(m_state, context.usage)
        , m_turnStage(m_state, context.turns, context.retryDelay)
        , m_programStage(m_state, context.balancer, context.admission)
        , m_suspectStage(m_state, context.suspects, context.context)
        , m_placementStage(m_state, context.balancer, context.permits, context.returns, context.entryCount)
        , m_stages(m_routeStage, m_stopStage, m_deadlineStage, m_accountStage, m_usageStage, m_turnStage,
                   m_programStage, m_suspectStage, m_placementStage, m_stopStage)
        , m_secondTry(context, m_state)
        , m_memory(context.memory)
    {
    }

    /**
     * Starts processing a request.
     *
     * @param incoming the request
     */
    void start(http::IncomingRequest incoming)
    {
        auto decoded = Format::decode(std::move(incoming));
        if (const auto *bad = std::get_if<requests::BadRequest>(&decoded)) {
            m_state.record.reason = bad->reason;
            respondWithStatus(statusBadRequest, requests::Outcome::Rejected);
            return;
        }
        m_state.request = std::move(std::get<requests::CallerRequest>(decoded));
        m_state.record.request = m_state.request.id.value();
        m_caller->setDisconnectHandler([self = this->shared_from_this()] {
            self->callerDisconnected();
        });
        enterStages<stages::RouteStage>();
    }

private:
    using PlacementStage = stages::PlacementStage<PermitClient>;
    using TurnStage = stages::TurnStage<turns::TurnClient>;
    using UsageStage = stages::UsageStage<UsageClient>;

    static constexpr unsigned statusBadRequest = 400;
    static constexpr unsigned statusBadGateway = 502;
    static constexpr unsigned statusTimeout = 504;
    static constexpr unsigned firstError = 300;
    static constexpr unsigned firstServerError = 500;
    /**
     * Failed connection attempts after which a request is refused: the remaining runners are likely to have failed as
     * well.
     */
    static constexpr int maxConnectFailures = 3;
    /** Retry delay when runners refused: requests take 100 to 200 ms, and several runners finish one in that time. */
    static constexpr base::Milliseconds fullRetryDelay{100};

    template <stages::Stage First>
    void enterStages()
    {
        m_stages.template enter<First>([self = this->shared_from_this()](stages::StageResult result) {
            self->stagesPassed(std::move(result));
        });
    }

    void stagesPassed(stages::StageResult result)
    {
        if (m_isFinished) {
            return;
        }
        if (const auto *refusal = std::get_if<stages::Refusal>(&result)) {
            refuse(*refusal);
        } else if (std::holds_alternative<stages::OutOfTime>(result)) {
            deadlineExpired();
        } else if (!reserveMemory()) {
            giveUp("no memory for the request", stages::memoryRetryDelay);
        } else {
            const bool isFirstTry = m_state.record.attempts == 0;
            startAttempt(m_state.placement);
            if (isFirstTry && !m_isFinished) {
                m_secondTry.schedule([self = this->shared_from_this()] {
                    self->answerIsLate();
                });
            }
        }
    }

    void answerIsLate()
    {
        if (m_isFinished || m_attempts.size() != 1 || !canRepeat()) {
            return;
        }
        const auto second = m_secondTry.decide(m_attempts.front()->placement());
        if (second && reserveMemory()) {
            startAttempt(*second);
        }
    }

    /** Reserves the memory for another attempt and for what follows it. @return whether there is enough */
    bool reserveMemory()
    {
        const std::size_t bodyBytes = m_state.request.body.size();
        const std::size_t sentBytes = m_state.prompt.size() + bodyBytes;
        const std::size_t storedCopies = m_state.isStoredTurn() ? m_shared.turns.copiesWhileStoring() : 0;
        return m_memory.resize((m_attempts.size() + 1) * sentBytes + storedCopies * bodyBytes);
    }

    void startAttempt(const dispatch::Placement &placement)
    {
        AttemptHandlers handlers;
        handlers.onStream = [self = this->shared_from_this()](const requests::RunnerResponse &response) {
            self->streamStarted(response);
        };
        handlers.onEvents = [self = this->shared_from_this()](std::string_view events, std::size_t eventCount) {
            self->m_caller->sendChunk(events);
            self->m_state.deliveredTokens = base::Tokens(eventCount * self->m_state.tokensPerEvent());
        };
        const std::size_t number = m_attemptCount++;
        handlers.onEnd = [self = this->shared_from_this(), number](const AttemptEnd &end) {
            self->attemptEnded(number, end);
        };
        const auto attempt =
            std::make_shared<Attempt<Format>>(m_shared, m_state, number, placement, std::move(handlers));
        m_attempts.push_back(attempt);
        attempt->start();
    }

    void streamStarted(const requests::RunnerResponse &response)
    {
        m_streamStatus = response.status;
        m_state.record.firstByte = m_state.elapsedTime();
        m_caller->beginResponse({response.status, response.forwardedHeaders});
    }

    bool isStreaming() const
    {
        return m_streamStatus != 0;
    }

    void attemptEnded(std::size_t number, const AttemptEnd &end)
    {
        if (m_isFinished) {
            return;
        }
        const auto ended = std::find_if(m_attempts.begin(), m_attempts.end(), [number](const auto &attempt) {
            return attempt->number() == number;
        });
        m_attempt = *ended;
        m_attempts.erase(ended);
        if (!m_attempts.empty() && !isAnswer(end)) {
            // The other one may still be answered.
            m_hasLostAttempt = m_hasLostAttempt || std::holds_alternative<Lost>(end);
            m_state.placementRequest.excluded.insert(m_attempt->placement().id);
            logFailure("one of two tries");
            return;
        }
        std::visit(
            [this](const auto &result) {
                this->handleEnd(result);
            },
            end);
    }

    /** @return whether an attempt ended with what the caller is sent, other tries or not */
    static bool isAnswer(const AttemptEnd &end)
    {
        const auto *answer = std::get_if<WholeAnswer>(&end);
        return std::holds_alternative<WholeStream>(end)
            || (answer != nullptr && answer->response.status < firstServerError);
    }

    /** Ends the tries that have not been answered. */
    void supersedeOthers()
    {
        if (m_attempts.empty()) {
            return;
        }
        const bool isFirst = m_attempt->number() < m_attempts.front()->number();
        m_shared.metrics.secondTry(isFirst ? "superseded" : "won");
        for (const auto &other : std::exchange(m_attempts, {})) {
            other->supersede();
        }
    }

    void handleEnd(const NotConnected &end)
    {
        logFailure(end.reason);
        if (++m_connectFailures >= maxConnectFailures) {
            giveUp("runners can't be reached");
        } else {
            retryElsewhere();
        }
    }

    void handleEnd(const RunnerLeft &)
    {
        retryElsewhere();
    }

    void handleEnd(const NotRun &end)
    {
        m_state.mayHaveRun = m_hasLostAttempt;
        logFailure(end.isFromOtherRunner ? "another runner" : "not run");
        if (canSendAgain()) {
            retryElsewhere();
        } else {
            giveUp("runners refused", fullRetryDelay);
        }
    }

    void handleEnd(const WholeAnswer &answer)
    {
        m_suspectStage.recordSurvival();
        const unsigned status = answer.response.status;
        if (status >= firstServerError && canRepeat()) {
            logFailure("status " + std::to_string(status));
            retryElsewhere();
            return;
        }
        supersedeOthers();
        m_state.record.runner = m_attempt->placement().id.value();
        if (status < firstError && m_state.route->kind == requests::RouteKind::Idempotent) {
            m_shared.secondTries.requestAnswered(m_state.route->name, m_state.elapsedTime());
        }
        m_caller->respond({status, answer.response.forwardedHeaders}, answer.body);
        finish(status < firstError ? requests::Outcome::Served : requests::Outcome::RunnerFailure, status);
    }

    void handleEnd(const WholeStream &stream)
    {
        m_suspectStage.recordSurvival();
        if (!m_state.isStoredTurn()) {
            endStream();
            return;
        }
        m_isStoringTurn = true;
        m_turnStage.storeTurn(stream.data, m_attempt->placement().id, [self = this->shared_from_this()](bool isStored) {
            self->turnStored(isStored);
        });
    }

    void turnStored(bool isStored)
    {
        if (m_isFinished) {
            return;
        }
        if (isStored) {
            endStream();
        } else {
            breakOff("the turn could not be kept", requests::Outcome::BrokenOff);
        }
    }

    void endStream()
    {
        m_caller->endResponse();
        finish(requests::Outcome::Served, m_streamStatus);
    }

    /** Handles the loss of an attempt whose result is unknown. */
    void handleEnd(const Lost &end)
    {
        if (end.isWholeResponse) {
            m_suspectStage.recordSurvival();
        }
        if (end.isConnectionLost) {
            m_shared.connectionLost({m_attempt->crash(), m_suspectStage.recordLostConnection()});
        }
        m_hasLostAttempt = true;
        logFailure(end.reason);
        if (isStreaming()) {
            breakOff(end.reason, requests::Outcome::BrokenOff);
        } else if (canRepeat()) {
            retryElsewhere();
        } else {
            giveUp(end.reason);
        }
    }

    void logFailure(const std::string &reason)
    {
        m_shared.log.attemptFailed(m_state.record, m_attempt->placement(), reason);
    }

    void retryElsewhere()
    {
        m_state.placementRequest.excluded.insert(m_attempt->placement().id);
        enterStages<stages::SuspectStage>();
    }

    /** Whether the route allows the request to be sent to another runner. */
    bool canSendAgain() const
    {
        return m_state.record.attempts < static_cast<int>(m_state.route->maxAttempts);
    }

    /** Whether the request may be sent to another runner although an earlier one may have executed it. */
    bool canRepeat() const
    {
        return m_state.route->kind == requests::RouteKind::Idempotent && canSendAgain()
            && m_state.remainingTime() > stages::RequestState::minRemainingTime;
    }

    /** Ends the exchange without another attempt. */
    void giveUp(const std::string &reason, base::Milliseconds retryDelay = stages::faultRetryDelay)
    {
        refuse(stages::refusal(reason, retryDelay));
    }

    /** Ends the exchange; the status depends on whether an earlier attempt may have been executed. */
    void refuse(const stages::Refusal &refusal)
    {
        m_state.record.reason = refusal.reason;
        if (m_state.mayHaveRun) {
            respondWithStatus(statusBadGateway, requests::Outcome::Unknown);
            return;
        }
        http::Headers headers;
        if (refusal.retryDelay) {
            headers = Format::refusal(*refusal.retryDelay);
        } else if (refusal.status == stages::statusUnauthorized) {
            headers = Format::challenge();
        }
        m_caller->respond({refusal.status, headers}, {});
        finish(refusal.outcome, refusal.status);
    }

    void respondWithStatus(unsigned status, requests::Outcome outcome)
    {
        m_caller->respond({status, {}}, {});
        finish(outcome, status);
    }

    /** Ends a response that has begun so that the caller sees that it is not whole. */
    void breakOff(const std::string &reason, requests::Outcome outcome)
    {
        m_state.record.reason = reason;
        m_caller->abort();
        finish(outcome, 0);
    }

    void deadlineExpired()
    {
        if (m_isFinished || m_isStoringTurn) {
            // Storing a turn has a timeout of its own, which is as short.
            return;
        }
        cancelAttempt();
        if (isStreaming()) {
            breakOff("time limit", requests::Outcome::TimedOut);
        } else if (m_state.mayHaveRun) {
            m_state.record.reason = "time limit";
            respondWithStatus(statusTimeout, requests::Outcome::TimedOut);
        } else {
            refuse(stages::refusal("time limit before a runner was found"));
        }
    }

    void callerDisconnected()
    {
        if (m_isFinished) {
            return;
        }
        cancelAttempt();
        finish(requests::Outcome::CallerLeft, 0);
    }

    void cancelAttempt()
    {
        for (const auto &attempt : std::exchange(m_attempts, {})) {
            if (attempt->isUnanswered()) {
                m_shared.unanswered.record(
                    {attempt->crash(), placement::crashedRequest(m_state.content()), attempt->placement().address},
                    std::chrono::steady_clock::now());
            }
            attempt->cancel();
        }
    }

    void finish(requests::Outcome outcome, unsigned status)
    {
        if (std::exchange(m_isFinished, true)) {
            return;
        }
        m_stages.leave();
        m_secondTry.cancel();
        m_attempts.clear();
        m_attempt.reset();
        m_memory.clear();
        m_caller->setDisconnectHandler(nullptr);
        m_state.record.duration = m_state.elapsedTime();
        m_shared.log.ended(m_state.record, outcome, status);
    }

    ExchangeContext &m_shared;
    const std::shared_ptr<http::ServerConnection> m_caller;
    stages::RequestState m_state;
    stages::RouteStage m_routeStage;
    stages::StopStage m_stopStage;
    stages::DeadlineStage m_deadlineStage;
    stages::AccountStage m_accountStage;
    UsageStage m_usageStage;
    TurnStage m_turnStage;
    stages::ProgramStage m_programStage;
    stages::SuspectStage m_suspectStage;
    PlacementStage m_placementStage;
    stages::StageRow<stages::RouteStage, stages::StopStage, stages::DeadlineStage, stages::AccountStage, UsageStage,
                     TurnStage, stages::ProgramStage, stages::SuspectStage, PlacementStage, stages::StopStage>
        m_stages;
    SecondTry m_secondTry;
    /** Memory for the requests to runners and the turn to be stored. */
    base::MemoryBudget::Share m_memory;
    /** The attempts under way, in the order in which they began. */
    std::vector<std::shared_ptr<Attempt<Format>>> m_attempts;
    /** The attempt that ended last. */
    std::shared_ptr<Attempt<Format>> m_attempt;
    std::size_t m_attemptCount = 0;
    /** Status of the stream that the caller is being sent; 0 when there is none. */
    unsigned m_streamStatus = 0;
    int m_connectFailures = 0;
    bool m_hasLostAttempt = false;
    bool m_isStoringTurn = false;
    bool m_isFinished = false;
};

}
