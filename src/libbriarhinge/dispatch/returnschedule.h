#pragma once

#include "requests/messages.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>

namespace briarhinge::dispatch
{

/**
 * Tells refused callers when to come back, one after the other at the rate at which permits become free. Callers that all
 * came back at the next free permit would be refused once more, but for one.
 *
 * Reads no clock itself. Not thread-safe.
 *
 * @tparam Subject identifies what the callers wait for, such as the limited runners of a service
 */
template <class Subject>
class ReturnSchedule
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param subject what the caller waits for
     * @param earliest time at which a permit is free
     * @param rate requests a second that this entry can expect permits for
     * @param timeLeft time for which the caller can still use an answer; one that can't come back in time takes no place
     * @param now current time
     * @return time after which the caller may try again
     */
    base::Milliseconds next(const Subject &subject, Time earliest, requests::RequestRate rate,
                            base::Milliseconds timeLeft, Time now)
    {
        Time &last = m_last[subject];
        const std::chrono::duration<double> interval(1 / std::max(rate.value(), minRate));
        const Time next = std::max({earliest, now, last + std::chrono::duration_cast<Time::duration>(interval)});
        const auto delay = std::chrono::ceil<base::Milliseconds>(next - now);
        if (delay < timeLeft) {
            last = next;
        }
        return std::max(delay, minDelay);
    }

private:
    static constexpr double minRate = 0.01;
    /** About the round trip of a caller. */
    static constexpr base::Milliseconds minDelay{10};

    std::map<Subject, Time> m_last;
};

}
