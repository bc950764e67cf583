#pragma once

#include "dispatch/ratelimits.h"
#include "wire/framecodec.h"

namespace briarhinge::forwarding
{

/** A runner and what is known of the rate at which it takes requests. */
struct KnownRate
{
    dispatch::RunnerId runner;
    dispatch::RateStatement statement;
};

/**
 * @param known a runner and its rate
 * @param now current time
 * @return the message; times are sent as ages
 */
wire::RunnerRateT toMessage(const KnownRate &known, dispatch::RateStatement::Time now);

/**
 * @param message the message
 * @param now current time
 * @return the runner and its rate
 */
KnownRate fromMessage(const wire::RunnerRateT &message, dispatch::RateStatement::Time now);

}
