#include "wire/convert.h"

namespace briarhinge::wire
{

ExecuteCallT toWire(const core::DispatchCall &call)
{
    ExecuteCallT frame;
    frame.program = call.program.value();
    frame.number = call.request.number.value();
    frame.kind = call.request.kind == core::CallKind::Model ? CallKind::Model : CallKind::Tool;
    frame.target = call.request.target.value();
    frame.prompt = call.prompt;
    frame.idempotent = call.request.idempotent;
    frame.priority = call.priority;
    frame.attained_tokens = call.attained.value();
    frame.max_tokens = static_cast<std::uint32_t>(call.request.maxTokens.value());
    frame.body_digest = core::bodyDigest(call.request).value();
    return frame;
}

core::DispatchCall fromWire(const ExecuteCallT &call)
{
    core::DispatchCall dispatched;
    dispatched.program = base::ProgramId(call.program);
    dispatched.request.number = base::CallNumber(call.number);
    dispatched.request.kind = call.kind == CallKind::Model ? core::CallKind::Model : core::CallKind::Tool;
    dispatched.request.target = base::TargetName(call.target);
    dispatched.request.idempotent = call.idempotent;
    dispatched.request.maxTokens = base::Tokens(call.max_tokens);
    dispatched.prompt = call.prompt;
    dispatched.priority = call.priority;
    dispatched.attained = base::Tokens(call.attained_tokens);
    return dispatched;
}

CallResultT toWire(const core::Outcome &outcome)
{
    CallResultT frame;
    frame.text = core::historyText(outcome);
    if (const auto *completed = std::get_if<core::Completed>(&outcome)) {
        frame.outcome = OutcomeKind::Completed;
        frame.prompt_tokens = completed->usage.prompt.value();
        frame.cached_tokens = completed->usage.cached.value();
        frame.completion_tokens = completed->usage.completion.value();
        frame.money = completed->usage.money.value();
    } else if (const auto *notRun = std::get_if<core::NotRun>(&outcome)) {
        frame.outcome = OutcomeKind::NotRun;
        frame.has_retry_after = notRun->retryAfter.has_value();
        frame.retry_after_ms = notRun->retryAfter ? static_cast<std::uint64_t>(notRun->retryAfter->count()) : 0;
    } else if (std::holds_alternative<core::Failed>(outcome)) {
        frame.outcome = OutcomeKind::Failed;
    } else {
        frame.outcome = OutcomeKind::Unknown;
    }
    return frame;
}

core::Outcome fromWire(const CallResultT &result)
{
    switch (result.outcome) {
    case OutcomeKind::Completed:
        return core::Completed{result.text,
                               {base::Tokens(result.prompt_tokens), base::Tokens(result.cached_tokens),
                                base::Tokens(result.completion_tokens), base::MicroMoney(result.money)}};
    case OutcomeKind::NotRun: {
        core::NotRun notRun{result.text, std::nullopt};
        if (result.has_retry_after) {
            notRun.retryAfter = base::Milliseconds(result.retry_after_ms);
        }
        return notRun;
    }
    case OutcomeKind::Failed:
        return core::Failed{result.text};
    case OutcomeKind::Unknown:
        break;
    }
    // An outcome that this version does not know doesn't tell whether the call ran.
    return core::Unknown{result.text};
}

ClientRequestT toWire(const api::ClientRequest &request)
{
    ClientRequestT frame;
    frame.verb = static_cast<Verb>(request.verb);
    frame.program = request.program.value();
    frame.number = request.number.value();
    frame.offset = request.offset;
    frame.body = request.body;
    return frame;
}

api::ClientRequest fromWire(const ClientRequestT &request)
{
    return {static_cast<api::Verb>(request.verb), base::ProgramId(request.program), base::CallNumber(request.number),
            request.offset, request.body};
}

ClientReplyT toWire(const api::ClientReply &reply)
{
    ClientReplyT frame;
    frame.status = reply.status;
    frame.body = reply.body;
    frame.has_retry_after = reply.retryAfter.has_value();
    frame.retry_after_ms = reply.retryAfter ? static_cast<std::uint64_t>(reply.retryAfter->count()) : 0;
    return frame;
}

api::ClientReply fromWire(const ClientReplyT &reply)
{
    api::ClientReply converted{reply.status, reply.body, std::nullopt};
    if (reply.has_retry_after) {
        converted.retryAfter = base::Milliseconds(reply.retry_after_ms);
    }
    return converted;
}

}
