#include "forwarding/runnerprobe.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/** Longer than a lost packet of the connection's setup takes to be sent again on a short path. */
constexpr base::Milliseconds connectTimeout{250};

struct Attempt
{
    explicit Attempt(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
};

Reachability toReachability(const error_code &error)
{
    if (!error) {
        return Reachability::Reachable;
    }
    return error == asio::error::connection_refused || error == asio::error::connection_reset ? Reachability::Refused
                                                                                              : Reachability::Silent;
}

void connect(const std::shared_ptr<Attempt> &attempt, const wire::Address &address,
             const RunnerProbe::ResultHandler &onResult)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (error) {
        onResult(Reachability::Silent);
        return;
    }
    attempt->timer.expires_after(connectTimeout);
    attempt->timer.async_wait([attempt](const error_code &cancelled) {
        if (!cancelled) {
            error_code ignored;
            attempt->socket.close(ignored);
        }
    });
    attempt->socket.async_connect(endpoint, [attempt, onResult](const error_code &failed) {
        attempt->timer.cancel();
        onResult(toReachability(failed));
    });
}

}

RunnerProbe::RunnerProbe(asio::io_context &context)
    : m_context(context)
{
}

void RunnerProbe::probe(const wire::Address &address, base::Milliseconds delay, ResultHandler onResult)
{
    const auto attempt = std::make_shared<Attempt>(m_context);
    attempt->timer.expires_after(delay);
    const auto report = [lifetime = std::weak_ptr(m_lifetime), onResult = std::move(onResult)](Reachability result) {
        if (!lifetime.expired()) {
            onResult(result);
        }
    };
    attempt->timer.async_wait([attempt, address, report](const error_code &error) {
        if (!error) {
            connect(attempt, address, report);
        }
    });
}

}
