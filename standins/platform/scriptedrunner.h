#pragma once

#include "wire/address.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace standins::platform
{

/** What a scripted runner does with the connection after the last byte of an answer. */
enum class AnswerEnding {
    KeepOpen,
    Close,
    Reset,
    /** The process ends: the connection is closed and nothing listens any more. */
    EndProcess,
    /** The last piece is sent again and again until the peer closes the connection. */
    NeverEnd,
};

/** Bytes of an answer and how its connection ends. */
struct ScriptedAnswer
{
    /** Sent one after the other, with a pause between them; "{id}" stands for the id of the request. */
    std::vector<std::string> pieces;
    AnswerEnding ending = AnswerEnding::KeepOpen;
    /** Pause after each piece; without one, pieces just arrive one by one, and a repeated piece without a pause. */
    std::optional<std::chrono::milliseconds> interval = std::nullopt;
};

/** Stand-in for a runner of the users' platform that answers with given bytes, valid or not. */
class ScriptedRunner
{
public:
    /** Receives the head of a request and returns the answer to it. */
    using Script = std::function<ScriptedAnswer(const std::string &head)>;

    /**
     * Starts to listen on a free port of 127.0.0.1; throws boost::system::system_error if that fails.
     *
     * @param context runs all handlers on one thread
     * @param script called for each request
     */
    ScriptedRunner(boost::asio::io_context &context, Script script);
    ~ScriptedRunner();

    /** Listens again on the same port after the process has ended. */
    void restart();

    /** @param script called for each request from now on */
    void setScript(Script script);

    /** @return the address on which the runner listens */
    const briarhinge::wire::Address &address() const;

    /** @return number of requests that were received whole */
    int receivedRequests() const;

    /** @return number of connections that were accepted */
    int acceptedConnections() const;

    /** @return number of bytes that were sent */
    std::size_t sentBytes() const;

    /**
     * @param service the service that the runner belongs to
     * @return the runner's registration as JSON, as written to the platform's store
     */
    std::string registration(const std::string &service) const;

private:
    class Connection;

    void accept();
    void endProcess();

    boost::asio::io_context &m_context;
    Script m_script;
    briarhinge::wire::Address m_address;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
    int m_receivedRequests = 0;
    int m_acceptedConnections = 0;
    std::size_t m_sentBytes = 0;
    std::uint64_t m_startTime;
};

}
