#pragma once

#include "base/units.h"
#include "dispatch/requestpriority.h"

namespace briarhinge::dispatch
{

/** No permit is granted further ahead, so that those of a keeper that has ended are used up soon. */
inline constexpr base::Milliseconds longestPermitWait{500};

/** How far a program has come that a request belongs to. */
enum class ProgramStage {
    /** The request begins a program. */
    Begins,
    UnderWay,
};

/**
 * Computes how long a request may wait for a permit when all runners are at their limits. Waiting helps as long as the
 * answer is still of its full value; a caller that is refused comes back no sooner. Since permits are granted in the order
 * of the requests, those that may wait longer go first when permits are short: programs under way before new ones, whose
 * work would not be lost, and urgent requests before others.
 *
 * @param priority priority of the request
 * @param latencyTarget time within which its answer has its full value
 * @param stage how far its program has come
 * @param timeLeft time until the deadline of the request
 * @return the longest wait
 */
base::Milliseconds permitWait(const RequestPriority &priority, base::Milliseconds latencyTarget, ProgramStage stage,
                              base::Milliseconds timeLeft);

}
