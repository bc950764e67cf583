#include "core/step.h"

#include <fmt/format.h>

namespace briarhinge::core
{

namespace
{

using base::CallNumber;
using base::ProgramId;
using Actions = std::vector<Action>;

constexpr base::Milliseconds noRetryDelay{0};

/** Maximum number of tokens that an engine adds to each message of a prompt. */
constexpr std::uint64_t maxMessageOverheadTokens = 8;

ProgramState *find(ProgramTree &tree, const ProgramId &id)
{
    const auto found = tree.programs.find(id);
    return found == tree.programs.end() ? nullptr : &found->second;
}

CallState *find(ProgramTree &tree, const ProgramId &id, CallNumber number)
{
    ProgramState *program = find(tree, id);
    if (program == nullptr) {
        return nullptr;
    }
    const auto found = program->calls.find(number);
    return found == program->calls.end() ? nullptr : &found->second;
}

Actions refuse(RefusalCode code, std::string text)
{
    return {Refuse{code, std::move(text)}};
}

Actions notRun(const StartCall &event, std::string reason)
{
    return {AnswerNow{event.program, event.request.number, NotRun{std::move(reason), std::nullopt}}};
}

/**
 * Computes an upper bound for the tokens of a prompt: the count that the engine reported for its last call, plus one
 * token for each byte added since then.
 */
std::uint64_t maxPromptTokens(const ProgramState &program, const CallRequest &request)
{
    std::uint64_t maxTokens = request.input.size() + maxMessageOverheadTokens;
    for (const auto &[number, call] : program.calls) {
        if (!call.outcome) {
            continue;
        }
        const auto *completed = std::get_if<Completed>(&*call.outcome);
        if (completed != nullptr && call.request.kind == CallKind::Model && call.request.target == request.target) {
            maxTokens = completed->usage.prompt.value() + completed->usage.completion.value() + request.input.size()
                + 2 * maxMessageOverheadTokens;
            continue;
        }
        maxTokens += call.request.input.size() + historyText(*call.outcome).size() + 2 * maxMessageOverheadTokens;
    }
    return maxTokens;
}

Amounts maxUsage(const ProgramState &program, const CallRequest &request)
{
    if (request.kind == CallKind::Tool) {
        return {.tokens = {}, .money = request.maxCost, .calls = 1};
    }
    return {.tokens = base::Tokens(maxPromptTokens(program, request) + request.maxTokens.value()),
            .money = request.maxCost,
            .calls = 1};
}

Amounts actualUsage(const Outcome &outcome, const Amounts &reserved)
{
    if (std::holds_alternative<NotRun>(outcome)) {
        return {};
    }
    const auto *completed = std::get_if<Completed>(&outcome);
    if (completed == nullptr) {
        return reserved;
    }
    const Usage &usage = completed->usage;
    return {base::Tokens(usage.prompt.value() + usage.completion.value()), usage.money, 1};
}

DispatchCall dispatch(const ProgramTree &tree, const ProgramState &program, const CallRequest &request)
{
    const std::string prompt = request.kind == CallKind::Model ? buildPrompt(program, request.number) : request.input;
    return {program.spec.id, request, prompt, tree.policy.priority, tree.budget.spent().tokens, program.spec.account};
}

Actions handle(ProgramTree &tree, const OpenProgram &event, base::Timestamp now)
{
    const ProgramId &id = event.spec.id;
    if (const ProgramState *program = find(tree, id)) {
        if (program->spec == event.spec) {
            return {ShowProgram{id}};
        }
        return refuse(RefusalCode::ProgramDiffers,
                      fmt::format("program \"{}\" is open already, with another kind or account", id.value()));
    }
    Amounts grant;
    if (event.spec.parent) {
        const ProgramState *parent = find(tree, *event.spec.parent);
        if (parent == nullptr || parent->ended) {
            return refuse(RefusalCode::ParentUnknown,
                          fmt::format("parent program \"{}\" is not open", event.spec.parent->value()));
        }
    } else {
        tree.policy = event.policy;
        tree.openedAt = now;
        tree.budget = Budget(event.policy.budget);
        grant = tree.budget.initialGrant();
        tree.budget.grant(grant);
    }
    ProgramState &program = tree.programs[id];
    program.spec = event.spec;
    program.head = emptyHistory(id);
    return {StoreDeferred{ProgramOpened{event.spec, tree.policy, now, grant}}, ShowProgram{id}};
}

/**
 * Handles a request whose call number is already in use. A retry of the same call joins it or gets its outcome; a
 * different call is refused.
 */
Actions handleRepeatedCall(const CallState &call, const StartCall &event)
{
    const CallNumber number = event.request.number;
    if (call.bodyDigest != bodyDigest(event.request)) {
        return refuse(RefusalCode::CallDiffers,
                      fmt::format("call {} of program \"{}\" was asked with another body", number.value(),
                                  event.program.value()));
    }
    if (call.stage == CallStage::Finished) {
        return {AnswerNow{event.program, number, *call.outcome}};
    }
    return {JoinCall{event.program, number}};
}

Actions startNewCall(ProgramTree &tree, ProgramState &program, const StartCall &event)
{
    const CallRequest &request = event.request;
    const Amounts needed = maxUsage(program, request);
    if (const auto resource = tree.budget.insufficientResource(needed)) {
        return notRun(event,
                      fmt::format("the budget of {} of program \"{}\" can't cover call {}", *resource,
                                  rootProgramId(program.spec.id).value(), request.number.value()));
    }
    CallState call;
    call.request = request;
    call.bodyDigest = bodyDigest(request);
    call.reserved = needed;
    call.pendingGrant = tree.budget.missingGrant(needed);
    tree.budget.reserve(needed);
    std::vector<Record> records;
    // If the owner crashed before the opening record is durable, spending from the first grant would be lost together
    // with the program. Waiting for any record also waits for all records before it.
    if (call.pendingGrant || !tree.isOpeningDurable) {
        records.emplace_back(BudgetGranted{rootProgramId(program.spec.id), call.pendingGrant.value_or(Amounts{})});
    }
    if (!request.idempotent) {
        records.emplace_back(CallClaimed{program.spec.id, request});
    }
    call.stage = records.empty() ? CallStage::Running : CallStage::Storing;
    program.calls[request.number] = std::move(call);
    Actions actions{JoinCall{event.program, request.number}};
    if (records.empty()) {
        actions.emplace_back(dispatch(tree, program, request));
    } else {
        actions.emplace_back(StoreBeforeDispatch{event.program, request.number, std::move(records)});
    }
    return actions;
}

Actions handle(ProgramTree &tree, const StartCall &event, base::Timestamp now)
{
    const CallRequest &request = event.request;
    ProgramState *program = find(tree, event.program);
    if (program == nullptr) {
        return refuse(RefusalCode::ProgramUnknown, fmt::format("program \"{}\" is not open", event.program.value()));
    }
    if (const CallState *call = find(tree, event.program, request.number)) {
        return handleRepeatedCall(*call, event);
    }
    if (program->ended) {
        return refuse(RefusalCode::ProgramHasEnded, fmt::format("program \"{}\" has ended", event.program.value()));
    }
    if (request.number != program->nextCall) {
        return refuse(RefusalCode::CallOutOfOrder,
                      fmt::format("the next call of program \"{}\" is {}, not {}", event.program.value(),
                                  program->nextCall.value(), request.number.value()));
    }
    if (request.extends ? *request.extends != program->head : request.number.value() > 1) {
        return refuse(RefusalCode::HistoryDiffers,
                      fmt::format("call {} of program \"{}\" must extend history \"{}\", extends \"{}\"",
                                  request.number.value(), event.program.value(), program->head.value(),
                                  request.extends ? request.extends->value() : ""));
    }
    if (now - tree.openedAt > tree.policy.wallTime) {
        return notRun(event,
                      fmt::format("program \"{}\" is past its wall time of {} ms", rootProgramId(event.program).value(),
                                  tree.policy.wallTime.count()));
    }
    return startNewCall(tree, *program, event);
}

void endProgram(ProgramState &program, Actions &actions)
{
    program.ended = true;
    for (const auto &[number, call] : program.calls) {
        if (call.stage == CallStage::Running) {
            actions.emplace_back(CancelCall{program.spec.id, number});
        }
    }
    actions.emplace_back(ReleaseProgram{program.spec.id});
}

bool isSameOrDescendant(const ProgramId &id, const ProgramId &ancestor)
{
    return id == ancestor || id.value().starts_with(ancestor.value() + ".");
}

Actions handle(ProgramTree &tree, const EndProgram &event, base::Timestamp)
{
    const ProgramState *program = find(tree, event.program);
    if (program == nullptr) {
        return refuse(RefusalCode::ProgramUnknown, fmt::format("program \"{}\" is not open", event.program.value()));
    }
    if (program->ended) {
        return {ShowProgram{event.program}};
    }
    Actions actions{StoreDeferred{ProgramEnded{event.program}}};
    for (auto &[id, member] : tree.programs) {
        if (isSameOrDescendant(id, event.program) && !member.ended) {
            endProgram(member, actions);
        }
    }
    actions.emplace_back(ShowProgram{event.program});
    return actions;
}

/** Removes a call that did not run, so that its number can be used again. */
Actions rollBackCall(ProgramTree &tree, const ProgramId &id, CallNumber number, NotRun outcome)
{
    ProgramState &program = tree.programs[id];
    const CallState call = program.calls.extract(number).mapped();
    tree.budget.settle(call.reserved, {});
    Actions actions;
    if (!call.request.idempotent) {
        actions.emplace_back(StoreDeferred{ClaimWithdrawn{id, number}});
    }
    actions.emplace_back(FinishCall{id, number, std::move(outcome)});
    return actions;
}

Actions handle(ProgramTree &tree, const CallStored &event, base::Timestamp)
{
    CallState *call = find(tree, event.program, event.number);
    if (call == nullptr || call->stage != CallStage::Storing) {
        return {};
    }
    tree.isOpeningDurable = true;
    if (call->pendingGrant) {
        tree.budget.grant(*call->pendingGrant);
        call->pendingGrant.reset();
    }
    const ProgramState &program = tree.programs[event.program];
    if (program.ended) {
        return rollBackCall(tree, event.program, event.number,
                            {"the program ended before the call was sent", noRetryDelay});
    }
    call->stage = CallStage::Running;
    return {dispatch(tree, program, call->request)};
}

Actions handle(ProgramTree &tree, const CallNotStored &event, base::Timestamp)
{
    const CallState *call = find(tree, event.program, event.number);
    if (call == nullptr || call->stage != CallStage::Storing) {
        return {};
    }
    return rollBackCall(tree, event.program, event.number, {event.reason, event.retryAfter});
}

Actions handle(ProgramTree &tree, const CallEnded &event, base::Timestamp)
{
    CallState *call = find(tree, event.program, event.number);
    if (call == nullptr || call->stage != CallStage::Running) {
        return {};
    }
    if (const auto *refused = std::get_if<NotRun>(&event.outcome)) {
        return rollBackCall(tree, event.program, event.number, *refused);
    }
    ProgramState &program = tree.programs[event.program];
    tree.budget.settle(call->reserved, actualUsage(event.outcome, call->reserved));
    call->stage = CallStage::Finished;
    call->outcome = event.outcome;
    call->digest = extendHistory(program.head, event.program, *call);
    program.head = call->digest;
    program.nextCall = CallNumber(event.number.value() + 1);
    return {StoreDeferred{TurnFinished{event.program, call->request, event.outcome}},
            FinishCall{event.program, event.number, event.outcome}};
}

Actions handle(ProgramTree &tree, const TurnCommitted &event, base::Timestamp)
{
    if (CallState *call = find(tree, event.program, event.number)) {
        call->committed = true;
    }
    return {};
}

Actions handle(ProgramTree &tree, const OpeningStored &event, base::Timestamp)
{
    if (find(tree, event.program) != nullptr) {
        tree.isOpeningDurable = true;
    }
    return {};
}

}

std::vector<Action> step(ProgramTree &tree, const Event &event, base::Timestamp now)
{
    return std::visit(
        [&](const auto &concreteEvent) {
            return handle(tree, concreteEvent, now);
        },
        event);
}

}
