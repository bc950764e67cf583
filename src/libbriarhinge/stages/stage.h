#pragma once

#include "base/units.h"
#include "requests/exchangerecord.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace briarhinge::stages
{

inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusBudgetSpent = 402;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusTooManyRequests = 429;
inline constexpr unsigned statusUnavailable = 503;

/** Retry delay when turn stores or runners are unavailable because of a fault. */
inline constexpr base::Milliseconds faultRetryDelay{250};
/** Retry delay when memory has run out: requests that have stalled have given way by then. */
inline constexpr base::Milliseconds memoryRetryDelay{1000};

/** The request goes on to the next stage. */
struct Proceed
{
};

/** The request is not run. */
struct Refusal
{
    unsigned status = statusUnavailable;
    requests::Outcome outcome = requests::Outcome::Refused;
    /** Reason for the log. */
    std::string reason;
    /** Time after which the caller may try again; empty where trying again can't help. */
    std::optional<base::Milliseconds> retryDelay;
};

/** Too little time is left to run the request. */
struct OutOfTime
{
};

using StageResult = std::variant<Proceed, Refusal, OutOfTime>;
using StageHandler = std::function<void(StageResult)>;

/** @return a refusal that invites the caller to try again after @p delay */
inline Refusal refusal(std::string reason, base::Milliseconds delay = faultRetryDelay)
{
    return {statusUnavailable, requests::Outcome::Refused, std::move(reason), delay};
}

/**
 * One question that a request is asked on its way through an entry. What a stage holds for the request (a reservation, a
 * permit, a place) it holds from enter() until leave(), which gives it back exactly once and may be called at any time.
 */
template <class T>
concept Stage = requires(T stage, StageHandler onResult)
{
    // Calls the handler once, at once or later; not after leave().
    stage.enter(onResult);
    stage.leave();
};

/** The stages of one request, in order. */
template <Stage... Stages>
class StageRow
{
public:
    /** @param stages the stages, in the order in which a request enters them; they must outlive the row */
    explicit StageRow(Stages &...stages)
        : m_stages(stages...)
    {
    }

    /**
     * Lets a request enter one stage after the other until one of them does not let it proceed.
     *
     * @tparam First the first stage to enter; the ones before it are not asked again
     * @param onResult receives Proceed after the last stage, or what else a stage decided; keeps the owner of the row alive
     */
    template <Stage First>
    void enter(const StageHandler &onResult)
    {
        enterStage<indexOf<First>()>(onResult);
    }

    /** Leaves all stages, the last one first. No result is reported any more. */
    void leave()
    {
        m_isLeft = true;
        leaveStages(std::index_sequence_for<Stages...>());
    }

private:
    template <Stage Wanted>
    static constexpr std::size_t indexOf()
    {
        std::size_t index = 0;
        bool isFound = false;
        ((isFound || (std::is_same_v<Wanted, Stages> ? (isFound = true) : (++index, false))), ...);
        return index;
    }

    template <std::size_t Index>
    void enterStage(const StageHandler &onResult)
    {
        if constexpr (Index == sizeof...(Stages)) {
            onResult(Proceed{});
        } else {
            std::get<Index>(m_stages).enter([this, onResult](StageResult result) {
                if (m_isLeft) {
                    return;
                }
                if (std::holds_alternative<Proceed>(result)) {
                    enterStage<Index + 1>(onResult);
                } else {
                    onResult(std::move(result));
                }
            });
        }
    }

    template <std::size_t... Indices>
    void leaveStages(std::index_sequence<Indices...>)
    {
        (std::get<sizeof...(Stages) - 1 - Indices>(m_stages).leave(), ...);
    }

    std::tuple<Stages &...> m_stages;
    bool m_isLeft = false;
};

}
