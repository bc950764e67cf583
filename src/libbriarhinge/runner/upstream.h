#pragma once

#include "base/units.h"
#include "core/step.h"
#include "requests/messages.h"
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

/** Cancels a call that is running on an upstream. */
class Cancellation
{
public:
    virtual ~Cancellation() = default;

    /** Asks the upstream to stop; the call still ends with an outcome. */
    virtual void cancel() = 0;
};

/** A call to run on an upstream. */
struct UpstreamCall
{
    core::DispatchCall call;
    /** The part of the answer that was already generated; the upstream continues after it. */
    std::string partial;
};

/** Callbacks for the progress of a call. */
struct UpstreamObserver
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    /** Called with what the head of the response says of the calls a second that the upstream takes. */
    std::function<void(const requests::StatedRate &stated)> rateStated;
    /** Called once; Unknown means that the connection to the upstream failed after the call was sent. */
    std::function<void(const core::Outcome &outcome)> ended;
};

/** Events of an engine's prefix cache. */
struct CacheEvents
{
    std::vector<CacheEvent> events;
    /** Number of the last event; the next request starts after it. */
    std::uint64_t last = 0;
};

/** Called with the events, or with nothing if the request failed. */
using CacheEventsHandler = std::function<void(const std::optional<CacheEvents> &events)>;

/** The model engine or tool service that a runner process serves. */
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
    upstream.requestCacheEvents(std::uint64_t(), CacheEventsHandler());
};

}
