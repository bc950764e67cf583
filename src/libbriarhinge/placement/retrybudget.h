#pragma once

#include <algorithm>

namespace briarhinge::placement
{

/** Token bucket that limits retries to a fraction of the calls. Not thread-safe. */
class RetryBudget
{
public:
    /**
     * @param share number of retries that each call adds to the budget
     * @param burst maximum number of retries in the budget, which is also its initial value
     */
    RetryBudget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_saved(burst)
    {
    }

    /** Adds the share of a new call to the budget. */
    void callStarted()
    {
        m_saved = std::min(m_burst, m_saved + m_share);
    }

    /** @return whether a retry was available; it is then taken from the budget */
    bool take()
    {
        if (m_saved < 1) {
            return false;
        }
        m_saved -= 1;
        return true;
    }

private:
    const double m_share;
    const double m_burst;
    double m_saved;
};

}
