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

/** Immutable properties of a program, given when it is opened. */
struct ProgramSpec
{
    base::ProgramId id;
    base::KindName kind;
    base::AccountId account;
    /** The program that opened this one; absent for a root program. */
    std::optional<base::ProgramId> parent;

    bool operator==(const ProgramSpec &) const = default;
};

/** Scheduling policy that the operators declared for a kind of program. */
struct KindPolicy
{
    /** Calls of higher priority are dispatched first. */
    std::int32_t priority = 0;
    Amounts budget;
    /** Maximum age of a program; no call is started after it. */
    base::Milliseconds wallTime{0};

    bool operator==(const KindPolicy &) const = default;
};

/** Processing stage of a call. */
enum class CallStage {
    /** Waiting for its claim or grant to become durable. */
    Storing,
    /** Handed to the dispatcher. */
    Running,
    /** Has an outcome. */
    Finished,
};

/** State of an accepted call. */
struct CallState
{
    CallRequest request;
    /** Digest of the request, see bodyDigest(). */
    base::Digest bodyDigest;
    CallStage stage = CallStage::Storing;
    /** Budget reserved for the call. */
    Amounts reserved;
    /** Grant that must become durable before the call is dispatched, if any. */
    std::optional<Amounts> pendingGrant;
    /** Present once the stage is Finished. */
    std::optional<Outcome> outcome;
    /** Digest of the history up to and including this call; set once the stage is Finished. */
    base::Digest digest;
    /** Whether the finished turn is durable. */
    bool committed = false;
};

/** State of one program: its history and its calls. */
struct ProgramState
{
    ProgramSpec spec;
    base::CallNumber nextCall{1};
    /** Digest of the history of all finished calls. */
    base::Digest head;
    std::map<base::CallNumber, CallState> calls;
    bool ended = false;
};

/** A root program and its sub-programs. They share a budget and an owner, and their events are totally ordered. */
struct ProgramTree
{
    KindPolicy policy;
    base::Timestamp openedAt;
    Budget budget;
    /** Whether the opening record of the root program, which carries the first grant, is durable. */
    bool isOpeningDurable = false;
    std::map<base::ProgramId, ProgramState> programs;
    /** Time of the first sweep that found the root program ended. Not durable: a new owner starts over. */
    std::optional<base::Timestamp> endedAt;
    /** Used during replay: whether the last record was a BudgetState without unfinished calls. */
    bool settled = false;
};

/**
 * @param id a program id
 * @return the id of its root program: the text before the first '.'
 */
base::ProgramId rootProgramId(const base::ProgramId &id);

/**
 * @param id a program id
 * @return the id of its parent program: the text before the last '.'; nothing for a root program
 */
std::optional<base::ProgramId> parentProgramId(const base::ProgramId &id);

/**
 * @param id a program id
 * @return the digest of its empty history, the start of the digest chain
 */
base::Digest emptyHistory(const base::ProgramId &id);

/**
 * Extends the digest chain of a history by one finished call.
 *
 * @param head the digest of the history before the call
 * @param id the program
 * @param call the call; must have an outcome
 * @return the digest of the history that includes the call
 */
base::Digest extendHistory(const base::Digest &head, const base::ProgramId &id, const CallState &call);

/**
 * @param outcome the outcome of a call
 * @return the text that becomes part of the history: the answer, or the reason for not having one
 */
std::string historyText(const Outcome &outcome);

/**
 * Builds the prompt of a model call from the preceding turns and the input of the call.
 *
 * @param program the program
 * @param upTo the call that is about to run
 * @return the prompt
 */
std::string buildPrompt(const ProgramState &program, base::CallNumber upTo);

}
