#pragma once

#include "base/units.h"
#include "requests/routing.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace briarhinge::dispatch
{

/** Whether a request may be sent to a second runner while the first one has not answered. */
enum class SecondTryDecision {
    Send,
    /** The operators' limit is used up. */
    LimitReached,
    /** A second try would take room from first ones. */
    NoRoom,
};

/** @return the name of a decision in metrics */
std::string_view decisionName(SecondTryDecision decision);

/**
 * Decides on second tries of requests that may be repeated. A request that takes longer than nearly all of its route do is
 * probably on a slow runner; another runner answers it sooner. Answers a small share of slow runners, not runners that are
 * all slow: second tries are a fixed share of all requests, and there are none while the runners are short of room.
 *
 * Reads no clock itself. Not thread-safe.
 */
class SecondTries
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param maxShare most second tries, as a share of all requests that may be repeated; 0 for none */
    explicit SecondTries(double maxShare);

    /**
     * Records that a request which may be repeated was sent for the first time.
     *
     * @param route its route
     * @return time without an answer after which a second try should be decided on; nothing as long as too little is known
     *         of the route, or if there are no second tries
     */
    std::optional<base::Milliseconds> requestSent(const requests::RouteName &route);

    /**
     * Records how long an answer took.
     *
     * @param route the route
     * @param duration time from the first try to the answer
     */
    void requestAnswered(const requests::RouteName &route, base::Milliseconds duration);

    /**
     * Decides on a second try and counts it.
     *
     * @param loadPerSlot mean number of running and queued requests per slot of the service, if it is known
     * @return the decision
     */
    SecondTryDecision decide(std::optional<double> loadPerSlot);

private:
    /** Durations of one route lately. */
    struct Durations
    {
        static constexpr std::size_t capacity = 128;

        std::array<std::int32_t, capacity> samples{};
        std::size_t count = 0;
        std::optional<base::Milliseconds> late;
    };

    const double m_maxShare;
    /** Second tries that the limit still allows. */
    double m_allowance = 0;
    std::unordered_map<requests::RouteName, Durations> m_durations;
};

}
