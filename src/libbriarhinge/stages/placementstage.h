#pragma once

#include "dispatch/loadbalancer.h"
#include "dispatch/permitwait.h"
#include "dispatch/returnschedule.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::stages
{

/** Gets permits for runners with a limit, like forwarding::PermitClient. */
template <class T>
concept PermitSource = requires(T permits, const std::vector<dispatch::RunnerId> &runners, base::Milliseconds maxWait)
{
    permits.acquire(runners, maxWait, std::function<void(std::optional<dispatch::RunnerId>)>());
};

/** Chooses the runner of the next attempt, and waits for a permit if that runner has a limit. */
template <PermitSource Permits>
class PlacementStage
{
public:
    /**
     * @param state the request; its placement is set
     * @param balancer chooses among the runners
     * @param permits grants permits
     * @param returns tells callers for whom runners with a limit have no place when to come back
     * @param entryCount returns the number of entries, including this one
     */
    PlacementStage(RequestState &state, dispatch::LoadBalancer &balancer, Permits &permits,
                   dispatch::ReturnSchedule<requests::ServiceName> &returns,
                   const std::function<std::size_t()> &entryCount)
        : m_state(state)
        , m_balancer(balancer)
        , m_permits(permits)
        , m_returns(returns)
        , m_entryCount(entryCount)
    {
    }

    /** @param onResult receives 503 when no runner has a place */
    void enter(const StageHandler &onResult)
    {
        if (m_state.remainingTime() < RequestState::minRemainingTime) {
            onResult(OutOfTime{});
            return;
        }
        const auto selection = m_balancer.selectRunner(m_state.placementRequest, now());
        const auto *placement = std::get_if<dispatch::Placement>(&selection);
        if (placement == nullptr) {
            handleNoCapacity(std::get<dispatch::NoCapacity>(selection), onResult);
            return;
        }
        m_state.placement = *placement;
        if (placement->permitCandidates.empty()) {
            onResult(Proceed{});
            return;
        }
        m_permits.acquire(placement->permitCandidates, m_state.placementRequest.permitWait,
                          [this, onResult](const std::optional<dispatch::RunnerId> &runner) {
                              if (!m_isLeft) {
                                  handlePermit(runner, onResult);
                              }
                          });
    }

    void leave()
    {
        m_isLeft = true;
    }

private:
    using Time = RequestState::Time;

    /**
     * Retry delay when all runners are full: requests take about 100 to 200 ms, and several runners finish one in that
     * time.
     */
    static constexpr base::Milliseconds fullRetryDelay{100};
    /** Permits denied after which only runners without limits are left: many requests compete for few permits. */
    static constexpr int maxDeniedPermits = 4;
    static constexpr base::Milliseconds noPermitWait{-1};

    static Time now()
    {
        return std::chrono::steady_clock::now();
    }

    /** Waits for a permit of a runner with a limit if that helps; otherwise refuses. */
    void handleNoCapacity(const dispatch::NoCapacity &noCapacity, const StageHandler &onResult)
    {
        if (!noCapacity.nextPermit) {
            onResult(noCapacity.hasFullRunners ? refusal("all runners are full", fullRetryDelay)
                                               : refusal("no runner is left"));
            return;
        }
        const base::Milliseconds wait = dispatch::permitWait(m_state.priority(), m_state.route->latencyTarget,
                                                             m_state.programStage(), m_state.remainingTime());
        if (m_state.placementRequest.permitWait.count() == 0 && *noCapacity.nextPermit <= now() + wait) {
            m_state.placementRequest.permitWait = wait;
            enter(onResult);
            return;
        }
        const requests::ServiceName &service = m_state.placementRequest.service;
        const requests::RequestRate share(m_balancer.totalLimit(service).value() / static_cast<double>(m_entryCount()));
        onResult(refusal("all runners are at their limits",
                         m_returns.next(service, *noCapacity.nextPermit, share, m_state.remainingTime(), now())));
    }

    void handlePermit(const std::optional<dispatch::RunnerId> &runner, const StageHandler &onResult)
    {
        const auto placement = runner ? m_balancer.placementOn(*runner, m_state.placementRequest, now()) : std::nullopt;
        if (placement) {
            m_state.placement = *placement;
            onResult(Proceed{});
            return;
        }
        if (++m_deniedPermits == maxDeniedPermits) {
            m_state.placementRequest.permitWait = noPermitWait;
        }
        enter(onResult);
    }

    RequestState &m_state;
    dispatch::LoadBalancer &m_balancer;
    Permits &m_permits;
    dispatch::ReturnSchedule<requests::ServiceName> &m_returns;
    const std::function<std::size_t()> &m_entryCount;
    int m_deniedPermits = 0;
    bool m_isLeft = false;
};

}
