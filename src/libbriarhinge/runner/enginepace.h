#pragma once

#include "base/units.h"

namespace briarhinge::runner
{

/** Speed of the engine, measured on the calls that it ran. Uses no clock and no locks. */
class EnginePace
{
public:
    /** Records the time between two tokens of a call. @param gap time since the previous token */
    void recordTokenGap(base::Milliseconds gap);

    /**
     * Records the prefill time of a call. Short prompts are ignored.
     *
     * @param uncached prompt tokens that were not in the prefix cache
     * @param time time from the start of the call to its first token
     */
    void recordPrefill(base::Tokens uncached, base::Milliseconds time);

    /** @return milliseconds per generated token; zero until one was measured */
    double decodeMsPerToken() const;

    /** @return milliseconds per uncached prompt token */
    double prefillMsPerToken() const;

private:
    double m_decodeMsPerToken = 0;
    double m_prefillMsPerToken = 0;
};

}
