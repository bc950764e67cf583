#pragma once

#include "dispatch/loadbalancer.h"
#include "dispatch/programadmission.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

namespace briarhinge::stages
{

/** Decides whether the program that a request begins may start. */
class ProgramStage
{
public:
    /**
     * @param state the request
     * @param balancer knows the load of the runners
     * @param admission makes the decision
     */
    ProgramStage(const RequestState &state, const dispatch::LoadBalancer &balancer,
                 const dispatch::ProgramAdmission &admission)
        : m_state(state)
        , m_balancer(balancer)
        , m_admission(admission)
    {
    }

    /** @param onResult receives 503 with a time to come back if the program must not start now */
    void enter(const StageHandler &onResult)
    {
        if (m_state.programStage() == dispatch::ProgramStage::Begins) {
            const auto load =
                m_balancer.loadPerSlot(m_state.placementRequest.service, std::chrono::steady_clock::now());
            if (const auto delay = m_admission.refusal(m_state.route->priority, load, m_state.relativeUse)) {
                onResult(refusal("the runners can't finish another program in time", *delay));
                return;
            }
        }
        onResult(Proceed{});
    }

    void leave()
    {
    }

private:
    const RequestState &m_state;
    const dispatch::LoadBalancer &m_balancer;
    const dispatch::ProgramAdmission &m_admission;
};

}
