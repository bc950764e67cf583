#pragma once

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
        start.program = m_state.request.program;
        start.attempt = turns::AttemptId(m_state.request.id.value());
        start.maxTokens = m_state.request.maxTokens;
        if (m_state.hasBudget()) {
            start.budget = m_state.request.programBudget;
        }
        if (m_state.isStoredTurn()) {
            start.previous = m_state.request.previousTurn;
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
     * Stores a turn that the caller was sent completely, and settles the reservation.
     *
     * @param turn the turn
     * @param onStored receives whether the turn is durable
     */
    void storeTurn(turns::Turn turn, std::function<void(bool)> onStored)
    {
        settle(std::move(turn), std::move(onStored));
    }

private:
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
        end.program = m_state.request.program;
        end.reservation = std::exchange(m_reservation, {});
        end.spent = m_state.deliveredTokens;
        end.turn = std::move(turn);
        m_turns.end(end, storeTurnTimeout, std::move(onSettled));
    }

    RequestState &m_state;
    Turns &m_turns;
    dispatch::RetryDelay &m_retryDelay;
    turns::AttemptId m_reservation;
    bool m_isLeft = false;
};

}
