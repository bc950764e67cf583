#pragma once

#include "keyvalue/keyvalue.h"
#include "turns/turnstore.h"
#include "wire/frameserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

namespace briarhinge::turns
{

/**
 * Answers requests of entries and other turn stores by frames; every answer waits for the write that covers it.
 *
 * The disk has a thread of its own: what arrives during one write goes into the next one together.
 */
class TurnServer
{
public:
    /**
     * @param context runs the connections, on one thread
     * @param store what is kept
     * @param journal where it is made durable
     * @param log gets lost and regained disks
     * @param deployment asked for the entries of the platform's store that this process knows
     */
    TurnServer(boost::asio::io_context &context, TurnStore &store, Journal &journal, logging::EventLog &log,
               std::function<std::vector<keyvalue::KeyValue>()> deployment);

    /** May be called for several addresses. @param address where to listen @return the port, or why it can't be had */
    std::variant<std::uint16_t, wire::ListenError> listen(const wire::Address &address);

    /** Has what was appended to the journal synced soon, together with other records. */
    void requestSync();

    /**
     * Has what was appended to the journal so far synced together with other records.
     *
     * @param onWritten called once that is over, with whether all of it is on the disk
     */
    void whenWritten(std::function<void(bool isWritten)> onWritten);

    /** @return what a process that can't reach the platform's store is told */
    wire::DeploymentStateT deploymentState() const;

    /** @param work done on the thread of the disk, between two writes */
    void postToDisk(std::function<void()> work);

    /** Stops accepting, syncs and closes every connection. */
    void stop();

private:
    void receive(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);
    void writeNext();
    void written(const DiskResult &result, bool isSnapshot);
    void tidyRegularly();

    boost::asio::io_context &m_context;
    TurnStore &m_store;
    Journal &m_journal;
    logging::EventLog &m_log;
    const std::function<std::vector<keyvalue::KeyValue>()> m_deployment;
    std::vector<std::unique_ptr<wire::FrameServer>> m_servers;
    boost::asio::steady_timer m_tidyTimer;
    boost::asio::thread_pool m_disk;
    /** What waits for the next write. */
    std::vector<std::function<void(bool)>> m_waiting;
    /** What waits for the write under way. */
    std::vector<std::function<void(bool)>> m_covered;
    bool m_isWriting = false;
    bool m_isDiskFailing = false;
};

}
