#pragma once

#include "http/listener.h"
#include "http/serverconnection.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace standins::platform
{

/** How a runner handles a request. */
enum class Behaviour {
    Serve,
    /** Rejects the request and marks it as not executed. */
    Refuse,
    /** Executes the request and closes the connection without an answer. */
    LoseAnswer,
    /** Starts a stream and closes the connection before its last event. */
    BreakOff,
    /** Executes the request and never answers. */
    Hang,
    /** Answers with a success without the X-Server-Stamp field. */
    Forge,
    /** Answers with status 421, as a runner with another id does. */
    Misdirected,
};

/** A request as received by a runner. */
struct Arrival
{
    std::string method;
    std::string target;
    std::string body;
    briarhinge::http::Headers headers;
    /** Whether the connection was closed before the answer was complete. */
    bool isAbandoned = false;
};

/** Stand-in for a runner of the users' platform: streams events for turns, answers other requests at once. */
class PlatformRunner
{
public:
    /**
     * Starts to listen; throws std::runtime_error if that fails.
     *
     * @param context runs all handlers on one thread
     * @param address the listen address
     * @param id the id of the runner
     */
    PlatformRunner(boost::asio::io_context &context, const briarhinge::wire::Address &address, std::string id);

    /**
     * Sets the behaviour for a single request. Further calls queue behaviours for the requests after it.
     *
     * @param behaviour the behaviour
     */
    void next(Behaviour behaviour);

    /**
     * Sets the behaviour for all requests that have no queued one.
     *
     * @param behaviour the behaviour
     */
    void always(Behaviour behaviour);

    /** @return all received requests in order, including rejected ones */
    const std::deque<Arrival> &arrivals() const;

    /** @return number of executed requests */
    int runs() const;

    /** @return the id of the runner */
    const std::string &id() const;

    /**
     * @param service the service that the runner belongs to
     * @param isDraining whether the runner accepts no new requests
     * @return the runner's registration as JSON, as written to the platform's store
     */
    std::string entry(const std::string &service, bool isDraining = false) const;

    /** Number of events per turn; the data of event N of request R is "R.N". */
    static constexpr int eventsOfTurn = 3;

private:
    using Connection = std::shared_ptr<briarhinge::http::ServerConnection>;

    void handle(const Connection &connection, briarhinge::http::IncomingRequest request);
    void stream(const Connection &connection, const std::string &request, bool isWhole);
    void sendEvent(const Connection &connection, const std::string &request, int number, bool isWhole);

    boost::asio::io_context &m_context;
    const briarhinge::wire::Address m_address;
    const std::string m_id;
    briarhinge::http::Listener m_listener;
    std::deque<Behaviour> m_next;
    Behaviour m_always = Behaviour::Serve;
    std::deque<Arrival> m_arrivals;
    int m_runs = 0;
};

}
