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

/** A clock that never jumps, also when the wall clock is set. Only differences of its times mean anything. */
class MonotonicClock
{
public:
    /** @return the time since an unknown but fixed moment */
    Timestamp now() const
    {
        const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
        return Timestamp(std::chrono::duration_cast<Milliseconds>(elapsed));
    }
};

}
