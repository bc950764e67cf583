#pragma once

#include "forwarding/ratemessages.h"
#include "turns/storepeers.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

/**
 * Tells all other entries when a runner has named another limit. Otherwise each of hundreds of entries would send requests
 * as before until it had an answer of its own. Nothing is sent again: an entry that missed it hears it from the runner.
 *
 * All methods must be called on one thread.
 */
class RateSharing
{
public:
    /** Receives what another entry has heard. */
    using RateHandler = std::function<void(const dispatch::KnownRate &)>;

    /**
     * @param context runs the timer
     * @param peers connections to other processes
     * @param onRate receives what other entries have heard
     */
    RateSharing(boost::asio::io_context &context, turns::StorePeers &peers, RateHandler onRate);

    /** @param entries the addresses of the other entries */
    void setEntries(std::vector<wire::Address> entries);

    /** @return number of other entries */
    std::size_t entryCount() const;

    /**
     * Tells the other entries what a runner has said in an answer to this one.
     *
     * @param known the runner and what it said
     */
    void publish(const dispatch::KnownRate &known);

    /**
     * Handles a message of another entry.
     *
     * @param message the message
     * @return the answer; nothing if the message is of another kind
     */
    std::optional<wire::MessageUnion> handleMessage(const wire::MessageUnion &message);

    /** Stops the timer. */
    void stop();

private:
    void send();

    turns::StorePeers &m_peers;
    const RateHandler m_onRate;
    std::vector<wire::Address> m_entries;
    std::map<dispatch::RunnerId, dispatch::RateStatement> m_unsent;
    boost::asio::steady_timer m_timer;
};

}
