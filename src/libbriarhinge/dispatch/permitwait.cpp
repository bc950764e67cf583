#include "dispatch/permitwait.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** A request that waits for longer has too little time left to run. */
constexpr int maxShareOfTimeLeft = 4;
constexpr int newProgramDivisor = 4;
constexpr int lowPriorityDivisor = 2;

}

base::Milliseconds permitWait(const RequestPriority &priority, base::Milliseconds latencyTarget, ProgramStage stage,
                              base::Milliseconds timeLeft)
{
    const base::Milliseconds longest = std::min({latencyTarget, timeLeft / maxShareOfTimeLeft, longestPermitWait});
    const int divisor =
        (stage == ProgramStage::Begins ? newProgramDivisor : 1) * (priority.isHighest() ? 1 : lowPriorityDivisor);
    return std::max(longest / divisor, base::Milliseconds(0));
}

}
