#pragma once

#include "base/units.h"
#include "logging/eventlog.h"
#include "turns/storepeers.h"
#include "turns/turnserver.h"
#include "turns/turnstore.h"

#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

/**
 * Fetches the turns that this turn store missed while it was down or cut off, as soon as it stores a turn that continues
 * them. A store with gaps in a chain can't tell which older turns the chain still needs, and would let them expire. A store
 * that joins the group gets a copy of all state instead.
 */
class ChainRepair
{
public:
    /**
     * @param context runs the timer and the handlers, on one thread
     * @param peers connections to the other turn stores
     * @param store state of this turn store
     * @param server syncs the journal records of the fetched turns
     * @param log receives how many turns were fetched
     */
    ChainRepair(boost::asio::io_context &context, StorePeers &peers, TurnStore &store, TurnServer &server,
                logging::EventLog &log);

    /** Starts the regular checks. */
    void start();

    /** Stops the regular checks. */
    void stop();

private:
    void checkAfter(base::Milliseconds time);
    void check();
    /** Asks a member for missing turns. @return whether there are any to ask for, so that a reply follows */
    bool fetchMissing();
    /** @return missing turns that @p disk has not said to lack, as many as one request names */
    std::vector<std::string> turnsToAsk(const DiskId &disk) const;
    void fetchFrom(const StoreMember &member, std::vector<std::string> ids);
    /** Stores what @p member has and records what it lacks. @return whether it answered and there is room */
    bool mergePage(const StoreMember &member, const std::vector<std::string> &ids, const wire::ChannelReply &reply);
    void updateMissing();

    StorePeers &m_peers;
    TurnStore &m_store;
    TurnServer &m_server;
    logging::EventLog &m_log;
    boost::asio::steady_timer m_timer;
    /** The missing turns that may be asked for, and the disks that lack them. */
    std::map<TurnId, RespondingDisks> m_missing;
    /** Number of requests so far, by which the members take turns. */
    std::size_t m_requests = 0;
    bool m_isStopped = false;
};

}
