#pragma once

#include "base/units.h"
#include "http/headers.h"
#include "http/serverlimits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::http
{

/** A request as it came, whole. */
struct IncomingRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    bool isKeptOpen = true;
};

/** An answer's status and fields, the length and the connection's own fields left out. */
struct AnswerHead
{
    unsigned status = 0;
    Headers headers;
};

/**
 * One HTTP/1.1 connection of a caller: reads one request after another, tells when the caller leaves, writes answers
 * whole or piece by piece.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Gets each request; the answer may come later. */
    using RequestHandler = std::function<void(const std::shared_ptr<ServerConnection> &, IncomingRequest)>;
    /** Called when the connection has ended. */
    using CloseHandler = std::function<void(const std::shared_ptr<ServerConnection> &)>;

    /**
     * @param socket a connected socket
     * @param limits asked for the limits before each request
     * @param onRequest gets the requests
     * @param onClose told of the end
     */
    ServerConnection(boost::asio::ip::tcp::socket socket, std::function<ServerLimits()> limits,
                     RequestHandler onRequest, CloseHandler onClose);
    ~ServerConnection();

    /** Begins to read. */
    void start();

    /** @param onGone called when the caller leaves before the answer to the present request is whole */
    void setGoneHandler(std::function<void()> onGone);

    /** Answers the present request. @param head status and fields @param body the whole body */
    void answer(const AnswerHead &head, std::string_view body);

    /** Begins an answer that comes in pieces. @param head status and fields */
    void beginAnswer(const AnswerHead &head);

    /** Sends a piece of the answer. @param piece not empty */
    void sendPiece(std::string_view piece);

    /** Ends an answer that came in pieces. */
    void endAnswer();

    /** Ends the connection without ending the answer, so that it can't be taken for whole. */
    void abort();

    /** Has the connection close after the next answer. */
    void closeAfterAnswer();

    /** Closes the connection once the present request is answered, or at once when there is none. */
    void closeSoon();

    /** @return whether a request has no whole answer yet */
    bool isBusy() const;

private:
    class Private;

    void awaitRequest();
    void readMore();
    void parseInput();
    void requestRead();
    void refuse(unsigned status);
    void write(std::string bytes);
    void writeNext();
    void answerDone();
    void closeGracefully();
    void closeNow();
    void startTimer(base::Milliseconds limit);

    std::unique_ptr<Private> d;
};

}
