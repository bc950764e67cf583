#pragma once

#include "base/strongtype.h"
#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarhinge::dispatch
{

/** Identifies a process that grants permits. */
using KeeperId = base::StrongType<struct KeeperIdTag, std::string>;

/**
 * What one entry knows of the permits that keepers still have: when each of them next has one for a subject. Reads no clock
 * itself. Not thread-safe.
 *
 * @tparam Subject identifies what permits are for, such as a runner or a client account
 */
template <class Subject>
class PermitSchedule
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param keepers the keepers that share each limit; what is known of others is forgotten */
    void setKeepers(std::vector<KeeperId> keepers)
    {
        const auto isGone = [&keepers](const auto &entry) {
            return std::find(keepers.begin(), keepers.end(), entry.first) == keepers.end();
        };
        for (auto &[subject, next] : m_next) {
            std::erase_if(next, isGone);
        }
        std::erase_if(m_silentUntil, isGone);
        m_keepers = std::move(keepers);
    }

    /** @param now current time @return whether there is a keeper that has not stayed silent lately */
    bool hasKeeper(Time now) const
    {
        return std::any_of(m_keepers.begin(), m_keepers.end(), [this, now](const KeeperId &keeper) {
            const auto silent = m_silentUntil.find(keeper);
            return silent == m_silentUntil.end() || silent->second <= now;
        });
    }

    /**
     * @param subject a subject with a limit
     * @param now current time
     * @return earliest time at which a keeper may have a permit for it
     */
    Time nextPermit(const Subject &subject, Time now) const
    {
        Time earliest = Time::max();
        for (const KeeperId &keeper : m_keepers) {
            earliest = std::min(earliest, nextPermit(subject, keeper, now));
        }
        return m_keepers.empty() ? now + noKeeperDelay : earliest;
    }

    /**
     * Chooses the keeper to ask for a permit: by turns, so that all shares are used, the next one that may have a permit
     * now; otherwise the one that has one first.
     *
     * @param subjects subjects with limits, a permit for any of which would do
     * @param now current time
     * @param maxWait longest time for which the request can wait
     * @return the keeper; nothing if none has a permit within that time
     */
    std::optional<KeeperId> chooseKeeper(const std::vector<Subject> &subjects, Time now, base::Milliseconds maxWait)
    {
        const KeeperId *chosen = nullptr;
        Time earliest = now + maxWait;
        ++m_rotation;
        for (std::size_t i = 0; i < m_keepers.size(); ++i) {
            const KeeperId &keeper = m_keepers[(m_rotation + i) % m_keepers.size()];
            Time next = Time::max();
            for (const Subject &subject : subjects) {
                next = std::min(next, nextPermit(subject, keeper, now));
            }
            if (next < earliest || (chosen == nullptr && next == earliest)) {
                earliest = next;
                chosen = &keeper;
            }
        }
        return chosen == nullptr ? std::nullopt : std::optional(*chosen);
    }

    /**
     * Records when a keeper next has a permit.
     *
     * @param subject the subject
     * @param keeper the keeper
     * @param next the time of the next permit
     */
    void recordNext(const Subject &subject, const KeeperId &keeper, Time next)
    {
        m_next[subject][keeper] = next;
    }

    /**
     * Records that a keeper did not answer; it is not asked for a while.
     *
     * @param keeper the keeper
     * @param now current time
     */
    void recordSilence(const KeeperId &keeper, Time now)
    {
        m_silentUntil[keeper] = now + silenceBackoff;
    }

    /** @param subject a subject that has no limit any more, or is gone */
    void forget(const Subject &subject)
    {
        m_next.erase(subject);
    }

private:
    /** A keeper that did not answer is replaced, or back, after some seconds; a request to it costs its caller 100 ms. */
    static constexpr base::Milliseconds silenceBackoff{500};
    /** Without keepers there are no permits; a group of turn stores is known within this time after the start. */
    static constexpr base::Milliseconds noKeeperDelay{500};

    Time nextPermit(const Subject &subject, const KeeperId &keeper, Time now) const
    {
        Time next = now;
        if (const auto silent = m_silentUntil.find(keeper); silent != m_silentUntil.end()) {
            next = std::max(next, silent->second);
        }
        const auto known = m_next.find(subject);
        if (known == m_next.end()) {
            return next;
        }
        const auto found = known->second.find(keeper);
        return found == known->second.end() ? next : std::max(next, found->second);
    }

    std::vector<KeeperId> m_keepers;
    std::map<Subject, std::map<KeeperId, Time>> m_next;
    std::map<KeeperId, Time> m_silentUntil;
    std::size_t m_rotation = 0;
};

}
