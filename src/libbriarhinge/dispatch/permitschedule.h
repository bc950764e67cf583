#pragma once

#include "dispatch/runner.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::dispatch
{

/** Identifies a process that grants permits. */
using KeeperId = base::StrongType<struct KeeperIdTag, std::string>;

/**
 * What one entry knows of the permits that keepers still have: when each of them next has one for a runner. Reads no clock
 * itself. Not thread-safe.
 */
class PermitSchedule
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param keepers the keepers that share each limit; what is known of others is forgotten */
    void setKeepers(std::vector<KeeperId> keepers);

    /**
     * @param runner a runner with a limit
     * @param now current time
     * @return earliest time at which a keeper may have a permit for it
     */
    Time nextPermit(const RunnerId &runner, Time now) const;

    /**
     * Chooses the keeper to ask for a permit: by turns, so that all shares are used, the next one that may have a permit
     * now; otherwise the one that has one first.
     *
     * @param runners runners with limits, any of which would do
     * @param now current time
     * @param maxWait longest time for which the request can wait
     * @return the keeper; nothing if none has a permit within that time
     */
    std::optional<KeeperId> chooseKeeper(const std::vector<RunnerId> &runners, Time now, base::Milliseconds maxWait);

    /**
     * Records when a keeper next has a permit.
     *
     * @param runner the runner
     * @param keeper the keeper
     * @param next the time of the next permit
     */
    void recordNext(const RunnerId &runner, const KeeperId &keeper, Time next);

    /**
     * Records that a keeper did not answer; it is not asked for a while.
     *
     * @param keeper the keeper
     * @param now current time
     */
    void recordSilence(const KeeperId &keeper, Time now);

    /** @param runner a runner that has no limit any more, or is gone */
    void forget(const RunnerId &runner);

private:
    Time nextPermit(const RunnerId &runner, const KeeperId &keeper, Time now) const;

    std::vector<KeeperId> m_keepers;
    std::map<RunnerId, std::map<KeeperId, Time>> m_next;
    std::map<KeeperId, Time> m_silentUntil;
    std::size_t m_rotation = 0;
};

}
