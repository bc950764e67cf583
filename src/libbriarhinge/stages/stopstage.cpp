#include "stages/stopstage.h"

#include <algorithm>

namespace briarhinge::stages
{

StopStage::StopStage(RequestState &state, const StopDeadline &stopDeadline)
    : m_state(state)
    , m_stopDeadline(stopDeadline)
{
}

void StopStage::enter(const StageHandler &onResult)
{
    const std::optional<Time> end = m_stopDeadline();
    if (end && m_state.latestEnd(std::chrono::steady_clock::now()) > *end) {
        onResult(refusal("this entry stops", base::Milliseconds(0)));
        return;
    }
    m_state.deadline = std::min(m_state.deadline, end.value_or(Time::max()));
    onResult(Proceed{});
}

}
