#pragma once

#include "base/units.h"

#include <concepts>

namespace briarhinge::base
{

/** A source of the present time. */
template <class T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::convertible_to<Timestamp>;
};

/** The clock of the machine. */
class SystemClock
{
public:
    /** @return the present wall-clock time */
    Timestamp now() const
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

}
