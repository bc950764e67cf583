#pragma once

#include "base/units.h"
#include "wire/address.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace briarhinge::forwarding
{

/** Result of an attempt to connect to a runner. */
enum class Reachability {
    /** A process listens at the address. */
    Reachable,
    /** The host answers, but no process listens. */
    Refused,
    /** There was no answer in time: the host is down or cut off. */
    Silent,
};

/** Finds out whether processes listen at the addresses of runners. Sends no request. Must be used on one thread. */
class RunnerProbe
{
public:
    /** Receives the result; called at most once, never before probe() returns nor after the end of this object. */
    using ResultHandler = std::function<void(Reachability)>;

    /** @param context runs the probes; must outlive them */
    explicit RunnerProbe(boost::asio::io_context &context);

    /**
     * Tries to connect.
     *
     * @param address address of the runner
     * @param delay time before the attempt, in milliseconds
     * @param onResult receives the result
     */
    void probe(const wire::Address &address, base::Milliseconds delay, ResultHandler onResult);

private:
    boost::asio::io_context &m_context;
    /** Expires with this object; probes hold a weak pointer to it. */
    const std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
};

}
