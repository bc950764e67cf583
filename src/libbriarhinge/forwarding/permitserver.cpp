#include "forwarding/permitserver.h"

#include "forwarding/ratemessages.h"

#include <chrono>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

namespace briarhinge::forwarding
{

PermitServer::PermitServer(std::function<std::size_t()> keepers)
    : m_keepers(std::move(keepers))
{
}

std::optional<wire::MessageUnion> PermitServer::handleMessage(const wire::MessageUnion &message)
{
    const auto *request = message.AsRequestPermit();
    if (request == nullptr || !request->rate) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    const KnownRate known = fromMessage(*request->rate, now);
    const auto decision =
        m_keeper.decide({known.runner, known.statement, base::Milliseconds(request->max_wait_ms)}, m_keepers(), now);
    const auto delay = std::visit(
        [](const auto &result) {
            return std::chrono::ceil<base::Milliseconds>(result.delay).count();
        },
        decision);
    wire::PermitDecisionT reply;
    reply.is_granted = std::holds_alternative<dispatch::PermitGranted>(decision);
    reply.delay_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(delay, std::numeric_limits<int>::max()));
    if (const dispatch::RateStatement *statement = m_keeper.statement(known.runner)) {
        reply.rate = std::make_unique<wire::RunnerRateT>(toMessage({known.runner, *statement}, now));
    }
    wire::MessageUnion answer;
    answer.Set(std::move(reply));
    return answer;
}

}
