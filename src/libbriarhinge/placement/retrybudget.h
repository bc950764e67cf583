#pragma once

#include <algorithm>

namespace briarhinge::placement
{

/** Bounds the attempts beyond the first to a share of the traffic. Not synchronised. */
class RetryBudget
{
public:
    /** @param share retries that each call allows @param burst retries that can be saved up */
    RetryBudget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_saved(burst)
    {
    }

    /** A call came in. */
    void callStarted()
    {
        m_saved = std::min(m_burst, m_saved + m_share);
    }

    /** Takes one retry. @return whether there was one */
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
