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

base::Milliseconds permitWait(const requests::Route &route, ProgramStage stage, base::Milliseconds timeLeft)
{
    const base::Milliseconds longest =
        std::min({route.latencyTarget, timeLeft / maxShareOfTimeLeft, longestPermitWait});
    const int divisor =
        (stage == ProgramStage::Begins ? newProgramDivisor : 1) * (route.priority > 0 ? lowPriorityDivisor : 1);
    return std::max(longest / divisor, base::Milliseconds(0));
}

}
