#pragma once

#include "base/units.h"
#include "core/step.h"
#include "runner/prefixindex.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/** Stops a call that is under way at an upstream. */
class Cancellation
{
public:
    virtual ~Cancellation() = default;

    /** Asks the upstream to stop; the call still ends with an outcome. */
    virtual void cancel() = 0;
};

/** A call for the upstream. */
struct UpstreamCall
{
    core::DispatchCall call;
    /** The part of the answer that exists already; the upstream goes on behind it. */
    std::string partial;
};

/** What an upstream tells about a call. */
struct UpstreamObserver
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    /** Unknown means that the upstream was lost after the call was sent. */
    std::function<void(const core::Outcome &outcome)> ended;
};

/** Messages of an engine about its prefix cache. */
struct CacheEvents
{
    std::vector<CacheEvent> events;
    /** Number of the last one; asking again starts behind it. */
    std::uint64_t last = 0;
};

/** Called with the messages, or with nothing when the engine could not be asked. */
using CacheEventsHandler = std::function<void(const std::optional<CacheEvents> &events)>;

/** The model engine or plain service beside this process. */
template <class T>
concept Upstream = requires(T &upstream, const UpstreamCall &call, const UpstreamObserver &observer,
                            const base::ProgramId &program)
{
    {
        upstream.execute(call, observer)
        } -> std::convertible_to<std::shared_ptr<Cancellation>>;
    upstream.release(program);
    upstream.hold(program, std::string(), base::Milliseconds());
    upstream.renew(std::vector<base::ProgramId>(), base::Milliseconds());
    upstream.cacheEvents(std::uint64_t(), CacheEventsHandler());
};

}
