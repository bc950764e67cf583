#pragma once

#include "core/record.h"

#include <string>
#include <variant>
#include <vector>

namespace briarhinge::core
{

/** Event: a caller opens a program. */
struct OpenProgram
{
    ProgramSpec spec;
    KindPolicy policy;
};

/** Event: a caller requests a call, for the first time or as a retry. */
struct StartCall
{
    base::ProgramId program;
    CallRequest request;
};

/** Event: a caller ends a program. */
struct EndProgram
{
    base::ProgramId program;
};

/** Event: the records that a call waits for have become durable. */
struct CallStored
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Event: the records that a call waits for could not be stored. */
struct CallNotStored
{
    base::ProgramId program;
    base::CallNumber number;
    std::string reason;
    base::Milliseconds retryAfter;
};

/** Event: the dispatcher has finished a call. */
struct CallEnded
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** Event: the finished turn of a call has become durable. */
struct TurnCommitted
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Event: the opening record of a program has become durable. */
struct OpeningStored
{
    base::ProgramId program;
};

/** Input of the decision core. */
using Event = std::variant<OpenProgram, StartCall, EndProgram, CallStored, CallNotStored, CallEnded, TurnCommitted,
                           OpeningStored>;

/** Reason for refusing a request. */
enum class RefusalCode {
    ProgramUnknown,
    ProgramDiffers,
    ProgramHasEnded,
    ParentUnknown,
    CallOutOfOrder,
    CallDiffers,
    HistoryDiffers,
};

/** Action: refuse the request; the state is unchanged. */
struct Refuse
{
    RefusalCode code;
    std::string text;
};

/** Action: reply to the caller with the state of the program. */
struct ShowProgram
{
    base::ProgramId program;
};

/** Action: reply to the caller with an outcome immediately. */
struct AnswerNow
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** Action: let the caller wait for the outcome of an unfinished call. */
struct JoinCall
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Action: append records to the log; followed by a CallStored or CallNotStored event. */
struct StoreBeforeDispatch
{
    base::ProgramId program;
    base::CallNumber number;
    std::vector<Record> records;
};

/** Action: append a record to the log; the write may be deferred. */
struct StoreDeferred
{
    Record record;
};

/** Action: hand a call to the dispatcher, which sends it to an upstream. */
struct DispatchCall
{
    base::ProgramId program;
    CallRequest request;
    std::string prompt;
    std::int32_t priority = 0;
    /** Tokens that the whole tree has used so far (its attained service). */
    base::Tokens attained;
    /** The client account to which the call is attributed. */
    base::AccountId account;
};

/** Action: cancel a running call, if still possible. */
struct CancelCall
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Action: reply with the outcome to all callers that wait for the call. */
struct FinishCall
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** Action: release the engine caches held for a program. */
struct ReleaseProgram
{
    base::ProgramId program;
};

/** Output of the decision core: one side effect to carry out. */
using Action = std::variant<Refuse, ShowProgram, AnswerNow, JoinCall, StoreBeforeDispatch, StoreDeferred, DispatchCall,
                            CancelCall, FinishCall, ReleaseProgram>;

/**
 * Processes an event. Deterministic: uses no clocks, threads, sockets or randomness.
 *
 * @param tree the state, modified in place
 * @param event the event
 * @param now the time of the event
 * @return the actions to carry out, in order
 */
std::vector<Action> step(ProgramTree &tree, const Event &event, base::Timestamp now);

}
