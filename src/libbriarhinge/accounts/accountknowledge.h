#pragma once

#include "accounts/accountcheck.h"
#include "base/units.h"

#include <chrono>
#include <optional>

namespace briarhinge::accounts
{

/**
 * How old an entry's knowledge of the accounts is. A key that was taken away must not be used any more after a time limit,
 * also at an entry that can't read the configuration: it stops by itself before that.
 *
 * Reads no clock itself. Not thread-safe.
 */
class AccountKnowledge
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param revocationLimit time after which no request with a key that was taken away may run; empty if that is bounded
     *                        only while the configuration can be read
     */
    explicit AccountKnowledge(std::optional<base::Milliseconds> revocationLimit)
        : m_revocationLimit(revocationLimit)
    {
    }

    /** @param asOf a time at which the known configuration was certainly the one in force */
    void confirm(Time asOf)
    {
        if (!m_asOf || asOf > *m_asOf) {
            m_asOf = asOf;
        }
    }

    /** @param isReadable whether the configuration can be read at the moment */
    void setReadable(bool isReadable)
    {
        m_isReadable = isReadable;
    }

    /** @param now current time @return how far the known accounts are the ones in force */
    Knowledge at(Time now) const
    {
        if (m_revocationLimit && (!m_asOf || now - *m_asOf >= *m_revocationLimit - margin)) {
            return Knowledge::Expired;
        }
        return m_isReadable ? Knowledge::Current : Knowledge::Doubtful;
    }

    /**
     * @param now current time
     * @return whether callers do better to come to another entry: most of the time limit has passed without confirmation
     */
    bool isFading(Time now) const
    {
        return m_revocationLimit && (!m_asOf || now - *m_asOf >= *m_revocationLimit * fadingShare / 100);
    }

    /** @param now current time @return age of the knowledge; nothing if it was never confirmed */
    std::optional<base::Milliseconds> age(Time now) const
    {
        return m_asOf ? std::optional(std::chrono::duration_cast<base::Milliseconds>(now - *m_asOf)) : std::nullopt;
    }

private:
    /** Covers the time from this decision until the first byte leaves for a runner. */
    static constexpr base::Milliseconds margin{100};
    /** Percentage of the time limit; a confirmation that is late by one lost call does not reach it. */
    static constexpr int fadingShare = 75;

    const std::optional<base::Milliseconds> m_revocationLimit;
    std::optional<Time> m_asOf;
    bool m_isReadable = true;
};

}
