#pragma once

#include "dispatch/loadbalancer.h"
#include "forwarding/exchangecontext.h"
#include "stages/requeststate.h"

#include <functional>
#include <optional>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

/** Waits for the first try of a request that may be repeated, and finds a runner for a second one when it is late. */
class SecondTry
{
public:
    /**
     * @param context state shared by all exchanges of the entry
     * @param state the request
     */
    SecondTry(ExchangeContext &context, const stages::RequestState &state);

    /**
     * Records the first try and waits until its answer is late.
     *
     * @param onLate called once then, unless cancel() is called first; never for a request that may not be repeated
     */
    void schedule(std::function<void()> onLate);

    /**
     * Decides on the second try.
     *
     * @param first the runner of the first try
     * @return the runner of the second one; nothing if there is to be none
     */
    std::optional<dispatch::Placement> decide(const dispatch::Placement &first);

    /** Stops waiting. */
    void cancel();

private:
    dispatch::SecondTryDecision limitedDecision();

    ExchangeContext &m_shared;
    const stages::RequestState &m_state;
    boost::asio::steady_timer m_timer;
};

}
