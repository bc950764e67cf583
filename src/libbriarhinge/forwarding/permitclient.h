#pragma once

#include "dispatch/loadbalancer.h"
#include "forwarding/ratemessages.h"
#include "turns/turnclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::forwarding
{

/**
 * Gets permits to send requests to runners with a limit. The turn stores grant them; each has an equal share of every
 * limit. All methods must be called on one thread.
 */
class PermitClient
{
public:
    /** Receives the runner to which the request may be sent now; nothing if none is free. Called exactly once. */
    using PermitHandler = std::function<void(std::optional<dispatch::RunnerId>)>;
    /** Receives what a turn store knows of a runner. */
    using RateHandler = std::function<void(const dispatch::KnownRate &)>;

    /**
     * @param context runs the timers
     * @param stores the turn stores
     * @param balancer the runners, their limits and what is known of free permits
     * @param onRate receives what turn stores know of the runners
     */
    PermitClient(boost::asio::io_context &context, turns::TurnClient &stores, dispatch::LoadBalancer &balancer,
                 RateHandler onRate);

    /**
     * Asks one turn store for a permit and waits until it may be used. What the turn store said is known to the balancer
     * when this is done.
     *
     * @param runners runners with limits, the best first; any of them would do
     * @param maxWait longest time for which the request can wait
     * @param onResult receives the result
     */
    void acquire(const std::vector<dispatch::RunnerId> &runners, base::Milliseconds maxWait, PermitHandler onResult);

private:
    struct PendingPermit;

    void applyReply(const std::shared_ptr<PendingPermit> &pending, const wire::ChannelReply &reply);

    boost::asio::io_context &m_context;
    turns::TurnClient &m_stores;
    dispatch::LoadBalancer &m_balancer;
    const RateHandler m_onRate;
};

}
