#pragma once

#include <algorithm>

namespace briarhinge::placement
{

/** Token bucket that limits retries to a fraction of the calls. Not thread-safe. */
class RetryBudget
{
public:
    /**
     * @param retriesPerCall number of retries that each call adds to the budget
     * @param maxAvailable maximum number of retries in the budget, which is also its initial value
     */
    RetryBudget(double retriesPerCall, double maxAvailable)
        : m_retriesPerCall(retriesPerCall)
        , m_maxAvailable(maxAvailable)
        , m_available(maxAvailable)
    {
    }

    /** Adds the retries that a new call allows to the budget. */
    void callStarted()
    {
        m_available = std::min(m_maxAvailable, m_available + m_retriesPerCall);
    }

    /** @return whether a retry was available; it is then taken from the budget */
    bool tryConsume()
    {
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    const double m_retriesPerCall;
    const double m_maxAvailable;
    double m_available;
};

}
