#pragma once

#include "base/units.h"

#include <cstddef>

namespace briarhinge::runner
{

/** Estimates how fast the queue of an upstream drains, from how long calls ran. Free of clocks and locks. */
class DrainRate
{
public:
    /** A call ended. @param ranFor how long the upstream had it */
    void callEnded(base::Milliseconds ranFor);

    /**
     * @param ahead calls that go first
     * @param limit calls that the upstream runs at once
     * @return expected time until a call behind those starts; zero while nothing was measured
     */
    base::Milliseconds expectedWait(std::size_t ahead, std::size_t limit) const;

private:
    /** Smoothed mean; zero before the first call. */
    double m_meanMs = 0;
};

}
