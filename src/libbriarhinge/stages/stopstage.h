#pragma once

#include "stages/requeststate.h"
#include "stages/stage.h"

#include <functional>
#include <optional>

namespace briarhinge::stages
{

/**
 * Refuses what this process can't see to its end before it stops. A request enters it before it holds anything, and again
 * before each attempt, since the signal to stop may come while it waits for a turn, a trial or a permit.
 */
class StopStage
{
public:
    using Time = RequestState::Time;
    /** Returns the time at which the last answers must be whole, once this process has been told to stop. */
    using StopDeadline = std::function<std::optional<Time>()>;

    /**
     * @param state the request; its deadline is brought forward to the end of the process
     * @param stopDeadline returns when this process ends
     */
    StopStage(RequestState &state, const StopDeadline &stopDeadline);

    /** @param onResult receives 503 when this process ends before the request could be answered */
    void enter(const StageHandler &onResult);

    void leave()
    {
    }

private:
    RequestState &m_state;
    const StopDeadline &m_stopDeadline;
};

}
