#pragma once

#include "base/digest.h"
#include "base/ids.h"
#include "base/units.h"
#include "core/budget.h"
#include "core/call.h"
#include "core/outcome.h"

#include <map>
#include <optional>
#include <vector>

namespace briarhinge::core
{

/** What is fixed about a program when it is opened. */
struct ProgramSpec
{
    base::ProgramId id;
    base::KindName kind;
    base::AccountId account;
    /** The program that opened this one; absent for a root program. */
    std::optional<base::ProgramId> parent;

    bool operator==(const ProgramSpec &) const = default;
};

/** What the operators declared for a kind of program. */
struct KindPolicy
{
    /** Higher goes first. */
    std::int32_t priority = 0;
    Amounts budget;
    /** Time from opening after which no call is started any more. */
    base::Milliseconds wallTime{0};

    bool operator==(const KindPolicy &) const = default;
};

/** How far a call has come. */
enum class CallStage {
    /** Waits for its claim or grant to be durable. */
    Storing,
    /** Is with the dispatcher. */
    Running,
    /** Has its outcome. */
    Finished,
};

/** A call that was accepted. */
struct CallState
{
    CallRequest request;
    base::Digest body;
    CallStage stage = CallStage::Storing;
    /** What the budget has set aside for it. */
    Amounts reserved;
    /** The grant that its durable record carries, if it needs one. */
    std::optional<Amounts> pendingGrant;
    /** Present once the stage is Finished. */
    std::optional<Outcome> outcome;
    /** Digest of the history up to and including this call, once finished. */
    base::Digest digest;
    /** Whether the outcome is durable. */
    bool committed = false;
};

/** The conversation and the calls of one program. */
struct ProgramState
{
    ProgramSpec spec;
    base::CallNumber nextCall{1};
    /** Digest of the whole history so far. */
    base::Digest head;
    std::map<base::CallNumber, CallState> calls;
    bool ended = false;
};

/** A root program with all its sub-programs: they share one budget, one owner and one order of events. */
struct ProgramTree
{
    KindPolicy policy;
    base::Timestamp openedAt;
    Budget budget;
    /** Whether the opening of the root program, and with it the first grant, is durable. */
    bool isStored = false;
    std::map<base::ProgramId, ProgramState> programs;
    /** When the sweep first found the root program ended; not durable, a new owner counts anew. */
    std::optional<base::Timestamp> endedAt;
    /** During a replay: whether the last record settled the budget. */
    bool settled = false;
};

/**
 * @param id a program's id
 * @return the id of its root program: the text before the first '.'
 */
base::ProgramId rootOf(const base::ProgramId &id);

/**
 * @param id a program's id
 * @return the id of its parent program: the text before the last '.'; nothing for a root program
 */
std::optional<base::ProgramId> parentOf(const base::ProgramId &id);

/**
 * @param id a program's id
 * @return the digest of its empty history
 */
base::Digest emptyHistory(const base::ProgramId &id);

/**
 * Extends the digest of a history by one finished call.
 *
 * @param head the digest so far
 * @param id the program
 * @param call the call, with its outcome
 * @return the digest of the longer history
 */
base::Digest extendHistory(const base::Digest &head, const base::ProgramId &id, const CallState &call);

/**
 * @param outcome the outcome of a call
 * @return the part of it that enters the history: the answer, or the reason why there is none
 */
std::string historyText(const Outcome &outcome);

/**
 * @param program a program
 * @param upTo the call that is about to run
 * @return the text given to a model: the turns before that call and its own input
 */
std::string promptOf(const ProgramState &program, base::CallNumber upTo);

}
