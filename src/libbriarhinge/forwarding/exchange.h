#pragma once

#include "dispatch/permitwait.h"
#include "dispatch/urgency.h"
#include "forwarding/eventstream.h"
#include "forwarding/exchangecontext.h"

#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

/**
 * Handles one request of a caller, from its last byte to the end of the response.
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
        , m_startedAt(std::chrono::steady_clock::now())
        , m_timer(context.context)
        , m_trialTimer(context.context)
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
        if (const auto *bad = std::get_if<BadRequest>(&decoded)) {
            m_record.reason = bad->reason;
            respondWithStatus(statusBadRequest, Outcome::Rejected);
            return;
        }
        m_request = std::move(std::get<CallerRequest>(decoded));
        m_record.request = m_request.id.value();
        m_routing = m_shared.routing();
        if (!m_routing) {
            refuse("no routing is known yet", m_shared.retryDelay.recordFailure(now()));
            return;
        }
        m_route = m_routing->find(m_request.host, m_request.path);
        if (m_route == nullptr) {
            m_record.reason = "no route";
            respondWithStatus(statusNotFound, Outcome::Rejected);
            return;
        }
        m_record.route = m_route->name.value();
        m_record.routing = m_routing->version().value();
        const base::Milliseconds callerTimeout = m_request.timeout.value_or(m_route->timeout);
        m_deadline = m_startedAt + std::min(callerTimeout, m_route->timeout);
        m_caller->setDisconnectHandler([self = this->shared_from_this()] {
            self->callerDisconnected();
        });
        m_timer.expires_at(m_deadline);
        m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->deadlineExpired();
            }
        });
        preparePlacement();
        if (isFirstTurn()) {
            const auto load = m_shared.balancer.loadPerSlot(m_placementRequest.service, now());
            if (const auto retryDelay = m_shared.admission.refusal(*m_route, load)) {
                refuse("the runners can't finish another program in time", *retryDelay);
                return;
            }
        }
        if (isTurn()) {
            beginTurn();
        } else {
            admitRequest();
        }
    }

private:
    using Time = std::chrono::steady_clock::time_point;

    static constexpr unsigned statusBadRequest = 400;
    static constexpr unsigned statusBudgetSpent = 402;
    static constexpr unsigned statusNotFound = 404;
    static constexpr unsigned statusBadGateway = 502;
    static constexpr unsigned statusUnavailable = 503;
    static constexpr unsigned statusTimeout = 504;
    static constexpr unsigned firstError = 300;
    static constexpr unsigned firstServerError = 500;
    /** A request is not sent to a runner when less time is left than the network round trip takes. */
    static constexpr base::Milliseconds minRemainingTime{15};
    /**
     * Failed connection attempts after which a request is refused: the remaining runners are likely to have failed as
     * well.
     */
    static constexpr int maxConnectFailures = 3;
    /**
     * Retry delay when all runners are full: requests take about 100 to 200 ms, and several runners finish one in that
     * time.
     */
    static constexpr base::Milliseconds fullRetryDelay{100};
    /** Retry delay when turn stores or runners are unavailable because of a fault. */
    static constexpr base::Milliseconds faultRetryDelay{250};
    /** Keep-alive timeout assumed for a runner that states none. */
    static constexpr base::Milliseconds defaultKeepAliveTimeout{1000};
    /** Maximum wait for the turn stores at the end of a turn; callers wait two seconds for the next bytes. */
    static constexpr base::Milliseconds storeTurnTimeout{1900};
    static constexpr base::Milliseconds trialPollInterval{5};
    /** Requests that many callers send alike must not wait long for a trial that hangs. */
    static constexpr base::Milliseconds maxTrialWait{250};
    /** Permits denied after which only runners without limits are left: many requests compete for few permits. */
    static constexpr int maxDeniedPermits = 4;
    static constexpr base::Milliseconds noPermitWait{-1};
    static constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;

    bool isStoredTurn() const
    {
        return m_route->storesTurns && m_route->kind == RouteKind::Stream;
    }

    /** Whether the request begins a program; where turns are not stored, it can't be told from a later turn. */
    bool isFirstTurn() const
    {
        return isStoredTurn() && m_request.previousTurn.value().empty();
    }

    /** Whether the tokens of the response count against the budget of a program. */
    bool hasBudget() const
    {
        return m_route->kind == RouteKind::Stream && m_request.programBudget.has_value()
            && m_request.maxTokens.value() > 0;
    }

    bool isTurn() const
    {
        return isStoredTurn() || hasBudget();
    }

    Time now() const
    {
        return std::chrono::steady_clock::now();
    }

    base::Milliseconds remainingTime() const
    {
        return std::chrono::duration_cast<base::Milliseconds>(m_deadline - now());
    }

    base::Milliseconds elapsedTime() const
    {
        return std::chrono::duration_cast<base::Milliseconds>(now() - m_startedAt);
    }

    void beginTurn()
    {
        turns::TurnStart start;
        start.program = m_request.program;
        start.attempt = turns::AttemptId(m_request.id.value());
        start.maxTokens = m_request.maxTokens;
        if (hasBudget()) {
            start.budget = m_request.programBudget;
        }
        if (isStoredTurn()) {
            start.previous = m_request.previousTurn;
        }
        m_shared.turns.begin(start, [self = this->shared_from_this()](turns::TurnStartResult result) {
            self->handleTurnStartResult(std::move(result));
        });
    }

    void handleTurnStartResult(turns::TurnStartResult result)
    {
        m_record.turnWait = elapsedTime();
        if (auto *granted = std::get_if<turns::TurnGranted>(&result)) {
            m_shared.retryDelay.recordSuccess();
            m_reservation = granted->reservation;
            if (m_isFinished) {
                endTurn(std::nullopt);
                return;
            }
            m_prompt = std::move(granted->prompt);
            m_placementRequest.previousRunner = dispatch::RunnerId(granted->engine);
            admitRequest();
            return;
        }
        if (m_isFinished) {
            return;
        }
        if (std::holds_alternative<turns::BudgetSpent>(result)) {
            respondWithStatus(statusBudgetSpent, Outcome::BudgetSpent);
        } else if (std::holds_alternative<turns::NoSuchTurn>(result)) {
            m_record.reason = "no such turn";
            respondWithStatus(statusNotFound, Outcome::Rejected);
        } else {
            refuse(std::get<turns::TurnsUnavailable>(result).reason, m_shared.retryDelay.recordFailure(now()));
        }
    }

    void preparePlacement()
    {
        const std::string &program = m_request.program.value();
        m_placementRequest.service = chooseService(*m_route, program.empty() ? m_request.id.value() : program);
        if (const Service *service = m_routing->service(m_placementRequest.service)) {
            m_placementRequest.engine = service->engine;
        }
        m_placementRequest.promptBlocks = m_request.promptBlocks;
        m_placementRequest.promptTokens = m_request.promptTokens;
    }

    /** Places the request, unless a runner has crashed under it: it then runs alone, or not at all. */
    void admitRequest()
    {
        if (m_isFinished) {
            return;
        }
        if (m_isOnTrial || m_shared.suspects.isEmpty()) {
            placeRequest();
            return;
        }
        switch (m_shared.suspects.admit(content(), now())) {
        case placement::SuspectVerdict::Clear:
            break;
        case placement::SuspectVerdict::RunAlone:
            m_isOnTrial = true;
            m_placementRequest.isSuspect = true;
            break;
        case placement::SuspectVerdict::Wait:
            if (waitForTrial()) {
                return;
            }
            m_placementRequest.isSuspect = true;
            break;
        case placement::SuspectVerdict::Quarantined:
            refuseQuarantined();
            return;
        }
        placeRequest();
    }

    /** @return whether the request waits for the end of another one's trial; it does so for a limited time */
    bool waitForTrial()
    {
        if (!m_trialWaitEnd) {
            m_trialWaitEnd = now() + maxTrialWait;
        }
        if (now() >= *m_trialWaitEnd) {
            return false;
        }
        m_trialTimer.expires_after(trialPollInterval);
        m_trialTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->admitRequest();
            }
        });
        return true;
    }

    void refuseQuarantined()
    {
        m_record.digest = digest().value();
        const std::string reason = "the request, or one that it begins with, has crashed too many runners";
        if (m_mayHaveRun) {
            giveUp(reason);
            return;
        }
        m_record.reason = reason;
        endTurn(std::nullopt);
        m_caller->respond({statusUnavailable, Format::refusal(m_shared.suspects.remainingQuarantine(content(), now()))},
                          {});
        finish(Outcome::Quarantined, statusUnavailable);
    }

    placement::RequestContent content()
    {
        if (m_target.empty()) {
            m_target = m_request.method + ' ' + m_request.host + m_request.target;
        }
        return {m_target, m_prompt, m_request.body, m_route->kind == RouteKind::Stream};
    }

    /** @return the digest of content(), which does not change once the request can be placed */
    const base::Digest &digest()
    {
        if (m_digest.value().empty()) {
            m_digest = placement::contentDigest(content());
        }
        return m_digest;
    }

    void placeRequest()
    {
        if (remainingTime() < minRemainingTime) {
            deadlineExpired();
            return;
        }
        const auto selection = m_shared.balancer.selectRunner(m_placementRequest, now());
        const auto *placement = std::get_if<dispatch::Placement>(&selection);
        if (placement == nullptr) {
            handleNoCapacity(std::get<dispatch::NoCapacity>(selection));
            return;
        }
        m_placement = *placement;
        if (m_placement.permitCandidates.empty()) {
            connect();
        } else {
            acquirePermit();
        }
    }

    /** Waits for a permit of a runner with a limit if that helps; otherwise gives up. */
    void handleNoCapacity(const dispatch::NoCapacity &noCapacity)
    {
        if (!noCapacity.nextPermit) {
            giveUp(noCapacity.hasFullRunners ? "all runners are full" : "no runner is left",
                   noCapacity.hasFullRunners ? fullRetryDelay : faultRetryDelay);
            return;
        }
        const auto stage = isFirstTurn() ? dispatch::ProgramStage::Begins : dispatch::ProgramStage::UnderWay;
        const base::Milliseconds wait = dispatch::permitWait(*m_route, stage, remainingTime());
        if (m_placementRequest.permitWait.count() == 0 && *noCapacity.nextPermit <= now() + wait) {
            m_placementRequest.permitWait = wait;
            placeRequest();
            return;
        }
        const ServiceName &service = m_placementRequest.service;
        const RequestRate share(m_shared.balancer.totalLimit(service).value()
                                / static_cast<double>(m_shared.entryCount()));
        giveUp("all runners are at their limits",
               m_shared.returns.next(service, *noCapacity.nextPermit, share, remainingTime(), now()));
    }

    void acquirePermit()
    {
        m_shared.permits.acquire(m_placement.permitCandidates, m_placementRequest.permitWait,
                                 [self = this->shared_from_this()](const std::optional<dispatch::RunnerId> &runner) {
                                     if (!self->m_isFinished) {
                                         self->handlePermit(runner);
                                     }
                                 });
    }

    void handlePermit(const std::optional<dispatch::RunnerId> &runner)
    {
        const auto placement =
            runner ? m_shared.balancer.placementOn(*runner, m_placementRequest, now()) : std::nullopt;
        if (placement) {
            m_placement = *placement;
            connect();
            return;
        }
        if (++m_deniedPermits == maxDeniedPermits) {
            m_placementRequest.permitWait = noPermitWait;
        }
        placeRequest();
    }

    void connect()
    {
        m_shared.balancer.requestSent(m_placement.id, m_placementRequest);
        m_isPlaced = true;
        m_shared.pool.acquire(m_placement.id, m_placement.address, [self = this->shared_from_this()](auto result) {
            self->handleConnectResult(std::move(result));
        });
    }

    void handleConnectResult(std::variant<std::shared_ptr<http::ClientConnection>, std::string> result)
    {
        auto *connection = std::get_if<std::shared_ptr<http::ClientConnection>>(&result);
        if (m_isFinished) {
            if (connection != nullptr) {
                (*connection)->close();
            }
            return;
        }
        if (connection == nullptr) {
            releasePlacement();
            m_shared.balancer.connectionFailed(m_placement.id, now());
            m_shared.log.attemptFailed(m_record, m_placement, "connect: " + std::get<std::string>(result));
            if (++m_connectFailures >= maxConnectFailures) {
                giveUp("runners can't be reached");
            } else {
                retryElsewhere();
            }
            return;
        }
        m_connection = std::move(*connection);
        if (m_shared.balancer.isLeaving(m_placement.id)) {
            // It said so while the connection was being opened.
            m_connection->close();
            releasePlacement();
            retryElsewhere();
            return;
        }
        send();
    }

    void send()
    {
        ++m_attempts;
        m_mayHaveRun = true;
        m_sentAt = now();
        m_crash = m_shared.suspects.nextCrash(m_placement.id.value(), m_placement.startedAt);
        m_hasHead = false;
        m_response = {};
        m_body.clear();
        m_answerBytes = 0;
        m_memory.clear();
        m_record.responseEnd.reset();
        m_record.runner = m_placement.id.value();
        m_record.estimatedLoad = m_placement.estimatedLoad;
        m_record.cachedTokens = m_placement.cachedTokens.value();
        http::ResponseHandlers handlers;
        handlers.onHead = [self = this->shared_from_this()](const http::ResponseHead &head) {
            return self->headReceived(head);
        };
        handlers.onBody = [self = this->shared_from_this()](std::string_view piece) {
            self->bodyReceived(piece);
        };
        handlers.onEnd = [self = this->shared_from_this()](const http::ResponseEnd &end) {
            self->responseEnded(end);
        };
        const Urgency urgency = dispatch::requestUrgency(*m_route, m_request, elapsedTime());
        m_record.urgency = urgency.value();
        m_connection->send(Format::encode(m_request, m_prompt, m_placement.id, remainingTime(), urgency),
                           m_request.method == "HEAD", std::move(handlers));
    }

    http::HeadAction headReceived(const http::ResponseHead &head)
    {
        RunnerResponse response = Format::decodeResponse(head);
        if (response.isLeaving) {
            // Also in a late answer to another request: it comes from the same process.
            m_shared.runnerLeaves(m_placement, std::chrono::duration_cast<base::Milliseconds>(now() - m_sentAt));
        }
        const bool isLate =
            response.request.value().empty() ? m_connection->isReused() : response.request != m_request.id;
        if (response.statedRate) {
            // A late answer to an earlier request was made at an unknown time.
            m_shared.rateStated(m_placement,
                                {m_placement.startedAt, response.statedRate->limit, isLate ? Time() : m_sentAt, now()});
        }
        if (!response.request.value().empty() && response.request != m_request.id) {
            return http::HeadAction::Skip;
        }
        if (response.request.value().empty() && m_connection->isReused()) {
            // It may be a late copy of the answer to an earlier request.
            abandonAnswer("an answer without an id on a kept connection");
            return http::HeadAction::Accept;
        }
        m_response = std::move(response);
        m_hasHead = true;
        m_shared.balancer.responseStarted(m_placement.id);
        if (m_response.load) {
            m_shared.balancer.loadReported(m_placement.id, *m_response.load, now());
            m_record.reportedLoad = m_response.load->running + m_response.load->waiting;
        }
        const bool isSuccess = m_response.status < firstError && m_response.isSigned;
        if (isSuccess && m_route->kind == RouteKind::Stream && m_response.isEventStream) {
            m_isStreaming = true;
            m_record.firstByte = elapsedTime();
            m_caller->beginResponse({m_response.status, m_response.forwardedHeaders});
        }
        return http::HeadAction::Accept;
    }

    void bodyReceived(std::string_view piece)
    {
        m_answerBytes += piece.size();
        if (m_answerBytes > maxAnswerBytes || !m_memory.grow(piece.size())) {
            abandonAnswer("answer too large");
            return;
        }
        if (!m_isStreaming) {
            m_body += piece;
            return;
        }
        const std::string events = m_events.append(piece);
        if (m_events.eventCount() > maxEvents()) {
            abandonAnswer("more tokens than the request allows");
            return;
        }
        if (!events.empty()) {
            m_lastEventAt = now();
            if (m_initialEventCount == 0) {
                m_firstEventAt = m_lastEventAt;
                m_initialEventCount = m_events.eventCount();
            }
            m_caller->sendChunk(events);
            m_passedEvents = m_events.eventCount();
        }
    }

    /** Ends an attempt whose answer exceeds a limit. */
    void abandonAnswer(const std::string &reason)
    {
        // Closing the connection destroys the handler that is running, which may hold the last reference.
        const auto self = this->shared_from_this();
        m_connection->close();
        attemptLost(reason);
    }

    /** @return maximum number of events in the answer to a turn: an event has at least one token */
    std::size_t maxEvents() const
    {
        if (!isTurn() || m_request.maxTokens.value() == 0) {
            return std::numeric_limits<std::size_t>::max();
        }
        const std::uint64_t perEvent = tokensPerEvent();
        return (m_request.maxTokens.value() + perEvent - 1) / perEvent;
    }

    std::uint64_t tokensPerEvent() const
    {
        return m_placementRequest.engine ? std::max<std::uint64_t>(1, m_placementRequest.engine->tokensPerEvent.value())
                                         : 1;
    }

    void responseEnded(const http::ResponseEnd &end)
    {
        releasePlacement();
        m_record.responseEnd = end;
        m_record.cutBytes = m_events.remainder().size();
        if (end.hasHead && m_response.isNotRun) {
            // The head alone says so.
            responseCompleted();
            return;
        }
        switch (http::completeness(end, contentEnd())) {
        case http::Completeness::Complete:
            responseCompleted();
            return;
        case http::Completeness::BrokenOff:
            responseBrokenOff(end);
            return;
        case http::Completeness::CompleteIfServerLives:
            break;
        }
        m_shared.checkLiveness(m_placement.address, [self = this->shared_from_this(), end](bool lives) {
            if (self->m_isFinished) {
                return;
            }
            lives ? self->responseCompleted() : self->responseBrokenOff(end);
        });
    }

    /** @return where in its content the response ends */
    http::ContentEnd contentEnd() const
    {
        if (!m_isStreaming) {
            return http::ContentEnd::Unknown;
        }
        if (m_events.isInsideEvent()) {
            return http::ContentEnd::InsideItem;
        }
        return m_events.eventCount() == 0 ? http::ContentEnd::BeforeFirstItem : http::ContentEnd::BetweenItems;
    }

    /** Handles the end of a response that is not whole. */
    void responseBrokenOff(const http::ResponseEnd &end)
    {
        if (end.ending == http::Ending::Delimited) {
            // The connection still stands, but what the runner sends on it cannot be trusted.
            m_connection->close();
        } else {
            m_shared.balancer.connectionFailed(m_placement.id, now());
        }
        if (end.ending == http::Ending::Closed || end.ending == http::Ending::Lost) {
            checkRunner();
        }
        attemptLost(end.ending == http::Ending::Invalid ? "malformed answer" : "broken off");
    }

    void responseCompleted()
    {
        m_shared.pool.release(m_placement.id, std::move(m_connection),
                              m_response.isLeaving ? base::Milliseconds(0)
                                                   : m_response.keepAliveTimeout.value_or(defaultKeepAliveTimeout));
        m_connection.reset();
        recordResponse();
        if (!m_response.isNotRun) {
            recordSurvival();
        }
        if (m_isStreaming) {
            streamEnded();
            return;
        }
        if (m_response.isNotRun) {
            handleNotRun();
            return;
        }
        if (!m_response.isSigned && m_response.status < firstError) {
            attemptLost("unsigned success");
            return;
        }
        if (m_response.status >= firstServerError && canRepeat()) {
            m_shared.log.attemptFailed(m_record, m_placement, "status " + std::to_string(m_response.status));
            retryElsewhere();
            return;
        }
        endTurn(std::nullopt);
        m_caller->respond({m_response.status, m_response.forwardedHeaders}, m_body);
        finish(m_response.status < firstError ? Outcome::Served : Outcome::RunnerFailure, m_response.status);
    }

    /** Lets the runner be checked after the connection to it was lost; the trial of the request lasts until then. */
    void checkRunner()
    {
        const placement::CrashedRequest request = placement::crashedRequest(content());
        m_digest = request.digest;
        m_record.digest = request.digest.value();
        m_isOnTrial = false;
        m_shared.connectionLost({m_crash, request});
    }

    /** Clears the request of suspicion: one that crashes runners crashes each that runs it. */
    void recordSurvival()
    {
        if (!m_isOnTrial && m_record.digest.empty()) {
            return;
        }
        m_isOnTrial = false;
        m_shared.suspects.endTrial(digest(), true);
    }

    /** Updates the runner's performance record with the response. */
    void recordResponse()
    {
        if (m_response.isNotRun || m_response.status == statusTimeout) {
            return;
        }
        if (m_response.status >= firstServerError) {
            m_shared.balancer.requestFailed(m_placement.id, now());
        } else if (!m_isStreaming) {
            m_shared.balancer.requestAnswered(m_placement.id, m_route->name, now() - m_sentAt, now());
        } else if (m_events.eventCount() > m_initialEventCount) {
            const auto eventInterval = (m_lastEventAt - m_firstEventAt) / (m_events.eventCount() - m_initialEventCount);
            m_shared.balancer.requestAnswered(m_placement.id, m_route->name, eventInterval, now());
        }
    }

    void retryElsewhere()
    {
        m_placementRequest.excluded.insert(m_placement.id);
        admitRequest();
    }

    /** Whether the route allows the request to be sent to another runner. */
    bool canSendAgain() const
    {
        return m_attempts < static_cast<int>(m_route->maxAttempts);
    }

    /** Whether the request may be sent to another runner although an earlier one may have executed it. */
    bool canRepeat() const
    {
        return m_route->kind == RouteKind::Idempotent && canSendAgain() && remainingTime() > minRemainingTime;
    }

    /** Handles a response that states that the runner did not execute the request. */
    void handleNotRun()
    {
        m_mayHaveRun = m_hasLostAttempt;
        m_shared.log.attemptFailed(m_record, m_placement, m_response.isFromOtherRunner ? "another runner" : "not run");
        if (m_response.isFromOtherRunner) {
            m_shared.balancer.connectionFailed(m_placement.id, now());
        } else {
            m_shared.balancer.requestRefused(m_placement.id, now());
        }
        if (canSendAgain()) {
            retryElsewhere();
            return;
        }
        giveUp("runners refused", fullRetryDelay);
    }

    /** Handles the loss of an attempt whose result is unknown. */
    void attemptLost(const std::string &reason)
    {
        if (m_isFinished) {
            return;
        }
        releasePlacement();
        m_shared.balancer.requestFailed(m_placement.id, now());
        m_hasLostAttempt = true;
        m_shared.log.attemptFailed(m_record, m_placement, reason);
        if (m_isStreaming) {
            m_record.reason = reason;
            endTurn(std::nullopt);
            m_caller->abort();
            finish(Outcome::BrokenOff, 0);
            return;
        }
        if (canRepeat()) {
            retryElsewhere();
            return;
        }
        giveUp(reason);
    }

    void streamEnded()
    {
        if (!m_events.remainder().empty()) {
            m_caller->sendChunk(m_events.remainder());
        }
        if (!isStoredTurn()) {
            endTurn(std::nullopt);
            m_caller->endResponse();
            finish(Outcome::Served, m_response.status);
            return;
        }
        turns::Turn turn;
        turn.id = turns::TurnId(m_request.id.value());
        turn.parent = m_request.previousTurn;
        turn.input = m_request.body;
        turn.output = m_events.data();
        turn.engine = m_placement.id.value();
        m_isStoringTurn = true;
        endTurn(std::move(turn));
    }

    void turnStored(bool isStored)
    {
        if (m_isFinished) {
            return;
        }
        if (!isStored) {
            m_record.reason = "the turn could not be kept";
            m_caller->abort();
            finish(Outcome::BrokenOff, 0);
            return;
        }
        m_caller->endResponse();
        finish(Outcome::Served, m_response.status);
    }

    /** Reports the tokens generated by the attempt to the turn stores, and the turn if there is one to store. */
    void endTurn(std::optional<turns::Turn> turn)
    {
        if (!m_route->storesTurns && m_reservation.value().empty()) {
            return;
        }
        turns::TurnEnd end;
        end.program = m_request.program;
        end.reservation = std::exchange(m_reservation, {});
        end.spent = base::Tokens(m_passedEvents * tokensPerEvent());
        const bool hasTurn = turn.has_value();
        end.turn = std::move(turn);
        m_shared.turns.end(end, storeTurnTimeout, [self = this->shared_from_this(), hasTurn](bool isStored) {
            if (hasTurn) {
                self->turnStored(isStored);
            }
        });
    }

    /**
     * Ends the exchange without another attempt. The status depends on whether an earlier attempt may have been
     * executed.
     */
    void giveUp(const std::string &reason, base::Milliseconds retryDelay = faultRetryDelay)
    {
        if (m_mayHaveRun) {
            m_record.reason = reason;
            endTurn(std::nullopt);
            respondWithStatus(statusBadGateway, Outcome::Unknown);
            return;
        }
        refuse(reason, retryDelay);
    }

    /**
     * Refuses a request that no runner has executed.
     *
     * @param reason reason for the log
     * @param retryDelay delay after which the caller may retry
     */
    void refuse(const std::string &reason, base::Milliseconds retryDelay = faultRetryDelay)
    {
        m_record.reason = reason;
        if (m_route != nullptr) {
            endTurn(std::nullopt);
        }
        m_caller->respond({statusUnavailable, Format::refusal(retryDelay)}, {});
        finish(Outcome::Refused, statusUnavailable);
    }

    void respondWithStatus(unsigned status, Outcome outcome)
    {
        m_caller->respond({status, {}}, {});
        finish(outcome, status);
    }

    void deadlineExpired()
    {
        if (m_isFinished || m_isStoringTurn) {
            // Storing a turn has a timeout of its own, which is as short.
            return;
        }
        cancelAttempt();
        m_record.reason = "time limit";
        if (m_isStreaming) {
            endTurn(std::nullopt);
            m_caller->abort();
            finish(Outcome::TimedOut, 0);
        } else if (m_mayHaveRun) {
            endTurn(std::nullopt);
            respondWithStatus(statusTimeout, Outcome::TimedOut);
        } else {
            refuse("time limit before a runner was found");
        }
    }

    void callerDisconnected()
    {
        if (m_isFinished) {
            return;
        }
        cancelAttempt();
        if (!m_isStoringTurn) {
            endTurn(std::nullopt);
        }
        finish(Outcome::CallerLeft, 0);
    }

    void cancelAttempt()
    {
        if (m_isPlaced && m_connection && !m_hasHead) {
            m_shared.balancer.requestStalled(m_placement.id, m_route->name, now() - m_sentAt, now());
        }
        releasePlacement();
        if (m_connection) {
            m_connection->close();
            m_connection.reset();
        }
    }

    void releasePlacement()
    {
        if (std::exchange(m_isPlaced, false)) {
            m_shared.balancer.requestEnded(m_placement.id);
        }
    }

    void finish(Outcome outcome, unsigned status)
    {
        if (std::exchange(m_isFinished, true)) {
            return;
        }
        releasePlacement();
        m_timer.cancel();
        m_trialTimer.cancel();
        if (std::exchange(m_isOnTrial, false)) {
            m_shared.suspects.endTrial(digest(), false);
        }
        m_caller->setDisconnectHandler(nullptr);
        m_record.duration = elapsedTime();
        m_record.attempts = m_attempts;
        m_record.events = m_events.eventCount();
        m_shared.log.ended(m_record, outcome, status);
    }

    ExchangeContext &m_shared;
    const std::shared_ptr<http::ServerConnection> m_caller;
    const Time m_startedAt;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_trialTimer;
    Time m_deadline;
    CallerRequest m_request;
    std::shared_ptr<const Routing> m_routing;
    const Route *m_route = nullptr;
    std::string m_prompt;
    /** Method, host and path; empty until they are needed. */
    std::string m_target;
    /** Empty until it is needed. */
    base::Digest m_digest;
    turns::AttemptId m_reservation;
    dispatch::PlacementRequest m_placementRequest;
    dispatch::Placement m_placement;
    std::shared_ptr<http::ClientConnection> m_connection;
    RunnerResponse m_response;
    std::string m_body;
    EventStream m_events;
    BufferMemory::Share m_memory;
    /** Bytes of the body of the current attempt's response. */
    std::size_t m_answerBytes = 0;
    Time m_sentAt;
    /** The crash that the current attempt would cause. */
    placement::CrashId m_crash;
    /** End of the wait for the trial of another request with the same content. */
    std::optional<Time> m_trialWaitEnd;
    Time m_firstEventAt;
    Time m_lastEventAt;
    /** Number of events with data that the caller was sent. */
    std::size_t m_passedEvents = 0;
    /** Number of events in the first piece of the response that completed any. */
    std::size_t m_initialEventCount = 0;
    ExchangeRecord m_record;
    int m_attempts = 0;
    int m_connectFailures = 0;
    int m_deniedPermits = 0;
    bool m_isPlaced = false;
    /** Whether the request has the trial of its content. */
    bool m_isOnTrial = false;
    bool m_mayHaveRun = false;
    /** Whether the runner has started to respond to the current attempt. */
    bool m_hasHead = false;
    bool m_hasLostAttempt = false;
    bool m_isStreaming = false;
    bool m_isStoringTurn = false;
    bool m_isFinished = false;
};

}
