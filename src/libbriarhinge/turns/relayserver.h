#pragma once

#include "turns/storepeers.h"
#include "wire/frameserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/** Passes requests of other processes, which can't reach the turn stores themselves, on to these. One thread. */
class RelayServer
{
public:
    /**
     * @param context runs the connections
     * @param peers asks the turn stores
     * @param isStore tells whether a turn store listens at an address; nobody else gets anything
     * @param log gets bad frames
     */
    RelayServer(boost::asio::io_context &context, StorePeers &peers, std::function<bool(const wire::Address &)> isStore,
                logging::EventLog &log);

    /** @param address where to listen @return the port, or why it can't be had */
    std::variant<std::uint16_t, wire::ListenError> listen(const wire::Address &address);

    /** Closes every connection. */
    void stop();

private:
    void receive(const std::shared_ptr<wire::FrameSession> &session, wire::FrameT frame);

    StorePeers &m_peers;
    const std::function<bool(const wire::Address &)> m_isStore;
    wire::FrameServer m_server;
};

}
