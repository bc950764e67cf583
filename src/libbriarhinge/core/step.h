#pragma once

#include "core/record.h"

#include <string>
#include <variant>
#include <vector>

namespace briarhinge::core
{

/** A caller opens a program. */
struct OpenProgram
{
    ProgramSpec spec;
    KindPolicy policy;
};

/** A caller asks for a call, for the first time or again. */
struct StartCall
{
    base::ProgramId program;
    CallRequest request;
};

/** A caller ends a program. */
struct EndProgram
{
    base::ProgramId program;
};

/** The records that a call waited for are durable. */
struct CallStored
{
    base::ProgramId program;
    base::CallNumber number;
};

/** The records that a call waited for could not be made durable now. */
struct CallNotStored
{
    base::ProgramId program;
    base::CallNumber number;
    std::string reason;
    base::Milliseconds retryAfter;
};

/** The dispatcher is done with a call. */
struct CallEnded
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** The turn of a call is durable. */
struct TurnCommitted
{
    base::ProgramId program;
    base::CallNumber number;
};

/** The opening of a program is durable. */
struct OpeningStored
{
    base::ProgramId program;
};

/** What can happen to a tree of programs. */
using Event = std::variant<OpenProgram, StartCall, EndProgram, CallStored, CallNotStored, CallEnded, TurnCommitted,
                           OpeningStored>;

/** Why a request was refused without any effect. */
enum class RefusalCode {
    ProgramUnknown,
    ProgramDiffers,
    ProgramHasEnded,
    ParentUnknown,
    CallOutOfOrder,
    CallDiffers,
    HistoryDiffers,
};

/** Refuses the request; nothing changed. */
struct Refuse
{
    RefusalCode code;
    std::string text;
};

/** Tells the caller the state of the program. */
struct ShowProgram
{
    base::ProgramId program;
};

/** Gives the caller an outcome at once, without a call under way. */
struct AnswerNow
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** Lets the caller wait for the call that is under way. */
struct JoinCall
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Appends records; answers with CallStored or CallNotStored. */
struct StoreBeforeCall
{
    base::ProgramId program;
    base::CallNumber number;
    std::vector<Record> records;
};

/** Appends a record when convenient. */
struct StoreLater
{
    Record record;
};

/** Sends a call to an upstream. */
struct DispatchCall
{
    base::ProgramId program;
    CallRequest request;
    std::string prompt;
    std::int32_t priority = 0;
    /** Tokens that the whole tree has used so far. */
    base::Tokens attained;
    /** The client account that the call counts for. */
    base::AccountId account;
};

/** Stops a call that is under way, if that is still possible. */
struct CancelCall
{
    base::ProgramId program;
    base::CallNumber number;
};

/** Gives everyone who waits for a call its outcome. */
struct FinishCall
{
    base::ProgramId program;
    base::CallNumber number;
    Outcome outcome;
};

/** Lets go of what engines hold for a program. */
struct ReleaseProgram
{
    base::ProgramId program;
};

/** What the shell has to do after an event, in order. */
using Action = std::variant<Refuse, ShowProgram, AnswerNow, JoinCall, StoreBeforeCall, StoreLater, DispatchCall,
                            CancelCall, FinishCall, ReleaseProgram>;

/**
 * Decides what follows from an event. Free of clocks, threads, sockets and randomness.
 *
 * @param tree the state, changed in place
 * @param event what happened
 * @param now the time of the event
 * @return what to do, in order
 */
std::vector<Action> step(ProgramTree &tree, const Event &event, base::Timestamp now);

}
