#pragma once

#include "base/units.h"
#include "dispatch/permitkeeper.h"
#include "http/headers.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace briarhinge::runner
{

/** Header field in which an upstream names the number of calls a second that it takes, as a decimal number. */
inline constexpr std::string_view callRateLimitField = "Call-Rate-Limit";

/**
 * Spaces the starts of calls while the upstream names a limit in its responses. The process beside an upstream starts all
 * of its calls, so it alone has the whole limit. Uses no clock and no locks.
 */
class StartRate
{
public:
    /** @param startTime the current time */
    explicit StartRate(base::Timestamp startTime);

    /**
     * Records what a response says of the limit.
     *
     * @param stated what it says
     * @param callStartedAt when its call was started
     * @param now current time
     * @return whether the limit is another one since
     */
    bool record(const requests::StatedRate &stated, base::Timestamp callStartedAt, base::Timestamp now);

    /** @return the limit; nothing if the upstream takes any number of calls */
    std::optional<requests::RequestRate> limit() const;

    /**
     * Takes the permit to start one call.
     *
     * @param now current time
     * @return whether the call may start now
     */
    bool takePermit(base::Timestamp now);

    /**
     * @param queuedCalls number of calls that wait
     * @return time until the last of them may start, by the limit alone
     */
    base::Milliseconds expectedWait(std::size_t queuedCalls) const;

private:
    dispatch::RateLimits m_limits;
    dispatch::PermitKeeper m_permits;
};

}
