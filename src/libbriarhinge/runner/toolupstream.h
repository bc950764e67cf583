#pragma once

#include "runner/upstream.h"

#include <memory>
#include <string>

namespace briarhinge::http
{
class Client;
}

namespace briarhinge::runner
{

/** HTTP service that runs tools, some of which are not idempotent. */
class ToolUpstream
{
public:
    /** @param url base URL of the service @param timeout maximum time to wait for a response */
    ToolUpstream(const std::string &url, base::Milliseconds timeout);
    ~ToolUpstream();

    /**
     * Runs a tool call.
     *
     * @param call the call
     * @param observer receives the outcome
     * @return handle that does nothing, since tool calls can't be cancelled
     */
    std::shared_ptr<Cancellation> execute(const UpstreamCall &call, const UpstreamObserver &observer);

    /** Does nothing: tools hold no prefixes. */
    void release(const base::ProgramId &program);

    /** Does nothing: tools hold no prefixes. */
    void hold(const base::ProgramId &program, const std::string &prefix, base::Milliseconds lease);

    /** Does nothing: tools hold no prefixes. */
    void renew(const std::vector<base::ProgramId> &programs, base::Milliseconds lease);

    /** Passes an empty list to the handler: tools have no prefix cache. @param after returned as the last event */
    void requestCacheEvents(std::uint64_t after, const CacheEventsHandler &handler);

private:
    std::unique_ptr<http::Client> m_client;
};

}
