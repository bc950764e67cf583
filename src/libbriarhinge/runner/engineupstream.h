#pragma once

#include "runner/upstream.h"

#include <memory>
#include <string>

namespace briarhinge::runner
{

/** A model engine with the usual chat-completions interface and streaming. */
class EngineUpstream
{
public:
    /** @param url address of the engine @param timeout longest silence of the engine */
    EngineUpstream(const std::string &url, base::Milliseconds timeout);
    ~EngineUpstream();

    /** Runs a model call. @param call what to run @param observer is told of it @return stops it */
    std::shared_ptr<Cancellation> execute(const UpstreamCall &call, const UpstreamObserver &observer);

    /** Lets go of what the engine holds for a program. @param program the program */
    void release(const base::ProgramId &program);

    /** Keeps a program's prefix. @param program the program @param prefix its text @param lease ends by itself after */
    void hold(const base::ProgramId &program, const std::string &prefix, base::Milliseconds lease);

    /** Keeps prefixes longer that are held still. @param programs their programs @param lease the new lease */
    void renew(const std::vector<base::ProgramId> &programs, base::Milliseconds lease);

    /** Asks for messages about the prefix cache. @param after number of the last known one @param handler gets them */
    void cacheEvents(std::uint64_t after, const CacheEventsHandler &handler);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
