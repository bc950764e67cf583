#pragma once

#include "base/units.h"

#include <concepts>

namespace briarhinge::base
{

/** A source of the current time. */
template <class T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::convertible_to<Timestamp>;
};

/** The wall clock of the machine. */
class SystemClock
{
public:
    /** @return the current wall-clock time */
    Timestamp now() const
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

/** A clock that is unaffected by changes of the wall clock. Only differences of its times are meaningful. */
class MonotonicClock
{
public:
    /** @return the time since an unspecified but fixed epoch */
    Timestamp now() const
    {
        const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
        return Timestamp(std::chrono::duration_cast<Milliseconds>(elapsed));
    }
};

}
