#include "forwarding/usageserver.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

namespace briarhinge::forwarding
{

namespace
{

/** @return a number of a message; 0 for what is no finite, non-negative number */
double sanitized(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

std::uint32_t inMilliseconds(accounts::UsageGrant::Duration delay)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<base::Milliseconds>(delay).count());
}

}

UsageServer::UsageServer(const accounts::UsageTolerance &tolerance, std::function<std::size_t()> keepers,
                         std::function<bool(const base::ProgramId &)> isUnderWay)
    : m_keepers(std::move(keepers))
    , m_isUnderWay(std::move(isUnderWay))
    , m_keeper(std::chrono::steady_clock::now(), tolerance)
{
}

std::optional<wire::MessageUnion> UsageServer::handleMessage(const wire::MessageUnion &message)
{
    const auto *asked = message.AsRequestUses();
    if (asked == nullptr) {
        return std::nullopt;
    }
    accounts::UsageRequest request;
    request.account = base::AccountId(asked->account);
    request.cap = {sanitized(asked->requests_per_second), sanitized(asked->burst)};
    request.version = asked->version;
    request.needed = asked->needed;
    request.spare = asked->spare;
    request.requestsPerProgram = sanitized(asked->requests_per_program);
    request.returnedStarts = asked->returned_starts;
    wire::UsesDecisionT reply;
    for (const std::string &program : asked->programs) {
        const bool begins = !m_isUnderWay(base::ProgramId(program));
        reply.begins.push_back(begins);
        ++(begins ? request.starts : request.needed);
    }
    const auto grant = m_keeper.decide(request, m_keepers(), std::chrono::steady_clock::now());
    reply.granted = grant.permits;
    reply.granted_starts = grant.starts;
    reply.next_ms = inMilliseconds(grant.nextPermit);
    reply.next_start_ms = inMilliseconds(grant.nextStart);
    reply.relative_use = grant.relativeUse;
    wire::MessageUnion answer;
    answer.Set(std::move(reply));
    return answer;
}

}
