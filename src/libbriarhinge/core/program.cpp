#include "core/program.h"

#include <type_traits>

namespace briarhinge::core
{

std::string historyText(const Outcome &outcome)
{
    return std::visit(
        [](const auto &ended) -> std::string {
            if constexpr (std::is_same_v<std::decay_t<decltype(ended)>, Completed>) {
                return ended.answer;
            } else {
                return ended.reason;
            }
        },
        outcome);
}

base::ProgramId rootProgramId(const base::ProgramId &id)
{
    return base::ProgramId(id.value().substr(0, id.value().find('.')));
}

std::optional<base::ProgramId> parentProgramId(const base::ProgramId &id)
{
    const std::size_t dot = id.value().rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    return base::ProgramId(id.value().substr(0, dot));
}

base::Digest emptyHistory(const base::ProgramId &id)
{
    return base::computeDigest({"program", id.value()});
}

base::Digest extendHistory(const base::Digest &head, const base::ProgramId &id, const CallState &call)
{
    const Outcome &outcome = *call.outcome;
    return base::computeDigest({head.value(), id.value(), std::to_string(call.request.number.value()),
                                call.bodyDigest.value(), std::to_string(outcome.index()), historyText(outcome)});
}

std::string buildPrompt(const ProgramState &program, base::CallNumber upTo)
{
    std::string prompt;
    for (const auto &[number, call] : program.calls) {
        if (number > upTo) {
            break;
        }
        prompt += call.request.input;
        prompt += '\n';
        if (number < upTo && call.outcome) {
            prompt += historyText(*call.outcome);
            prompt += '\n';
        }
    }
    return prompt;
}

}
