#include "runner/startrate.h"

#include <algorithm>
#include <variant>

namespace briarhinge::runner
{

namespace
{

/** The only runner that the decisions are about. */
const dispatch::RunnerId upstreamId("upstream");
/** Bounds the expected wait while the upstream takes no calls. */
constexpr double minRate = 0.01;

dispatch::RateStatement::Time toSteadyTime(base::Timestamp time)
{
    return dispatch::RateStatement::Time(time.time_since_epoch());
}

}

StartRate::StartRate(base::Timestamp startTime)
    : m_permits(toSteadyTime(startTime))
{
}

bool StartRate::record(const requests::StatedRate &stated, base::Timestamp callStartedAt, base::Timestamp now)
{
    return m_limits.record(upstreamId, {0, stated.limit, toSteadyTime(callStartedAt), toSteadyTime(now)});
}

std::optional<requests::RequestRate> StartRate::limit() const
{
    return m_limits.limit(upstreamId);
}

bool StartRate::takePermit(base::Timestamp now)
{
    const dispatch::RateStatement *statement = m_limits.statement(upstreamId);
    if (statement == nullptr) {
        return true;
    }
    const auto decision = m_permits.decide({{{upstreamId, *statement}}, base::Milliseconds(0)}, 1, toSteadyTime(now));
    return std::holds_alternative<dispatch::PermitGranted>(decision);
}

base::Milliseconds StartRate::expectedWait(std::size_t queuedCalls) const
{
    const auto rate = limit();
    if (!rate) {
        return base::Milliseconds(0);
    }
    const std::chrono::duration<double> wait(static_cast<double>(queuedCalls) / std::max(rate->value(), minRate));
    return std::chrono::ceil<base::Milliseconds>(wait);
}

}
