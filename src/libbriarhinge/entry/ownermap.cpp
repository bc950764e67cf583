#include "entry/ownermap.h"

#include "core/program.h"

namespace briarhinge::entry
{

OwnerMap::OwnerMap(state::EntryInfo self, base::Milliseconds maxHeartbeatGap)
    : m_maxHeartbeatGap(maxHeartbeatGap)
    , m_self(std::move(self))
    , m_lastHeartbeat(SteadyClock::now())
{
}

void OwnerMap::beginIncarnation(state::EntryInfo self)
{
    const std::lock_guard lock(m_mutex);
    m_self = std::move(self);
    m_adopted.clear();
    m_blocked.clear();
    m_steppedDown = false;
}

void OwnerMap::setTable(state::PartitionTable table)
{
    const std::lock_guard lock(m_mutex);
    m_table = std::move(table);
    std::erase_if(m_adopted, [this](base::PartitionId partition) {
        return !ownsLocked(partition);
    });
}

void OwnerMap::recordHeartbeat()
{
    const std::lock_guard lock(m_mutex);
    if (isPausedLocked()) {
        ++m_pauseCount;
    }
    m_lastHeartbeat = SteadyClock::now();
}

std::uint64_t OwnerMap::pauseCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_pauseCount;
}

void OwnerMap::confirmAfterPause(std::uint64_t seenPauseCount)
{
    const std::lock_guard lock(m_mutex);
    m_confirmedPauseCount = seenPauseCount;
}

void OwnerMap::stepDown()
{
    const std::lock_guard lock(m_mutex);
    m_steppedDown = true;
}

void OwnerMap::markAdopted(const std::set<base::PartitionId> &partitions)
{
    const std::lock_guard lock(m_mutex);
    m_adopted.insert(partitions.begin(), partitions.end());
}

bool OwnerMap::isAdopted(base::PartitionId partition) const
{
    const std::lock_guard lock(m_mutex);
    return m_adopted.contains(partition);
}

void OwnerMap::blockPartitions(std::set<base::PartitionId> partitions)
{
    const std::lock_guard lock(m_mutex);
    m_blocked = std::move(partitions);
}

state::EntryInfo OwnerMap::self() const
{
    const std::lock_guard lock(m_mutex);
    return m_self;
}

std::optional<state::EntryInfo> OwnerMap::owner(const base::ProgramId &root) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_table) {
        return std::nullopt;
    }
    const auto &ownerId = m_table->partitions[state::partitionForRoot(root).value()].owner;
    const auto found = m_table->entries.find(ownerId);
    return found == m_table->entries.end() ? std::nullopt : std::optional(found->second);
}

bool OwnerMap::owns(base::PartitionId partition) const
{
    const std::lock_guard lock(m_mutex);
    return ownsLocked(partition);
}

bool OwnerMap::serves(const base::ProgramId &root) const
{
    const base::PartitionId partition = state::partitionForRoot(root);
    const std::lock_guard lock(m_mutex);
    if (m_steppedDown || !ownsLocked(partition) || m_blocked.contains(partition)
        || m_confirmedPauseCount != m_pauseCount || isPausedLocked()) {
        return false;
    }
    return m_table->partitions[partition.value()].pendingLogs.empty() || m_adopted.contains(partition);
}

bool OwnerMap::isPausedLocked() const
{
    return SteadyClock::now() - m_lastHeartbeat > m_maxHeartbeatGap;
}

bool OwnerMap::ownsLocked(base::PartitionId partition) const
{
    return m_table && m_table->partitions[partition.value()].owner == m_self.incarnation;
}

}
