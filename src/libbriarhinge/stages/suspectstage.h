#pragma once

#include "placement/suspecttable.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::stages
{

/** Lets a request under which a runner has crashed run alone, or not at all. Holds the trial of its content. */
class SuspectStage
{
public:
    /**
     * @param state the request
     * @param suspects requests under which runners have crashed
     * @param context runs the timer
     */
    SuspectStage(RequestState &state, placement::SuspectTable &suspects, boost::asio::io_context &context);

    /** @param onResult receives 503 for a quarantined request, with the time until it may be tried again */
    void enter(const StageHandler &onResult);

    /** Ends the trial without a result. */
    void leave();

    /** Clears the request of suspicion: one that crashes runners crashes each that runs it. */
    void recordSurvival();

    /**
     * Records that the connection to the runner was lost. Whoever checks the runner has the trial from now on.
     *
     * @return the request as listed in a crash report
     */
    placement::CrashedRequest recordLostConnection();

private:
    using Time = std::chrono::steady_clock::time_point;

    bool waitForTrial(const StageHandler &onResult);

    RequestState &m_state;
    placement::SuspectTable &m_suspects;
    boost::asio::steady_timer m_timer;
    /** End of the wait for the trial of another request with the same content. */
    std::optional<Time> m_waitEnd;
    bool m_isOnTrial = false;
    bool m_isLeft = false;
};

}
