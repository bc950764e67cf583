#pragma once

#include "base/units.h"

#include <chrono>

namespace briarhinge::dispatch
{

/**
 * Whether this process is too slow for what it gets, as on a VM that has lost most of its processor: by how late its
 * timers fire. Free of clocks; not synchronised.
 */
class OverloadGauge
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /** A timer fired. @param late by how much @param now the time */
    void fired(base::Milliseconds late, Time now)
    {
        m_late += (static_cast<double>(late.count()) - m_late) * weight;
        if (m_late > overloadedAbove) {
            m_overloadedUntil = now + rest;
        }
    }

    /** @param now the time @return whether new work should go elsewhere */
    bool isOverloaded(Time now) const
    {
        return now < m_overloadedUntil;
    }

private:
    /** Weight of one lateness in the mean. */
    static constexpr double weight = 0.2;
    /** Milliseconds; a request takes some 30 turns of the event loop, each of which waits as long as a timer does. A sound
     * VM shows 0.1 under load. */
    static constexpr double overloadedAbove = 8;
    /** Long enough for the platform to see it: it asks once a second and believes the second refusal. */
    static constexpr base::Milliseconds rest{2500};

    double m_late = 0;
    Time m_overloadedUntil;
};

}
