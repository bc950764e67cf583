#include "forwarding/permitserver.h"

#include "forwarding/ratemessages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

namespace briarhinge::forwarding
{

namespace
{

std::uint32_t inMilliseconds(std::chrono::steady_clock::duration delay)
{
    constexpr std::int64_t most = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(std::chrono::ceil<base::Milliseconds>(delay).count(), most));
}

}

PermitServer::PermitServer(std::function<std::size_t()> keepers)
    : m_keepers(std::move(keepers))
    , m_keeper(std::chrono::steady_clock::now())
{
}

std::optional<wire::MessageUnion> PermitServer::handleMessage(const wire::MessageUnion &message)
{
    const auto *asked = message.AsRequestPermit();
    if (asked == nullptr) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    dispatch::PermitRequest request{{}, base::Milliseconds(asked->max_wait_ms)};
    for (const auto &rate : asked->rates) {
        request.runners.push_back(fromMessage(*rate, now));
    }
    const auto decision = m_keeper.decide(request, m_keepers(), now);
    wire::PermitDecisionT reply;
    if (const auto *granted = std::get_if<dispatch::PermitGranted>(&decision)) {
        reply.granted = granted->runner.value();
        reply.delay_ms = inMilliseconds(granted->delay);
    } else {
        for (const auto delay : std::get<dispatch::PermitDenied>(decision).delays) {
            reply.next_ms.push_back(inMilliseconds(delay));
        }
    }
    for (const dispatch::KnownRate &runner : request.runners) {
        if (const dispatch::RateStatement *statement = m_keeper.statement(runner.runner)) {
            reply.rates.push_back(std::make_unique<wire::RunnerRateT>(toMessage({runner.runner, *statement}, now)));
        }
    }
    wire::MessageUnion answer;
    answer.Set(std::move(reply));
    return answer;
}

}
