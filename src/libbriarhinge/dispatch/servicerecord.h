#pragma once

#include "base/units.h"

#include <chrono>

namespace briarhinge::dispatch
{

/**
 * What the recent answers of one runner say of it: how fast it is beside the others, and how often it fails although it
 * answers health checks. Old answers fade, so that a runner which was avoided is tried again. Free of clocks; not
 * synchronised.
 */
class ServiceRecord
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /**
     * A request was answered.
     *
     * @param slowness its time, as a multiple of what such requests usually take
     * @param now the time
     */
    void answered(double slowness, Time now);

    /** A request failed: the runner answered with an error of its own, broke off, or sent nothing. @param now the time */
    void failed(Time now);

    /** @param now the time @return the expected time of a request, as a multiple of what such requests usually take */
    double slowness(Time now) const;

    /** @param now the time @return the expected share of requests that fail */
    double failureShare(Time now) const;

private:
    double fading(Time now) const;
    void fade(Time now);

    /** Answers, failures included, each counted less with age. */
    double m_answers = 0;
    double m_slowness = 0;
    double m_failures = 0;
    Time m_faded;
};

}
