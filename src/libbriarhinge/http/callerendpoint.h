#pragma once

#include "api/clientrequest.h"
#include "wire/address.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhinge::http
{

/** What an endpoint tells operators and the platform about the process. */
struct ProcessStatus
{
    /** Whether the process takes new work. */
    std::function<bool()> isReady;
    /** The metrics in the text format of Prometheus. */
    std::function<std::string()> metrics;
};

/** What an operator asks of an entry, below /v1/operator/. */
struct OperatorRequest
{
    /** Whether it changes something. */
    bool isPost = false;
    /** The parts of the path behind /v1/operator. */
    std::vector<std::string> path;
};

/** Answers an operator's request, perhaps later. */
using OperatorHandler = std::function<void(OperatorRequest, std::function<void(const api::ClientReply &)>)>;

/** The HTTP side of a process: callers' requests (entries only), metrics and health. */
class CallerEndpoint
{
public:
    /**
     * @param address where to listen
     * @param status for /metrics, /healthz and /readyz
     * @param handler answers callers' requests; empty where the process takes none
     * @param operators answers operators' requests; empty where the process takes none
     */
    CallerEndpoint(const wire::Address &address, ProcessStatus status, api::ClientHandler handler,
                   OperatorHandler operators = nullptr);
    ~CallerEndpoint();

    /** Starts to listen. @return why it can't, or an empty text */
    std::string start();

    /** Stops listening. */
    void stop();

    /** @return callers' requests that have no final answer yet */
    std::size_t inProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

/** Sets the number of threads that HTTP runs on; before any other use of it. */
void setHttpThreads(std::size_t count);

}
