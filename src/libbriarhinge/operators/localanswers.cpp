#include "operators/localanswers.h"

#include <nlohmann/json.hpp>

namespace briarhinge::operators
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t statusOk = 200;

api::ClientReply ok(const json &body)
{
    return {statusOk, body.dump(-1, ' ', false, json::error_handler_t::replace), {}};
}

}

api::ClientReply statusReply(const config::ActiveConfiguration &inForce, const ProcessState &state)
{
    const auto configuration = inForce.current();
    return ok({{"revision", inForce.revision().value()},
               {"configurationKnown", configuration != nullptr},
               {"draining", state.draining},
               {"inProgress", state.inProgress}});
}

class ProgramList::Private
{
public:
    json programs = json::array();
};

ProgramList::ProgramList()
    : d(std::make_unique<Private>())
{
}

ProgramList::~ProgramList() = default;

void ProgramList::add(const core::ProgramTree &tree)
{
    for (const auto &[id, program] : tree.programs) {
        d->programs.push_back({{"id", id.value()},
                               {"kind", program.spec.kind.value()},
                               {"account", program.spec.account.value()},
                               {"priority", tree.policy.priority},
                               {"nextCall", program.nextCall.value()},
                               {"ended", program.ended},
                               {"tokensSpent", tree.budget.spent().tokens.value()}});
    }
}

api::ClientReply ProgramList::reply() const
{
    return ok({{"programs", d->programs}});
}

}
