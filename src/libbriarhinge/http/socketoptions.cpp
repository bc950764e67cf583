#include "http/socketoptions.h"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace briarhinge::http
{

namespace
{

constexpr int keepAliveProbes = 2;

void setOption(boost::asio::ip::tcp::socket &socket, int level, int name, int value)
{
    // Some kernels lack some of the options; the timeouts of the requests still apply then.
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

}

void setConnectionOptions(boost::asio::ip::tcp::socket &socket, base::Milliseconds peerTimeout)
{
    const auto milliseconds = static_cast<int>(peerTimeout.count());
    const int interval = std::max(1, milliseconds / 1000 / (keepAliveProbes + 1));
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
}

bool isReset(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    // After an orderly close by the peer, the state would be CLOSE-WAIT.
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && info.tcpi_state == TCP_CLOSE;
}

}
