#pragma once

#include "runner/upstream.h"

#include <memory>
#include <string>

namespace briarhinge::runner
{

/** Model engine with a streaming chat completions API. */
class EngineUpstream
{
public:
    /** @param url base URL of the engine @param timeout maximum time without data from the engine */
    EngineUpstream(const std::string &url, base::Milliseconds timeout);
    ~EngineUpstream();

    /**
     * Runs a model call.
     *
     * @param call the call
     * @param observer receives the chunks of the answer and the outcome
     * @return handle that cancels the call
     */
    std::shared_ptr<Cancellation> execute(const UpstreamCall &call, const UpstreamObserver &observer);

    /** Releases the prefix that the engine holds for a program. @param program the program */
    void release(const base::ProgramId &program);

    /**
     * Holds a program's prefix in the engine's cache.
     *
     * @param program the program
     * @param prefix text of the prefix
     * @param lease time after which the hold expires
     */
    void hold(const base::ProgramId &program, const std::string &prefix, base::Milliseconds lease);

    /**
     * Renews the holds of programs that still have one.
     *
     * @param programs the programs
     * @param lease time from now after which the holds expire
     */
    void renew(const std::vector<base::ProgramId> &programs, base::Milliseconds lease);

    /**
     * Requests the events of the engine's prefix cache.
     *
     * @param after number of the last known event
     * @param handler called with the events that follow it
     */
    void requestCacheEvents(std::uint64_t after, const CacheEventsHandler &handler);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
