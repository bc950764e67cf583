#pragma once

#include "core/step.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::service
{

/** The records are durable. */
struct Stored
{
};

/** The records are not durable and will not count. */
struct NotStored
{
    std::string reason;
    base::Milliseconds retryAfter;
};

/** How an append to the log ended. */
using StoreResult = std::variant<Stored, NotStored>;

/** Called when an append has ended; never from within the append itself. */
using StoreHandler = std::function<void(const StoreResult &)>;

/** Keeps the records of the programs that this process owns, in order. */
template <class T>
concept RecordLog = requires(T &log, std::vector<core::Record> records, StoreHandler handler)
{
    log.appendNow(records, handler);
    log.appendLater(records, handler);
};

/** What a dispatcher tells about a call. */
struct DispatchObserver
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    std::function<void(const core::Outcome &outcome)> ended;
};

/** Runs calls on upstreams. */
template <class T>
concept CallDispatcher = requires(T &dispatcher, core::DispatchCall call, DispatchObserver observer,
                                  base::ProgramId program, base::CallNumber number)
{
    dispatcher.dispatch(call, observer);
    dispatcher.cancel(program, number);
    dispatcher.release(program);
};

/** Knows what the operators declared for each kind of program. */
template <class T>
concept KindPolicies = requires(const T &policies, base::KindName kind)
{
    {
        policies.policyOf(kind)
        } -> std::convertible_to<std::optional<core::KindPolicy>>;
};

}
