#pragma once

#include "keyvalue/keyvalue.h"
#include "turns/turnstore.h"
#include "wire/frameserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

namespace briarhinge::turns
{

/**
 * Serves requests of entries and other turn stores. A response is sent only after the journal write that covers it.
 *
 * Journal writes run on a separate disk thread. Records that arrive during one write are batched into the next one.
 */
class TurnServer
{
public:
    /** Answers a request that concerns neither turns nor budgets; returns nothing if it is not of a known kind. */
    using RequestHandler = std::function<std::optional<wire::MessageUnion>(const wire::MessageUnion &)>;

    /**
     * @param context runs the connections, on one thread
     * @param store state of the turn store
     * @param journal persists the state
     * @param log receives disk failures and recoveries
     * @param deployment returns the key-value service items that this process knows
     * @param onRequest answers other requests; its answers do not wait for the journal
     */
    TurnServer(boost::asio::io_context &context, TurnStore &store, Journal &journal, logging::EventLog &log,
               std::function<std::vector<keyvalue::KeyValue>()> deployment, RequestHandler onRequest);

    /**
     * Starts to accept connections; may be called for several addresses.
     *
     * @param address the listen address
     * @return the port, or the error if the address can't be bound
     */
    std::variant<std::uint16_t, wire::ListenError> listen(const wire::Address &address);

    /** Writes and syncs the appended journal records with the next batch. */
    void requestSync();

    /**
     * Writes and syncs the journal records appended so far with the next batch.
     *
     * @param onWritten called once after the write, with whether the records are durable
     */
    void whenWritten(std::function<void(bool isDurable)> onWritten);

    /** @return the deployment state for processes that can't reach the key-value service */
    wire::DeploymentStateT deploymentState() const;

    /** Runs @p work on the disk thread, between two writes. */
    void postToDiskThread(std::function<void()> work);

    /** Syncs the journal, stops accepting and closes all connections. */
    void stop();

private:
    void receive(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);
    void writeNext();
    void finishWrite(const DiskResult &result, bool endsSnapshot);
    void scheduleCompaction();

    boost::asio::io_context &m_context;
    TurnStore &m_store;
    Journal &m_journal;
    logging::EventLog &m_log;
    const std::function<std::vector<keyvalue::KeyValue>()> m_deployment;
    const RequestHandler m_onRequest;
    std::vector<std::unique_ptr<wire::FrameServer>> m_servers;
    boost::asio::steady_timer m_compactionTimer;
    boost::asio::thread_pool m_diskThread;
    /** Callbacks of the next write. */
    std::vector<std::function<void(bool)>> m_nextWriteCallbacks;
    /** Callbacks of the write in progress. */
    std::vector<std::function<void(bool)>> m_currentWriteCallbacks;
    bool m_isWriting = false;
    bool m_isDiskFailing = false;
};

}
