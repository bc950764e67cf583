#pragma once

#include "runner/upstream.h"

#include <memory>
#include <string>

namespace briarhinge::runner
{

/** A plain service that runs tools, some of which may not be repeated. */
class ToolUpstream
{
public:
    /** @param url address of the service @param timeout longest wait for an answer */
    ToolUpstream(std::string url, base::Milliseconds timeout);

    /** Runs a tool call. @param call what to run @param observer is told of it @return stops waiting for it */
    std::shared_ptr<Cancellation> execute(const UpstreamCall &call, const UpstreamObserver &observer);

    /** Tools hold nothing for programs. */
    void release(const base::ProgramId &program);

    /** Tools hold nothing for programs. */
    void hold(const base::ProgramId &program, const std::string &prefix, base::Milliseconds lease);

    /** Tools hold nothing for programs. */
    void renew(const std::vector<base::ProgramId> &programs, base::Milliseconds lease);

    /** Tools have no prefix cache. */
    void cacheEvents(std::uint64_t after, const CacheEventsHandler &handler);

private:
    const std::string m_url;
    const base::Milliseconds m_timeout;
};

}
