#pragma once

#include "base/units.h"
#include "http/clientconnection.h"
#include "http/responseend.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace briarhinge::http
{

/** A request to a service. */
struct ClientRequest
{
    std::string method = "GET";
    /** Path and query, encoded, below the path of the service's URL. */
    std::string target;
    std::string contentType;
    std::string body;
};

/** How a call of a Client ended. */
struct CallEnd
{
    /** Whether a connection was open: without one, the service cannot have received the request. */
    bool wasConnected = false;
    ResponseEnd response;
    /** Why there is no whole response, for logs; empty if its framing states that it is whole. */
    std::string reason;
};

/** Callbacks for one call, on the thread of the client and in the order of the members. */
struct CallHandlers
{
    std::function<void(const ResponseHead &)> onHead;
    /** Returns whether the response has made progress, from which on the timeout starts again. */
    std::function<bool(std::string_view)> onBody;
    /** Called once. */
    std::function<void(const CallEnd &)> onEnd;
};

/** A whole response, or the part of one that was received. */
struct ClientResponse
{
    ResponseHead head;
    std::string body;
    CallEnd end;
};

/** Handle of a call that is under way. */
class ClientCall
{
public:
    virtual ~ClientCall() = default;

    /** Closes the connection; the call ends as lost. May be called on any thread. */
    virtual void cancel() = 0;
};

/** Limits on the calls of a client. */
struct ClientLimits
{
    /** Maximum time of a call from its start or its last progress. */
    base::Milliseconds timeout;
    /** Maximum size of the body of a response. */
    std::size_t maxBodyBytes = 0;
};

/**
 * HTTP client of a service that is named by its URL. Runs its connections on a thread of its own. Heads and bodies that
 * exceed their limits end a call. Thread-safe.
 *
 * A request is sent once, with one exception: a GET request is sent again if a kept connection closes before any byte
 * of its response.
 */
class Client
{
public:
    using ResponseHandler = std::function<void(ClientResponse &)>;

    /** What becomes of a connection after a whole response. */
    enum class Reuse {
        Keep,
        /** Each call has a connection of its own. */
        Never,
    };

    /**
     * @param url the URL of the service, with the scheme http or https
     * @param limits limits on each call
     * @param reuse whether connections are kept for later calls
     */
    Client(const std::string &url, const ClientLimits &limits, Reuse reuse);

    /** Ends all calls; their handlers are not called any more. */
    ~Client();

    /**
     * Sends a request without waiting for the response.
     *
     * @param request the request
     * @param handlers callbacks for the response
     * @return handle of the call
     */
    std::shared_ptr<ClientCall> send(ClientRequest request, CallHandlers handlers);

    /**
     * Sends a request and gathers the response, without waiting for it.
     *
     * @param request the request
     * @param onResponse called once, on the thread of the client; the end of the response says whether it is whole
     * @param wait how long the service may delay the response, in addition to the timeout
     * @return handle of the call
     */
    std::shared_ptr<ClientCall> send(ClientRequest request, ResponseHandler onResponse,
                                     base::Milliseconds wait = base::Milliseconds(0));

    /**
     * Sends a request and waits for the response.
     *
     * @param request the request
     * @param wait how long the service may delay the response, in addition to the timeout
     * @return the response; its end says whether it is whole
     */
    ClientResponse call(ClientRequest request, base::Milliseconds wait = base::Milliseconds(0));

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
