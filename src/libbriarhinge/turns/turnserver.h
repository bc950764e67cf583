#pragma once

#include "turns/turnstore.h"
#include "wire/frameserver.h"

#include <chrono>
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
     */
    TurnServer(boost::asio::io_context &context, TurnStore &store, Journal &journal, logging::EventLog &log);

    /** @param address where to listen @return the port, or why it can't be had */
    std::variant<std::uint16_t, wire::ListenError> listen(const wire::Address &address);

    /** Has what was appended to the journal synced soon, together with other records. */
    void requestSync();

    /** Stops accepting, syncs and closes every connection. */
    void stop();

private:
    struct Answer
    {
        std::weak_ptr<wire::FrameSession> session;
        wire::FrameT frame;
    };

    void receive(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);
    void writeNext();
    void written(const DiskResult &result, bool isSnapshot);
    void tidyRegularly();

    boost::asio::io_context &m_context;
    TurnStore &m_store;
    Journal &m_journal;
    logging::EventLog &m_log;
    wire::FrameServer m_server;
    boost::asio::steady_timer m_tidyTimer;
    boost::asio::thread_pool m_disk;
    /** Answers that wait for the next write. */
    std::vector<Answer> m_answers;
    /** Answers that wait for the write under way. */
    std::vector<Answer> m_covered;
    bool m_isWriting = false;
    bool m_isDiskFailing = false;
};

}
