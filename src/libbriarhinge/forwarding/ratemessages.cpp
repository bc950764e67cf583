#include "forwarding/ratemessages.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::forwarding
{

namespace
{

/**
 * Time that a message may have been on its way and that its ages don't include. A raise or the end of a limit that was
 * said so shortly after the limit does not count; the next answer of the runner says it again.
 */
constexpr base::Milliseconds maxTransit{50};
/** Older statements are as good as of unknown time. */
constexpr std::uint64_t maxAgeMs = 3'600'000;

std::uint64_t ageInMilliseconds(dispatch::RateStatement::Time time, dispatch::RateStatement::Time now)
{
    const auto age = std::chrono::duration_cast<base::Milliseconds>(now - time).count();
    return std::min(maxAgeMs, static_cast<std::uint64_t>(std::max<std::int64_t>(0, age)));
}

base::Milliseconds age(std::uint64_t milliseconds)
{
    return base::Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, maxAgeMs)));
}

}

wire::RunnerRateT toMessage(const dispatch::KnownRate &known, dispatch::RateStatement::Time now)
{
    wire::RunnerRateT message;
    message.runner = known.runner.value();
    message.started_at = known.statement.startedAt;
    message.is_limited = known.statement.limit.has_value();
    message.limit = known.statement.limit.value_or(requests::RequestRate(0)).value();
    message.earliest_age_ms = ageInMilliseconds(known.statement.earliest, now);
    message.latest_age_ms = ageInMilliseconds(known.statement.latest, now);
    return message;
}

dispatch::KnownRate fromMessage(const wire::RunnerRateT &message, dispatch::RateStatement::Time now)
{
    dispatch::KnownRate known{dispatch::RunnerId(message.runner), {}};
    known.statement.startedAt = message.started_at;
    if (message.is_limited) {
        known.statement.limit = requests::RequestRate(std::isfinite(message.limit) ? std::max(0.0, message.limit) : 0);
    }
    known.statement.earliest = now - age(message.earliest_age_ms) - maxTransit;
    known.statement.latest = now - age(message.latest_age_ms);
    return known;
}

}
