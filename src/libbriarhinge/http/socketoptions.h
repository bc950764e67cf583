#pragma once

#include "base/units.h"

#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::http
{

/**
 * Sets what every connection needs: small writes leave at once, and a peer without a sign of life ends it.
 *
 * @param socket an open socket
 * @param silenceLimit longest silence of the peer's kernel
 */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket, base::Milliseconds silenceLimit);

}
