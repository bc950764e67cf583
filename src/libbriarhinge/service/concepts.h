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

/** The records could not be stored. */
struct NotStored
{
    std::string reason;
    base::Milliseconds retryAfter;
};

/** Result of an append to the log. */
using StoreResult = std::variant<Stored, NotStored>;

/** Called with the result of an append; never from within the append itself. */
using StoreHandler = std::function<void(const StoreResult &)>;

/** A durable, ordered log for the records of the programs that this process owns. */
template <class T>
concept RecordLog = requires(T &log, std::vector<core::Record> records, StoreHandler handler)
{
    log.appendRequired(records, handler);
    log.appendDeferred(records, handler);
};

/** Receives the progress of a dispatched call. */
struct DispatchObserver
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    std::function<void(const core::Outcome &outcome)> ended;
};

/** Executes calls on upstreams. */
template <class T>
concept CallDispatcher = requires(T &dispatcher, core::DispatchCall call, DispatchObserver observer,
                                  base::ProgramId program, base::CallNumber number)
{
    dispatcher.dispatch(call, observer);
    dispatcher.cancel(program, number);
    dispatcher.release(program);
};

/** Provides the policy that the operators declared for each kind of program. */
template <class T>
concept KindPolicies = requires(const T &policies, base::KindName kind)
{
    {
        policies.policyForKind(kind)
        } -> std::convertible_to<std::optional<core::KindPolicy>>;
};

}
