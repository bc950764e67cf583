#pragma once

#include "api/clientrequest.h"
#include "wire/address.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhinge::http
{

/** Provides the state of the process for operators and the platform. */
struct ProcessStatus
{
    /** Returns whether the process accepts new work. */
    std::function<bool()> isReady;
    /** Returns the metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
};

/** An operator's request below /v1/operator/. */
struct OperatorRequest
{
    /** Whether the request changes something. */
    bool isPost = false;
    /** Segments of the path after /v1/operator. */
    std::vector<std::string> path;
};

/** Answers an operator's request, possibly after it has returned. */
using OperatorHandler = std::function<void(OperatorRequest, std::function<void(const api::ClientReply &)>)>;

/** HTTP server of a process: callers' requests (entries only), metrics and health checks. */
class CallerEndpoint
{
public:
    /**
     * @param address address to listen on
     * @param status backs /metrics, /healthz and /readyz
     * @param handler answers callers' requests; empty if the process accepts none
     * @param operators answers operators' requests; empty if the process accepts none
     */
    CallerEndpoint(const wire::Address &address, ProcessStatus status, api::ClientHandler handler,
                   OperatorHandler operators = nullptr);
    ~CallerEndpoint();

    /**
     * Starts listening.
     *
     * @return an error message, empty on success
     */
    std::string start();

    void stop();

    /** @return number of callers' requests without a final response */
    std::size_t inProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

/**
 * Sets the size of the thread pool for HTTP. Must be called before any other use of HTTP.
 *
 * @param count number of threads
 */
void setHttpThreads(std::size_t count);

}
