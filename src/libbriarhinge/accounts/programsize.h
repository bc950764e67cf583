#pragma once

#include <algorithm>

namespace briarhinge::accounts
{

/** How many requests a program usually sends, from the requests and the programs that an entry has let pass. */
class ProgramSize
{
public:
    /** Records a request of a program. */
    void recordRequest()
    {
        m_requests += 1;
    }

    /** Records that a program began; its first request is recorded besides. */
    void recordStart()
    {
        m_starts += 1;
        if (m_starts > window) {
            m_starts /= 2;
            m_requests /= 2;
        }
    }

    /** @return mean number of requests that a program sends */
    double requestsPerProgram() const
    {
        return std::clamp(m_requests / m_starts, 1.0, maxSize);
    }

private:
    /** Programs of a few seconds' traffic at one entry. */
    static constexpr double window = 200;
    /** Programs that never end must not keep all others from beginning. */
    static constexpr double maxSize = 64;
    /** Weight of the assumption before any program was seen, in programs, and the requests of such a program. */
    static constexpr double priorStarts = 4;
    static constexpr double priorSize = 4;

    double m_starts = priorStarts;
    double m_requests = priorStarts * priorSize;
};

}
