#pragma once

#include "forwarding/messages.h"
#include "forwarding/routing.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>

namespace briarhinge::dispatch
{

/**
 * Tells refused callers when to come back, one after the other at the rate at which the limited runners of a service take
 * requests. Callers that all came back at the next free permit would be refused once more, but for one.
 *
 * Reads no clock itself. Not thread-safe.
 */
class ReturnSchedule
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param service the service
     * @param earliest time at which a permit is free
     * @param rate requests a second that this entry can expect permits for
     * @param timeLeft time for which the caller can still use an answer; one that can't come back in time takes no place
     * @param now current time
     * @return time after which the caller may try again
     */
    base::Milliseconds next(const forwarding::ServiceName &service, Time earliest, forwarding::RequestRate rate,
                            base::Milliseconds timeLeft, Time now)
    {
        Time &last = m_last[service];
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

    std::map<forwarding::ServiceName, Time> m_last;
};

}
