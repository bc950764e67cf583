#pragma once

#include "base/units.h"

namespace briarhinge::runner
{

/** How fast the engine is, measured on the calls that it ran. Free of clocks and locks. */
class EnginePace
{
public:
    /** A token followed another of the same call. @param gap time between them */
    void tokenArrived(base::Milliseconds gap);

    /**
     * The prompt of a call was read.
     *
     * @param uncached tokens of it that were not cached
     * @param time from the start of the call to its first token
     */
    void promptRead(base::Tokens uncached, base::Milliseconds time);

    /** @return milliseconds for each generated token; zero before the first */
    double decodeMsPerToken() const;

    /** @return milliseconds for each uncached prompt token */
    double prefillMsPerToken() const;

private:
    double m_decodeMs = 0;
    double m_prefillMs = 0;
};

}
