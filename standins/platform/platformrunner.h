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

/** What a runner does with a request. */
enum class Behaviour {
    Serve,
    /** Says that it did not run the request. */
    Refuse,
    /** Runs it and closes the connection without an answer. */
    LoseAnswer,
    /** Begins a stream and closes the connection in its middle. */
    BreakOff,
    /** Runs it and never answers. */
    Hang,
    /** Answers with a success that it does not sign. */
    Forge,
    /** Says that it is another runner. */
    Misdirected,
};

/** A request as it arrived at a runner. */
struct Arrival
{
    std::string method;
    std::string target;
    std::string body;
    briarhinge::http::Headers headers;
    /** The caller's connection was closed before the answer was whole. */
    bool isAbandoned = false;
};

/** A runner of the users' platform: streams events for turns, answers everything else at once. One thread. */
class PlatformRunner
{
public:
    /** @param context runs it @param address where it listens @param id its id */
    PlatformRunner(boost::asio::io_context &context, const briarhinge::wire::Address &address, std::string id);

    /** @param behaviour what is done with the next request only; those after it are served */
    void next(Behaviour behaviour);

    /** @param behaviour what is done with every request without one of its own */
    void always(Behaviour behaviour);

    /** @return the requests that were run, or refused, in their order */
    const std::deque<Arrival> &arrivals() const;

    /** @return requests that were run */
    int runs() const;

    /** @return its id */
    const std::string &id() const;

    /** @param service the service it belongs to @param isDraining whether it leaves @return its entry in the store */
    std::string entry(const std::string &service, bool isDraining = false) const;

    /** Events of each turn; the data of event N of request R is "R.N". */
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
