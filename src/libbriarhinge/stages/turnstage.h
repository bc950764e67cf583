#pragma once

#include "accounts/scope.h"
#include "dispatch/retrydelay.h"
#include "stages/requeststate.h"
#include "stages/stage.h"
#include "turns/turnclient.h"

#include <concepts>
#include <functional>
#include <optional>
#include <utility>
#include <variant>

namespace briarhinge::stages
{

/** Reserves budgets and keeps turns, like turns::TurnClient. */
template <class T>
concept TurnService = requires(T turns, const turns::TurnStart &start, const turns::TurnEnd &end,
                               base::Milliseconds limit)
{
    turns.begin(start, std::function<void(turns::TurnStartResult)>());
    turns.end(end, limit, std::function<void(bool)>());
};

/**
 * Reserves the budget of a turn and fetches the chain that it continues. Holds the reservation, which is settled with the
 * tokens that the caller was sent.
 */
template <TurnService Turns>
class TurnStage
{
public:
    /**
     * @param state the request
     * @param turns the turn stores
     * @param retryDelay computes when callers should come back while the turn stores can't answer
     */
    TurnStage(RequestState &state, Turns &turns, dispatch::RetryDelay &retryDelay)
        : m_state(state)
        , m_turns(turns)
        , m_retryDelay(retryDelay)
    {
    }

    /** @param onResult receives 402 or 404 when the stores say so, 503 when they can't tell */
    void enter(const StageHandler &onResult)
    {
        if (!m_state.isTurn()) {
            onResult(Proceed{});
            return;
        }
        turns::TurnStart start;
        start.program = scoped<base::ProgramId>(m_state.request.program.value());
        start.attempt = turns::AttemptId(m_state.request.id.value());
        start.maxTokens = m_state.request.maxTokens;
        start.retention = routeRetention();
        if (m_state.hasBudget()) {
            start.budget = m_state.request.programBudget;
        }
        if (m_state.isStoredTurn()) {
            start.inputBytes = m_state.request.body.size();
            start.previous = scoped<turns::TurnId>(m_state.request.previousTurn.value());
        }
        m_turns.begin(start, [this, onResult](turns::TurnStartResult result) {
            handleResult(std::move(result), onResult);
        });
    }

    /** Settles the reservation. */
    void leave()
    {
        m_isLeft = true;
        settle(std::nullopt, [](bool) {});
    }

    /**
     * Stores the turn when the caller was sent all of its answer, and settles the reservation.
     *
     * @param output the data of each event of the answer, each followed by a line feed
     * @param engine the runner that ran the turn
     * @param onStored receives whether the turn is durable
     */
    void storeTurn(const std::string &output, const dispatch::RunnerId &engine, std::function<void(bool)> onStored)
    {
        turns::Turn turn;
        turn.id = scoped<turns::TurnId>(m_state.request.id.value());
        turn.parent = scoped<turns::TurnId>(m_state.request.previousTurn.value());
        turn.input = m_state.request.body;
        turn.output = output;
        turn.engine = engine.value();
        settle(std::move(turn), std::move(onStored));
    }

private:
    template <class Id>
    Id scoped(const std::string &id) const
    {
        return Id(accounts::scopedId(m_state.request.account, id));
    }

    /** @return how long the route promises to retain turns, in the configuration under which the turn was accepted */
    base::Milliseconds routeRetention() const
    {
        return m_state.route->storesTurns ? m_state.route->retention : base::Milliseconds(0);
    }

    /** Maximum wait for the turn stores at the end of a turn; callers wait two seconds for the next bytes. */
    static constexpr base::Milliseconds storeTurnTimeout{1900};

    void handleResult(turns::TurnStartResult result, const StageHandler &onResult)
    {
        m_state.record.turnWait = m_state.elapsedTime();
        if (auto *granted = std::get_if<turns::TurnGranted>(&result)) {
            m_retryDelay.recordSuccess();
            m_reservation = granted->reservation;
            if (m_isLeft) {
                leave();
                return;
            }
            m_state.prompt = std::move(granted->prompt);
            m_state.promptMemory = std::move(granted->memory);
            if (m_state.hasBudget()) {
                m_state.beginsProgram = !granted->isProgramUnderWay;
            }
            m_state.placementRequest.previousRunner = dispatch::RunnerId(granted->engine);
            onResult(Proceed{});
            return;
        }
        if (m_isLeft) {
            return;
        }
        if (std::holds_alternative<turns::BudgetSpent>(result)) {
            onResult(Refusal{statusBudgetSpent, requests::Outcome::BudgetSpent, "", std::nullopt});
        } else if (std::holds_alternative<turns::NoSuchTurn>(result)) {
            onResult(Refusal{statusNotFound, requests::Outcome::Rejected, "no such turn", std::nullopt});
        } else if (const auto *noRoom = std::get_if<turns::NoRoom>(&result)) {
            onResult(refusal(noRoom->reason, memoryRetryDelay));
        } else {
            onResult(refusal(std::get<turns::TurnsUnavailable>(result).reason,
                             m_retryDelay.recordFailure(std::chrono::steady_clock::now())));
        }
    }

    void settle(std::optional<turns::Turn> turn, std::function<void(bool)> onSettled)
    {
        if (m_reservation.value().empty() && !turn) {
            return;
        }
        turns::TurnEnd end;
        end.program = scoped<base::ProgramId>(m_state.request.program.value());
        end.reservation = std::exchange(m_reservation, {});
        end.spent = m_state.deliveredTokens;
        end.turn = std::move(turn);
        end.retention = routeRetention();
        m_turns.end(end, storeTurnTimeout, std::move(onSettled));
    }

    RequestState &m_state;
    Turns &m_turns;
    dispatch::RetryDelay &m_retryDelay;
    turns::AttemptId m_reservation;
    bool m_isLeft = false;
};

}
