#pragma once

#include "dispatch/urgency.h"
#include "forwarding/eventstream.h"
#include "forwarding/exchangecontext.h"
#include "forwarding/requestformat.h"
#include "stages/requeststate.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace briarhinge::forwarding
{

/** Nothing was sent: no connection could be opened. */
struct NotConnected
{
    std::string reason;
};

/** Nothing was sent: the runner said that it leaves while the connection was being opened. */
struct RunnerLeft
{
};

/** The runner did not execute the request and is not going to. */
struct NotRun
{
    bool isFromOtherRunner = false;
};

/** The whole response to a request that is not a stream. */
struct WholeAnswer
{
    requests::RunnerResponse response;
    std::string body;
};

/** The stream has ended with its last event. */
struct WholeStream
{
    /** The data of all events, each followed by a line feed. */
    std::string data;
};

/** It is unknown whether the runner has executed the request. */
struct Lost
{
    std::string reason;
    /** Whether the connection was lost, which may mean that the runner has crashed. */
    bool isConnectionLost = false;
    /** Whether the runner has sent a whole response, which can't be trusted. */
    bool isWholeResponse = false;
};

/** How an attempt ended. */
using AttemptEnd = std::variant<NotConnected, RunnerLeft, NotRun, WholeAnswer, WholeStream, Lost>;

/** Receives what an attempt comes to, in the order of the members. */
struct AttemptHandlers
{
    /** Called with the head of a successful stream. */
    std::function<void(const requests::RunnerResponse &)> onStream;
    /** Called with whole events as they arrive, and the number of events with data so far. */
    std::function<void(std::string_view events, std::size_t eventCount)> onEvents;
    /** Called once, unless the attempt is cancelled. */
    std::function<void(const AttemptEnd &)> onEnd;
};

/**
 * One attempt to run a request on one runner. Holds the place on the runner, the connection and the memory for the
 * response until it ends or is cancelled.
 */
template <RequestFormat Format>
class Attempt : public std::enable_shared_from_this<Attempt<Format>>
{
public:
    /**
     * @param context state shared by all exchanges of the entry
     * @param state the request
     * @param number number of attempts of the request that began before
     * @param placement the runner
     * @param handlers receives the results
     */
    Attempt(ExchangeContext &context, stages::RequestState &state, std::size_t number, dispatch::Placement placement,
            AttemptHandlers handlers)
        : m_shared(context)
        , m_state(state)
        , m_number(number)
        , m_placement(std::move(placement))
        , m_handlers(std::move(handlers))
        , m_memory(context.memory)
    {
    }

    /** Connects to the runner and sends the request. */
    void start()
    {
        m_shared.balancer.requestSent(m_placement.id, m_state.placementRequest);
        m_isPlaced = true;
        m_shared.pool.acquire(m_placement.id, m_placement.address, [self = this->shared_from_this()](auto result) {
            self->handleConnectResult(std::move(result));
        });
    }

    /** Ends the attempt since another one was answered, which says nothing of this runner. */
    void supersede()
    {
        m_hasHead = true;
        cancel();
    }

    /** Ends the attempt; the runner sees a closed connection. No handler is called any more. */
    void cancel()
    {
        if (m_isPlaced && m_connection && !m_hasHead) {
            m_shared.balancer.requestStalled(m_placement.id, m_state.route->name, now() - m_sentAt, now());
        }
        release();
        if (m_connection) {
            m_connection->close();
            m_connection.reset();
        }
        m_handlers = {};
    }

    /** @return number of attempts of the request that began before */
    std::size_t number() const
    {
        return m_number;
    }

    /** @return the runner of the attempt */
    const dispatch::Placement &placement() const
    {
        return m_placement;
    }

    /** @return whether the runner was sent the request and has not answered it whole */
    bool isUnanswered() const
    {
        return m_connection && m_sentAt != Time();
    }

    /** @return the crash of the runner that a lost connection of this attempt would stand for */
    const placement::CrashId &crash() const
    {
        return m_crash;
    }

private:
    using Time = stages::RequestState::Time;

    static constexpr unsigned firstError = 300;
    static constexpr unsigned firstServerError = 500;
    static constexpr unsigned statusTimeout = 504;
    /** Keep-alive timeout assumed for a runner that states none. */
    static constexpr base::Milliseconds defaultKeepAliveTimeout{1000};
    static constexpr std::size_t maxAnswerBytes = std::size_t{8} * 1024 * 1024;

    static Time now()
    {
        return std::chrono::steady_clock::now();
    }

    bool isCancelled() const
    {
        return !m_handlers.onEnd;
    }

    void handleConnectResult(std::variant<std::shared_ptr<http::ClientConnection>, std::string> result)
    {
        auto *connection = std::get_if<std::shared_ptr<http::ClientConnection>>(&result);
        if (isCancelled()) {
            if (connection != nullptr) {
                (*connection)->close();
            }
            return;
        }
        if (connection == nullptr) {
            m_shared.balancer.connectionFailed(m_placement.id, now());
            finish(NotConnected{"connect: " + std::get<std::string>(result)});
            return;
        }
        m_connection = std::move(*connection);
        if (m_shared.balancer.isLeaving(m_placement.id)) {
            // It said so while the connection was being opened.
            m_connection->close();
            finish(RunnerLeft{});
            return;
        }
        send();
    }

    void send()
    {
        ++m_state.record.attempts;
        m_state.mayHaveRun = true;
        m_sentAt = now();
        m_crash = m_shared.suspects.nextCrash(m_placement.id.value(), m_placement.startedAt);
        requests::ExchangeRecord &record = m_state.record;
        record.responseEnd.reset();
        record.runner = m_placement.id.value();
        record.estimatedLoad = m_placement.estimatedLoad;
        record.cachedTokens = m_placement.cachedTokens.value();
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
        const requests::Urgency urgency =
            dispatch::requestUrgency(m_state.priority(), *m_state.route, m_state.request, m_state.elapsedTime());
        record.urgency = urgency.value();
        m_connection->send(
            Format::encode(m_state.request, m_state.prompt, m_placement.id, m_state.remainingTime(), urgency),
            m_state.request.method == "HEAD", std::move(handlers));
    }

    http::HeadAction headReceived(const http::ResponseHead &head)
    {
        requests::RunnerResponse response = Format::decodeResponse(head);
        if (response.isLeaving) {
            // Also in a late answer to another request: it comes from the same process.
            m_shared.runnerLeaves(m_placement, std::chrono::duration_cast<base::Milliseconds>(now() - m_sentAt));
        }
        const requests::RequestId &id = m_state.request.id;
        const bool isLate = response.request.value().empty() ? m_connection->isReused() : response.request != id;
        if (response.statedRate) {
            // A late answer to an earlier request was made at an unknown time.
            m_shared.rateStated(m_placement,
                                {m_placement.startedAt, response.statedRate->limit, isLate ? Time() : m_sentAt, now()});
        }
        if (!response.request.value().empty() && response.request != id) {
            return http::HeadAction::Skip;
        }
        if (response.request.value().empty() && m_connection->isReused()) {
            // It may be a late copy of the answer to an earlier request.
            abandonAnswer("an answer without an id on a kept connection");
            return http::HeadAction::Accept;
        }
        m_response = std::move(response);
        m_hasHead = true;
        m_shared.unanswered.runnerAnswered(m_placement.id, m_placement.startedAt, m_sentAt);
        m_shared.balancer.responseStarted(m_placement.id);
        if (m_response.load) {
            m_shared.balancer.loadReported(m_placement.id, *m_response.load, now());
            m_state.record.reportedLoad = m_response.load->running + m_response.load->waiting;
        }
        const bool isSuccess = m_response.status < firstError && m_response.isSigned;
        if (isSuccess && m_state.route->kind == requests::RouteKind::Stream && m_response.isEventStream) {
            m_isStreaming = true;
            m_handlers.onStream(m_response);
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
            m_state.record.events = m_events.eventCount();
            m_handlers.onEvents(events, m_events.eventCount());
        }
    }

    /** Ends an attempt whose answer exceeds a limit. */
    void abandonAnswer(const std::string &reason)
    {
        // Closing the connection destroys the handler that is running, which may hold the last reference.
        const auto self = this->shared_from_this();
        m_connection->close();
        lose(reason, false);
    }

    /** @return maximum number of events in the answer to a turn: an event has at least one token */
    std::size_t maxEvents() const
    {
        if (!m_state.isTurn() || m_state.request.maxTokens.value() == 0) {
            return std::numeric_limits<std::size_t>::max();
        }
        const std::uint64_t perEvent = m_state.tokensPerEvent();
        return (m_state.request.maxTokens.value() + perEvent - 1) / perEvent;
    }

    void responseEnded(const http::ResponseEnd &end)
    {
        releasePlace();
        m_state.record.responseEnd = end;
        m_state.record.cutBytes = m_events.remainder().size();
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
            if (self->isCancelled()) {
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
        lose(end.ending == http::Ending::Invalid ? "malformed answer" : "broken off",
             end.ending == http::Ending::Closed || end.ending == http::Ending::Lost);
    }

    void responseCompleted()
    {
        m_shared.pool.release(m_placement.id, std::move(m_connection),
                              m_response.isLeaving ? base::Milliseconds(0)
                                                   : m_response.keepAliveTimeout.value_or(defaultKeepAliveTimeout));
        m_connection.reset();
        recordResponse();
        if (m_isStreaming) {
            if (!m_events.remainder().empty()) {
                m_handlers.onEvents(m_events.remainder(), m_events.eventCount());
            }
            finish(WholeStream{m_events.data()});
        } else if (m_response.isNotRun) {
            recordNotRun();
            finish(NotRun{m_response.isFromOtherRunner});
        } else if (!m_response.isSigned && m_response.status < firstError) {
            m_shared.balancer.requestFailed(m_placement.id, now());
            finish(Lost{"unsigned success", false, true});
        } else {
            finish(WholeAnswer{std::move(m_response), std::move(m_body)});
        }
    }

    void recordNotRun()
    {
        if (m_response.isFromOtherRunner) {
            m_shared.balancer.connectionFailed(m_placement.id, now());
        } else {
            m_shared.balancer.requestRefused(m_placement.id, now());
        }
    }

    /** Updates the runner's performance record with the response. */
    void recordResponse()
    {
        const requests::RouteName &route = m_state.route->name;
        if (m_response.isNotRun || m_response.status == statusTimeout) {
            return;
        }
        if (m_response.status >= firstServerError) {
            m_shared.balancer.requestFailed(m_placement.id, now());
        } else if (!m_isStreaming) {
            m_shared.balancer.requestAnswered(m_placement.id, route, now() - m_sentAt, now());
        } else if (m_events.eventCount() > m_initialEventCount) {
            const auto eventInterval = (m_lastEventAt - m_firstEventAt) / (m_events.eventCount() - m_initialEventCount);
            m_shared.balancer.requestAnswered(m_placement.id, route, eventInterval, now());
        }
    }

    void lose(const std::string &reason, bool isConnectionLost)
    {
        if (isCancelled()) {
            return;
        }
        m_shared.balancer.requestFailed(m_placement.id, now());
        finish(Lost{reason, isConnectionLost, false});
    }

    void finish(const AttemptEnd &end)
    {
        release();
        // The handlers hold the exchange, which holds this attempt.
        const auto self = this->shared_from_this();
        const AttemptHandlers handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(end);
        }
    }

    void releasePlace()
    {
        if (std::exchange(m_isPlaced, false)) {
            m_shared.balancer.requestEnded(m_placement.id);
        }
    }

    /** Gives back the place and the memory. */
    void release()
    {
        releasePlace();
        m_memory.clear();
    }

    ExchangeContext &m_shared;
    stages::RequestState &m_state;
    const std::size_t m_number;
    const dispatch::Placement m_placement;
    AttemptHandlers m_handlers;
    std::shared_ptr<http::ClientConnection> m_connection;
    requests::RunnerResponse m_response;
    std::string m_body;
    EventStream m_events;
    base::MemoryBudget::Share m_memory;
    std::size_t m_answerBytes = 0;
    Time m_sentAt;
    /** The crash that this attempt would cause. */
    placement::CrashId m_crash;
    Time m_firstEventAt;
    Time m_lastEventAt;
    /** Number of events in the first piece of the response that completed any. */
    std::size_t m_initialEventCount = 0;
    bool m_isPlaced = false;
    /** Whether the runner has started to respond. */
    bool m_hasHead = false;
    bool m_isStreaming = false;
};

}
