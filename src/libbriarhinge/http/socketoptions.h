#pragma once

#include "base/units.h"

#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::http
{

/**
 * Sets the options that every connection needs: small writes are sent at once, and the connection ends when the peer
 * shows no sign of life.
 *
 * @param socket an open socket
 * @param peerTimeout maximum time without a sign of life from the peer's TCP stack
 */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket, base::Milliseconds peerTimeout);

/**
 * @param socket a socket whose receipt has ended
 * @return whether its connection was reset, which the system may have told another operation of the socket; false if the system
 * does not say
 */
bool isReset(boost::asio::ip::tcp::socket &socket);

}
