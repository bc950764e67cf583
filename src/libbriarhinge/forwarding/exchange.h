#pragma once

#include "dispatch/retryadvice.h"
#include "dispatch/runnerboard.h"
#include "dispatch/urgency.h"
#include "forwarding/eventstream.h"
#include "forwarding/exchangelog.h"
#include "forwarding/messages.h"
#include "forwarding/routing.h"
#include "forwarding/runnerpool.h"
#include "http/serverconnection.h"
#include "turns/turnclient.h"

#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

/** Encodes and decodes requests and responses. */
template <class T>
concept RequestFormat = requires(http::IncomingRequest incoming, const CallerRequest &request,
                                 const std::string &prompt, const dispatch::RunnerId &runner, base::Milliseconds left,
                                 Urgency urgency, const http::ResponseHead &head)
{
    {
        T::decode(std::move(incoming))
        } -> std::same_as<std::variant<CallerRequest, BadRequest>>;
    {
        T::encode(request, prompt, runner, left, urgency)
        } -> std::same_as<std::string>;
    {
        T::decodeAnswer(head)
        } -> std::same_as<RunnerAnswer>;
    {
        T::refusal(left)
        } -> std::same_as<http::Headers>;
};

/** State shared by all exchanges of an entry. */
struct ExchangeContext
{
    boost::asio::io_context &context;
    dispatch::RunnerBoard &board;
    RunnerPool &pool;
    turns::TurnClient &turns;
    ExchangeLog &log;
    /** Computes the retry delay from the duration of faults of this entry's own dependencies. */
    dispatch::RetryAdvice &advice;
    /** Returns the routing in force; null while none is known. */
    std::function<std::shared_ptr<const Routing>()> routing;
};

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
        , m_began(std::chrono::steady_clock::now())
        , m_timer(context.context)
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
            m_story.reason = bad->reason;
            answerOwn(statusBadRequest, Outcome::Rejected);
            return;
        }
        m_request = std::move(std::get<CallerRequest>(decoded));
        m_story.request = m_request.id.value();
        m_routing = m_shared.routing();
        if (!m_routing) {
            refuse("no routing is known yet", m_shared.advice.failed(now()));
            return;
        }
        m_route = m_routing->find(m_request.host, m_request.path);
        if (m_route == nullptr) {
            m_story.reason = "no route";
            answerOwn(statusNotFound, Outcome::Rejected);
            return;
        }
        m_story.route = m_route->name.value();
        m_story.routing = m_routing->version().value();
        const base::Milliseconds patience = m_request.patience.value_or(m_route->timeout);
        m_end = m_began + std::min(patience, m_route->timeout);
        m_caller->setGoneHandler([self = this->shared_from_this()] {
            self->callerLeft();
        });
        m_timer.expires_at(m_end);
        m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->timeIsUp();
            }
        });
        describeNeed();
        if (isTurn()) {
            beginTurn();
        } else {
            place();
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
    static constexpr base::Milliseconds leastTime{15};
    /**
     * Failed connection attempts after which a request is refused: the remaining runners are likely to have failed as
     * well.
     */
    static constexpr int mostConnectFailures = 3;
    /**
     * Retry delay when all runners are full: requests take about 100 to 200 ms, and several runners finish one in that
     * time.
     */
    static constexpr base::Milliseconds fullPause{100};
    /** Retry delay when turn stores or runners are unavailable because of a fault. */
    static constexpr base::Milliseconds faultPause{250};
    /** Keep-alive timeout assumed for a runner that states none. */
    static constexpr base::Milliseconds assumedKeepAlive{1000};
    /** Maximum wait for the turn stores at the end of a turn; callers wait two seconds for the next bytes. */
    static constexpr base::Milliseconds keepLimit{1900};
    static constexpr std::size_t mostBuffered = std::size_t{8} * 1024 * 1024;

    bool isTurn() const
    {
        return m_route->keepsTurns && m_route->kind == RouteKind::Stream;
    }

    Time now() const
    {
        return std::chrono::steady_clock::now();
    }

    base::Milliseconds left() const
    {
        return std::chrono::duration_cast<base::Milliseconds>(m_end - now());
    }

    base::Milliseconds waited() const
    {
        return std::chrono::duration_cast<base::Milliseconds>(now() - m_began);
    }

    void beginTurn()
    {
        turns::TurnStart start;
        start.program = m_request.program;
        start.attempt = turns::AttemptId(m_request.id.value());
        start.most = m_request.mostTokens;
        if (m_request.mostTokens.value() > 0) {
            start.budget = m_request.programBudget;
        }
        start.previous = m_request.previousTurn;
        m_shared.turns.begin(start, [self = this->shared_from_this()](turns::TurnStartResult result) {
            self->turnBegun(std::move(result));
        });
    }

    void turnBegun(turns::TurnStartResult result)
    {
        m_story.turnWait = waited();
        if (auto *granted = std::get_if<turns::TurnGranted>(&result)) {
            m_shared.advice.worked();
            m_reservation = granted->reservation;
            if (m_isOver) {
                settle(std::nullopt);
                return;
            }
            m_prompt = std::move(granted->prompt);
            m_need.home = dispatch::RunnerId(granted->engine);
            place();
            return;
        }
        if (m_isOver) {
            return;
        }
        if (std::holds_alternative<turns::BudgetSpent>(result)) {
            answerOwn(statusBudgetSpent, Outcome::BudgetSpent);
        } else if (std::holds_alternative<turns::NoSuchTurn>(result)) {
            m_story.reason = "no such turn";
            answerOwn(statusNotFound, Outcome::Rejected);
        } else {
            refuse(std::get<turns::TurnsUnavailable>(result).reason, m_shared.advice.failed(now()));
        }
    }

    void describeNeed()
    {
        const std::string &program = m_request.program.value();
        m_need.service = chooseService(*m_route, program.empty() ? m_request.id.value() : program);
        if (const Service *service = m_routing->service(m_need.service)) {
            m_need.engine = service->engine;
        }
        m_need.promptParts = m_request.promptParts;
        m_need.promptTokens = m_request.promptTokens;
    }

    void place()
    {
        if (left() < leastTime) {
            timeIsUp();
            return;
        }
        const auto found = m_shared.board.choose(m_need, now());
        const auto *choice = std::get_if<dispatch::Choice>(&found);
        if (choice == nullptr) {
            const bool isFull = std::get<dispatch::NoPlace>(found).isFull;
            giveUp(isFull ? "all runners are full" : "no runner is left", isFull ? fullPause : faultPause);
            return;
        }
        m_choice = *choice;
        m_shared.board.sent(m_choice.id, m_need);
        m_isPlaced = true;
        m_shared.pool.take(m_choice.id, m_choice.address, [self = this->shared_from_this()](auto result) {
            self->connected(std::move(result));
        });
    }

    void connected(std::variant<std::shared_ptr<http::ClientConnection>, std::string> result)
    {
        auto *connection = std::get_if<std::shared_ptr<http::ClientConnection>>(&result);
        if (m_isOver) {
            if (connection != nullptr) {
                (*connection)->close();
            }
            return;
        }
        if (connection == nullptr) {
            unplace();
            m_shared.board.failed(m_choice.id, now());
            m_shared.log.attemptFailed(m_story, m_choice, "connect: " + std::get<std::string>(result));
            if (++m_connectFailures >= mostConnectFailures) {
                giveUp("runners can't be reached");
            } else {
                placeElsewhere();
            }
            return;
        }
        m_connection = std::move(*connection);
        send();
    }

    void send()
    {
        ++m_sends;
        m_mayHaveRun = true;
        m_sentAt = now();
        m_hasHead = false;
        m_answer = {};
        m_body.clear();
        m_story.runner = m_choice.id.value();
        m_story.busy = m_choice.busy;
        m_story.cached = m_choice.cached.value();
        http::ResponseHandlers handlers;
        handlers.onHead = [self = this->shared_from_this()](const http::ResponseHead &head) {
            return self->headCame(head);
        };
        handlers.onBody = [self = this->shared_from_this()](std::string_view piece) {
            self->bodyCame(piece);
        };
        handlers.onEnd = [self = this->shared_from_this()](http::Ending ending) {
            self->answerEnded(ending);
        };
        const Urgency urgency = dispatch::urgencyOf(*m_route, m_request, waited());
        m_story.urgency = urgency.value();
        m_connection->send(Format::encode(m_request, m_prompt, m_choice.id, left(), urgency),
                           m_request.method == "HEAD", std::move(handlers));
    }

    http::HeadVerdict headCame(const http::ResponseHead &head)
    {
        RunnerAnswer answer = Format::decodeAnswer(head);
        if (!answer.request.value().empty() && answer.request != m_request.id) {
            return http::HeadVerdict::Skip;
        }
        m_answer = std::move(answer);
        m_hasHead = true;
        m_shared.board.progressed(m_choice.id);
        if (m_answer.load) {
            m_shared.board.loadSeen(m_choice.id, *m_answer.load, now());
            m_story.told = m_answer.load->running + m_answer.load->waiting;
        }
        const bool isSuccess = m_answer.status < firstError && m_answer.isSigned;
        if (isSuccess && m_route->kind == RouteKind::Stream && m_answer.isEventStream) {
            m_isStreaming = true;
            m_story.firstByte = waited();
            m_caller->beginAnswer({m_answer.status, m_answer.passedOn});
        }
        return http::HeadVerdict::Take;
    }

    void bodyCame(std::string_view piece)
    {
        if (m_isStreaming) {
            const std::string events = m_events.take(piece);
            if (!events.empty()) {
                m_lastEventAt = now();
                if (m_eventsAtFirst == 0) {
                    m_firstEventAt = m_lastEventAt;
                    m_eventsAtFirst = m_events.count();
                }
                m_caller->sendPiece(events);
            }
            return;
        }
        if (m_body.size() + piece.size() > mostBuffered) {
            m_connection->close();
            attemptLost("answer too large");
            return;
        }
        m_body += piece;
    }

    void answerEnded(http::Ending ending)
    {
        unplace();
        if (ending != http::Ending::Whole) {
            m_shared.board.failed(m_choice.id, now());
            attemptLost(ending == http::Ending::Malformed ? "malformed answer" : "broken off");
            return;
        }
        m_shared.pool.keep(m_choice.id, std::move(m_connection), m_answer.keepAlive.value_or(assumedKeepAlive));
        m_connection.reset();
        noteAnswer();
        if (m_isStreaming) {
            streamEnded();
            return;
        }
        if (m_answer.isNotRun) {
            notRun();
            return;
        }
        if (!m_answer.isSigned && m_answer.status < firstError) {
            attemptLost("unsigned success");
            return;
        }
        if (m_answer.status >= firstServerError && mayRepeat()) {
            m_shared.log.attemptFailed(m_story, m_choice, "status " + std::to_string(m_answer.status));
            placeElsewhere();
            return;
        }
        settle(std::nullopt);
        m_caller->answer({m_answer.status, m_answer.passedOn}, m_body);
        over(m_answer.status < firstError ? Outcome::Served : Outcome::RunnerFailure, m_answer.status);
    }

    /** Updates the runner's performance record with the response. */
    void noteAnswer()
    {
        if (m_answer.isNotRun || m_answer.status == statusTimeout) {
            return;
        }
        if (m_answer.status >= firstServerError) {
            m_shared.board.erred(m_choice.id, now());
        } else if (!m_isStreaming) {
            m_shared.board.answered(m_choice.id, m_route->name, now() - m_sentAt, now());
        } else if (m_events.count() > m_eventsAtFirst) {
            const auto pace = (m_lastEventAt - m_firstEventAt) / (m_events.count() - m_eventsAtFirst);
            m_shared.board.answered(m_choice.id, m_route->name, pace, now());
        }
    }

    void placeElsewhere()
    {
        m_need.excluded.insert(m_choice.id);
        place();
    }

    /** Whether the route allows the request to be sent to another runner. */
    bool mayBeSent() const
    {
        return m_sends < static_cast<int>(m_route->maxAttempts);
    }

    /** Whether the request may be sent to another runner although an earlier one may have executed it. */
    bool mayRepeat() const
    {
        return m_route->kind == RouteKind::Idempotent && mayBeSent() && left() > leastTime;
    }

    /** Handles a response that states that the runner did not execute the request. */
    void notRun()
    {
        m_mayHaveRun = m_hasLostAttempt;
        m_shared.log.attemptFailed(m_story, m_choice, m_answer.isOtherRunner ? "another runner" : "not run");
        if (m_answer.isOtherRunner) {
            m_shared.board.failed(m_choice.id, now());
        } else {
            m_shared.board.refused(m_choice.id, now());
        }
        if (mayBeSent()) {
            placeElsewhere();
            return;
        }
        giveUp("runners refused", fullPause);
    }

    /** Handles the loss of an attempt whose result is unknown. */
    void attemptLost(const std::string &reason)
    {
        if (m_isOver) {
            return;
        }
        unplace();
        m_shared.board.erred(m_choice.id, now());
        m_hasLostAttempt = true;
        m_shared.log.attemptFailed(m_story, m_choice, reason);
        if (m_isStreaming) {
            m_story.reason = reason;
            settle(std::nullopt);
            m_caller->abort();
            over(Outcome::BrokenOff, 0);
            return;
        }
        if (mayRepeat()) {
            placeElsewhere();
            return;
        }
        giveUp(reason);
    }

    void streamEnded()
    {
        if (!m_events.rest().empty()) {
            m_caller->sendPiece(m_events.rest());
        }
        if (!isTurn()) {
            m_caller->endAnswer();
            over(Outcome::Served, m_answer.status);
            return;
        }
        turns::Turn turn;
        turn.id = turns::TurnId(m_request.id.value());
        turn.parent = m_request.previousTurn;
        turn.input = m_request.body;
        turn.output = m_events.data();
        turn.engine = m_choice.id.value();
        m_isKeeping = true;
        settle(std::move(turn));
    }

    void turnKept(bool isKept)
    {
        if (m_isOver) {
            return;
        }
        if (!isKept) {
            m_story.reason = "the turn could not be kept";
            m_caller->abort();
            over(Outcome::BrokenOff, 0);
            return;
        }
        m_caller->endAnswer();
        over(Outcome::Served, m_answer.status);
    }

    /** Reports the tokens generated by the attempt to the turn stores, and the turn if there is one to store. */
    void settle(std::optional<turns::Turn> turn)
    {
        if (!m_route->keepsTurns) {
            return;
        }
        turns::TurnEnd end;
        end.program = m_request.program;
        end.reservation = std::exchange(m_reservation, {});
        const std::uint64_t perEvent = m_need.engine ? m_need.engine->tokensPerEvent.value() : 1;
        end.spent = base::Tokens(m_events.count() * perEvent);
        const bool hasTurn = turn.has_value();
        end.turn = std::move(turn);
        m_shared.turns.end(end, keepLimit, [self = this->shared_from_this(), hasTurn](bool isKept) {
            if (hasTurn) {
                self->turnKept(isKept);
            }
        });
    }

    /**
     * Ends the exchange without another attempt. The status depends on whether an earlier attempt may have been
     * executed.
     */
    void giveUp(const std::string &reason, base::Milliseconds pause = faultPause)
    {
        if (m_mayHaveRun) {
            m_story.reason = reason;
            settle(std::nullopt);
            answerOwn(statusBadGateway, Outcome::Unknown);
            return;
        }
        refuse(reason, pause);
    }

    /**
     * Refuses a request that no runner has executed.
     *
     * @param reason reason for the log
     * @param pause delay after which the caller may retry
     */
    void refuse(const std::string &reason, base::Milliseconds pause = faultPause)
    {
        m_story.reason = reason;
        if (m_route != nullptr) {
            settle(std::nullopt);
        }
        m_caller->answer({statusUnavailable, Format::refusal(pause)}, {});
        over(Outcome::Refused, statusUnavailable);
    }

    void answerOwn(unsigned status, Outcome outcome)
    {
        m_caller->answer({status, {}}, {});
        over(outcome, status);
    }

    void timeIsUp()
    {
        if (m_isOver || m_isKeeping) {
            // Storing a turn has a timeout of its own, which is as short.
            return;
        }
        stopRunner();
        m_story.reason = "time limit";
        if (m_isStreaming) {
            settle(std::nullopt);
            m_caller->abort();
            over(Outcome::TimedOut, 0);
        } else if (m_mayHaveRun) {
            settle(std::nullopt);
            answerOwn(statusTimeout, Outcome::TimedOut);
        } else {
            refuse("time limit before a runner was found");
        }
    }

    void callerLeft()
    {
        if (m_isOver) {
            return;
        }
        stopRunner();
        if (!m_isKeeping) {
            settle(std::nullopt);
        }
        over(Outcome::CallerLeft, 0);
    }

    void stopRunner()
    {
        if (m_isPlaced && m_connection && !m_hasHead) {
            m_shared.board.stoodStill(m_choice.id, m_route->name, now() - m_sentAt, now());
        }
        unplace();
        if (m_connection) {
            m_connection->close();
            m_connection.reset();
        }
    }

    void unplace()
    {
        if (std::exchange(m_isPlaced, false)) {
            m_shared.board.ended(m_choice.id);
        }
    }

    void over(Outcome outcome, unsigned status)
    {
        if (std::exchange(m_isOver, true)) {
            return;
        }
        unplace();
        m_timer.cancel();
        m_caller->setGoneHandler(nullptr);
        m_story.took = waited();
        m_story.sends = m_sends;
        m_story.events = m_events.count();
        m_shared.log.ended(m_story, outcome, status);
    }

    ExchangeContext &m_shared;
    const std::shared_ptr<http::ServerConnection> m_caller;
    const Time m_began;
    boost::asio::steady_timer m_timer;
    Time m_end;
    CallerRequest m_request;
    std::shared_ptr<const Routing> m_routing;
    const Route *m_route = nullptr;
    std::string m_prompt;
    turns::AttemptId m_reservation;
    dispatch::Need m_need;
    dispatch::Choice m_choice;
    std::shared_ptr<http::ClientConnection> m_connection;
    RunnerAnswer m_answer;
    std::string m_body;
    EventStream m_events;
    Time m_sentAt;
    Time m_firstEventAt;
    Time m_lastEventAt;
    /** Number of events in the first piece of the response that completed any. */
    std::size_t m_eventsAtFirst = 0;
    ExchangeStory m_story;
    int m_sends = 0;
    int m_connectFailures = 0;
    bool m_isPlaced = false;
    bool m_mayHaveRun = false;
    /** Whether the runner has started to respond to the current attempt. */
    bool m_hasHead = false;
    bool m_hasLostAttempt = false;
    bool m_isStreaming = false;
    bool m_isKeeping = false;
    bool m_isOver = false;
};

}
