#pragma once

#include "base/units.h"
#include "state/partitiontable.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <set>

namespace briarhinge::entry
{

/**
 * Looks up the owners of programs in the last known partition table and decides which programs this entry may serve.
 */
class OwnerMap
{
public:
    /**
     * @param self the current incarnation of this entry
     * @param maxHeartbeatGap maximum time between two heartbeats, in milliseconds; a longer gap means that the process
     * was paused
     */
    OwnerMap(state::EntryInfo self, base::Milliseconds maxHeartbeatGap);

    /**
     * Starts a new incarnation, which serves nothing yet.
     *
     * @param self the new incarnation
     */
    void beginIncarnation(state::EntryInfo self);

    /**
     * Sets the partition table.
     *
     * @param table the table as last read or written
     */
    void setTable(state::PartitionTable table);

    /** Signals that the process is running. After a pause nothing is served until confirmAfterPause(). */
    void recordHeartbeat();

    /** @return the number of pauses detected by recordHeartbeat() */
    std::uint64_t pauseCount() const;

    /**
     * Serves again after a pause. To be called after a pass that renewed the lease and read the table, or at least
     * attempted to.
     *
     * @param seenPauseCount the number of pauses before that pass; a pause since then keeps the entry from serving
     */
    void confirmAfterPause(std::uint64_t seenPauseCount);

    /** Stops serving until the next beginIncarnation(). */
    void stepDown();

    /**
     * Marks partitions whose programs this process has loaded.
     *
     * @param partitions the adopted partitions
     */
    void markAdopted(const std::set<base::PartitionId> &partitions);

    /**
     * @param partition a partition
     * @return whether this incarnation adopted it, even if the table does not say so yet
     */
    bool isAdopted(base::PartitionId partition) const;

    /**
     * Stops serving partitions, for example before they are handed over.
     *
     * @param partitions replaces the partitions blocked before
     */
    void blockPartitions(std::set<base::PartitionId> partitions);

    /** @return the current incarnation of this entry */
    state::EntryInfo self() const;

    /**
     * @param root a root program
     * @return its owner; nothing when none is known
     */
    std::optional<state::EntryInfo> owner(const base::ProgramId &root) const;

    /**
     * @param partition a partition
     * @return whether this incarnation is its owner in the table
     */
    bool owns(base::PartitionId partition) const;

    /**
     * @param root a root program
     * @return whether this process may serve it now
     */
    bool serves(const base::ProgramId &root) const;

private:
    using SteadyClock = std::chrono::steady_clock;

    bool ownsLocked(base::PartitionId partition) const;
    bool isPausedLocked() const;

    const base::Milliseconds m_maxHeartbeatGap;
    mutable std::mutex m_mutex;
    state::EntryInfo m_self;
    std::optional<state::PartitionTable> m_table;
    std::set<base::PartitionId> m_adopted;
    std::set<base::PartitionId> m_blocked;
    SteadyClock::time_point m_lastHeartbeat;
    std::uint64_t m_pauseCount = 0;
    std::uint64_t m_confirmedPauseCount = 0;
    bool m_steppedDown = false;
};

}
