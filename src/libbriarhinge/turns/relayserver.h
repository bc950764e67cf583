#pragma once

#include "turns/storepeers.h"
#include "wire/frameserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/**
 * Relays requests of processes that can't reach the turn stores themselves, and answers those that are for this process.
 * All methods must be called on one thread.
 */
class RelayServer
{
public:
    /** Answers a request of another process; returns nothing if it is not of a known kind. */
    using RequestHandler = std::function<std::optional<wire::MessageUnion>(const wire::MessageUnion &)>;

    /**
     * @param context runs the connections
     * @param peers connections to the turn stores
     * @param isTurnStore returns whether a turn store listens at an address; requests to other addresses are rejected
     * @param onRequest answers requests that are not to be relayed
     * @param log receives malformed frames
     */
    RelayServer(boost::asio::io_context &context, StorePeers &peers,
                std::function<bool(const wire::Address &)> isTurnStore, RequestHandler onRequest,
                logging::EventLog &log);

    /**
     * Starts to accept connections.
     *
     * @param address the listen address
     * @return the port, or the error if the address can't be bound
     */
    std::variant<std::uint16_t, wire::ListenError> listen(const wire::Address &address);

    /** Stops accepting and closes all connections. */
    void stop();

private:
    void receive(const std::shared_ptr<wire::FrameSession> &session, wire::FrameT frame);
    void answer(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);

    StorePeers &m_peers;
    const std::function<bool(const wire::Address &)> m_isTurnStore;
    const RequestHandler m_onRequest;
    wire::FrameServer m_server;
};

}
