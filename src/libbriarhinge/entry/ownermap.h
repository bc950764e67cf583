#pragma once

#include "base/units.h"
#include "state/partitiontable.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <set>

namespace briarhinge::entry
{

/** What this entry knows of the owners of programs, and which programs it may serve itself right now. */
class OwnerMap
{
public:
    /**
     * @param self this incarnation
     * @param pauseLimit longest time between two beats: a longer one means that the process was paused
     */
    OwnerMap(state::EntryInfo self, base::Milliseconds pauseLimit);

    /** Begins a new incarnation, which serves nothing yet. @param self the new incarnation */
    void restart(state::EntryInfo self);

    /** Takes in the table as it was read. @param table the table */
    void install(state::PartitionTable table);

    /** Notes that the process runs. After a pause nothing is served until confirm(). */
    void beat();

    /** @return how many pauses beat() has seen */
    std::uint64_t pauses() const;

    /** Serves again after a pause. @param seenPauses the pauses that were known when the table was looked at */
    void confirm(std::uint64_t seenPauses);

    /** Serves nothing until the next restart(). */
    void stepDown();

    /** Notes partitions whose programs this process has now. @param partitions the partitions */
    void markAdopted(const std::set<base::PartitionId> &partitions);

    /** @param partition a partition @return whether it was adopted by this incarnation, by whatever the table says */
    bool isAdopted(base::PartitionId partition) const;

    /** Serves partitions no longer, as before they are handed over. @param partitions replaces those named before */
    void block(std::set<base::PartitionId> partitions);

    /** @return this incarnation */
    state::EntryInfo self() const;

    /** @param root a root program @return its owner; nothing when none is known */
    std::optional<state::EntryInfo> ownerOf(const base::ProgramId &root) const;

    /** @param partition a partition @return whether this incarnation is its owner by the table */
    bool owns(base::PartitionId partition) const;

    /** @param root a root program @return whether this process may serve it now */
    bool serves(const base::ProgramId &root) const;

private:
    using SteadyClock = std::chrono::steady_clock;

    bool ownsLocked(base::PartitionId partition) const;
    bool isPausedLocked() const;

    const base::Milliseconds m_pauseLimit;
    mutable std::mutex m_mutex;
    state::EntryInfo m_self;
    std::optional<state::PartitionTable> m_table;
    std::set<base::PartitionId> m_adopted;
    std::set<base::PartitionId> m_blocked;
    SteadyClock::time_point m_lastBeat;
    std::uint64_t m_pauses = 0;
    std::uint64_t m_confirmedPauses = 0;
    bool m_steppedDown = false;
};

}
