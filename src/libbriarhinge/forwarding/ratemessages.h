#pragma once

#include "dispatch/ratelimits.h"
#include "wire/framecodec.h"

namespace briarhinge::forwarding
{

/**
 * @param known a runner and its rate
 * @param now current time
 * @return the message; times are sent as ages
 */
wire::RunnerRateT toMessage(const dispatch::KnownRate &known, dispatch::RateStatement::Time now);

/**
 * @param message the message
 * @param now current time
 * @return the runner and its rate
 */
dispatch::KnownRate fromMessage(const wire::RunnerRateT &message, dispatch::RateStatement::Time now);

}
