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
    Reject,
    /** Executes the request and closes the connection without an answer. */
    DropAnswer,
    /** Starts a stream and closes the connection before its last event. */
    TruncateStream,
    /** Executes the request and never answers. */
    Hang,
    /** Answers with a success without the X-Server-Stamp field. */
    OmitStamp,
    /** Answers with status 421, as a runner with another id does. */
    Misdirect,
};

/** A request as received by a runner. */
struct ReceivedRequest
{
    std::string method;
    std::string target;
    std::string body;
    briarhinge::http::Headers headers;
    /** Whether the connection was closed before the answer was complete. */
    bool isDisconnected = false;
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
    void queueBehaviour(Behaviour behaviour);

    /**
     * Sets the behaviour for all requests that have no queued one.
     *
     * @param behaviour the behaviour
     */
    void setDefaultBehaviour(Behaviour behaviour);

    /**
     * Lets requests crash the runner.
     *
     * @param text a request whose path or body contains this crashes the runner when it begins to run
     * @param onCrash called after all connections were closed; empty for none
     */
    void setCrashText(std::string text, std::function<void()> onCrash = {});

    /** @param mustReset returns whether requests are executed and their connections closed without an answer */
    void setResetCondition(std::function<bool()> mustReset);

    /** @param isLeaving returns whether answers say that the runner leaves */
    void setLeavingCondition(std::function<bool()> isLeaving);

    /** @param onExecuted called with each request that begins to run */
    void setExecutionHandler(std::function<void(const ReceivedRequest &)> onExecuted);

    /** Stops to listen and closes all connections, as if the process had been killed. */
    void crash();

    /**
     * Listens again after a crash.
     *
     * @param id the id of the new incarnation; may be that of the old one
     */
    void restart(std::string id);

    /** @return whether the runner listens */
    bool isRunning() const;

    /** @return all received requests in order, including rejected ones */
    const std::deque<ReceivedRequest> &receivedRequests() const;

    /** @return number of executed requests */
    int executedRequests() const;

    /** @return the id of the runner */
    const std::string &id() const;

    /**
     * @param service the service that the runner belongs to
     * @param isDraining whether the runner accepts no new requests
     * @return the runner's registration as JSON, as written to the platform's store
     */
    std::string registration(const std::string &service, bool isDraining = false) const;

    /** Number of events per turn; the data of event N of request R is "R.N". */
    static constexpr int eventsPerTurn = 3;

private:
    using Connection = std::shared_ptr<briarhinge::http::ServerConnection>;

    briarhinge::http::OutgoingResponseHead answerHead(unsigned status, const std::string &request) const;
    briarhinge::http::OutgoingResponseHead signedAnswerHead(unsigned status, const std::string &request) const;
    void listen();
    void handle(const Connection &connection, briarhinge::http::IncomingRequest request);
    bool isCrashing(const ReceivedRequest &request) const;
    void stream(const Connection &connection, const std::string &request, bool isComplete);
    void sendEvent(const Connection &connection, const std::string &request, int number, bool isComplete);

    boost::asio::io_context &m_context;
    const briarhinge::wire::Address m_address;
    std::string m_id;
    std::unique_ptr<briarhinge::http::Listener> m_listener;
    /** Listeners of earlier incarnations, whose last handlers may still be pending. */
    std::vector<std::unique_ptr<briarhinge::http::Listener>> m_closedListeners;
    std::string m_crashText;
    std::function<bool()> m_mustReset;
    std::function<bool()> m_isLeaving;
    std::function<void()> m_onCrash;
    std::function<void(const ReceivedRequest &)> m_onExecuted;
    std::uint64_t m_startTime;
    std::deque<Behaviour> m_queuedBehaviours;
    Behaviour m_defaultBehaviour = Behaviour::Serve;
    std::deque<ReceivedRequest> m_receivedRequests;
    int m_executedRequests = 0;
};

}
