#pragma once

#include "api/clientrequest.h"
#include "base/machinelimits.h"
#include "wire/address.h"

#include <cstddef>
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

/** What the HTTP server of a process may use. */
struct EndpointResources
{
    /** Number of threads that handle requests. */
    std::size_t threads = 1;
    base::MachineLimits machine;
};

/**
 * HTTP server of a process: callers' requests (entries only), metrics and health checks. One thread runs all connections,
 * further ones handle the requests.
 */
class CallerEndpoint
{
public:
    /**
     * @param address address to listen on
     * @param resources what the connections and requests may use
     * @param status backs /metrics, /healthz and /readyz
     * @param handler answers callers' requests; empty if the process accepts none
     * @param operators answers operators' requests; empty if the process accepts none
     */
    CallerEndpoint(const wire::Address &address, const EndpointResources &resources, ProcessStatus status,
                   api::ClientHandler handler, OperatorHandler operators = nullptr);
    ~CallerEndpoint();

    /**
     * Starts listening.
     *
     * @return an error message, empty on success
     */
    std::string start();

    /** Closes all connections and waits for the requests that are being handled. */
    void stop();

    /** @return number of callers' requests without a final response */
    std::size_t inProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
