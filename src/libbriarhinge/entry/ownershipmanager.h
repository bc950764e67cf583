#pragma once

#include "entry/ownermap.h"
#include "keyvalue/keyvalue.h"
#include "logging/eventlog.h"
#include "service/concepts.h"
#include "state/logreader.h"
#include "state/partitiontable.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>

namespace briarhinge::entry
{

/** The key that holds the partition table. */
inline constexpr const char *tableKey = "partitions";
/** Prefix of the keys of live entries. */
inline constexpr const char *entriesPrefix = "entries/";

/** Container of the programs that an entry owns. */
template <class T>
concept ProgramHolder = requires(T &programs, const base::ProgramId &root, core::ProgramTree tree)
{
    programs.adopt(root, tree);
    programs.removeTrees([](const base::ProgramId &) {
        return true;
    });
    programs.visit([](const base::ProgramId &, const core::ProgramTree &) {});
};

/** A record log that can be restarted for a new incarnation and flushed. */
template <class T>
concept OwnedLog = service::RecordLog<T> && requires(T &log, base::ProcessId incarnation, base::Milliseconds limit)
{
    log.restart(incarnation);
    {
        log.position()
        } -> std::same_as<state::LogPosition>;
    {
        log.flush(limit)
        } -> std::same_as<bool>;
};

/**
 * Renews the lease of this entry and maintains its partitions in the partition table: takes over the partitions of dead
 * entries, adopts those assigned to this entry, and hands over those that belong to other entries.
 *
 * Its copy of the table may be stale at any time. Ownership is safe because the table changes only by compare-and-swap,
 * and because the log of an owner that did not hand over is sealed before the table names another owner.
 */
template <keyvalue::KeyValueService KeyValueT, OwnedLog LogT, ProgramHolder ProgramsT>
class OwnershipManager
{
public:
    /**
     * @param service the key-value service of the platform
     * @param log the record log of this entry
     * @param programs the programs of this entry
     * @param owners updated with the table and the partitions that may be served
     * @param events receives the events
     * @param leaseTime time after which an entry that did not renew its lease is taken over, in milliseconds
     * @param makeIncarnation creates the id of a new incarnation of this entry
     */
    OwnershipManager(KeyValueT &service, LogT &log, ProgramsT &programs, OwnerMap &owners, logging::EventLog &events,
                     base::Milliseconds leaseTime, std::function<base::ProcessId()> makeIncarnation)
        : m_service(service)
        , m_reader(service)
        , m_log(log)
        , m_programs(programs)
        , m_owners(owners)
        , m_events(events)
        , m_leaseTime(leaseTime)
        , m_makeIncarnation(std::move(makeIncarnation))
        , m_takeoverGraceEnd(SteadyClock::now() + leaseTime)
    {
    }

    /** Stops serving because another entry sealed the log. The next pass starts a new incarnation. */
    void handleLogSealed()
    {
        m_owners.stepDown();
        m_isLogSealed = true;
    }

    /** Hands over all partitions in the next passes and accepts no new ones. */
    void resign()
    {
        m_isResigning = true;
    }

    /** Removes this entry from the live entries once its handover is complete. */
    void unregister()
    {
        if (m_lease && m_isResigned) {
            m_service.remove(entriesPrefix + m_owners.self().name);
        }
    }

    /** @return whether this entry resigned and still has partitions to hand over */
    bool hasToHandOver() const
    {
        return m_isResigning && !m_isResigned;
    }

    /**
     * Performs all work that is due, once.
     *
     * @return false when the pass was cut short, as when the key-value service did not answer
     */
    bool runPass()
    {
        const std::uint64_t pauseCount = m_owners.pauseCount();
        const bool isComplete = runPassSteps();
        if (!isComplete) {
            // All leases may have lapsed during an outage of the service: the other entries get time to renew theirs.
            m_takeoverGraceEnd = SteadyClock::now() + m_leaseTime;
            m_isTableStale = true;
        }
        m_owners.confirmAfterPause(pauseCount);
        return isComplete;
    }

    /**
     * Waits until the table changes.
     *
     * @param limit maximum wait, in milliseconds
     */
    void waitForTableChange(base::Milliseconds limit)
    {
        const auto result = m_service.watch(tableKey, m_tableVersion, limit);
        const auto *changes = std::get_if<keyvalue::Changes>(&result);
        m_isTableStale = m_isTableStale || changes == nullptr || !changes->changed.empty();
    }

private:
    using SteadyClock = std::chrono::steady_clock;
    using Partitions = std::set<base::PartitionId>;
    using PendingLogs = std::vector<base::ProcessId>;
    using Trees = std::map<base::ProgramId, core::ProgramTree>;

    static constexpr base::Milliseconds storeTimeout{10'000};
    static constexpr std::size_t maxEntries = 1000;
    static constexpr std::uint64_t positionsPerCompaction = 1024;
    static constexpr int removalsPerPass = 16;

    bool runPassSteps()
    {
        if (m_isLogSealed.exchange(false)) {
            restart();
        }
        if (!renewRegistration() || !readLiveEntries() || !readTable()) {
            return false;
        }
        reconcile();
        return takeOverDeadEntries() && adoptPartitions() && handOverMisplaced() && compact();
    }

    void restart()
    {
        state::EntryInfo self = m_owners.self();
        const base::ProcessId old = self.incarnation;
        self.incarnation = m_makeIncarnation();
        m_programs.removeTrees([](const base::ProgramId &) {
            return true;
        });
        m_log.restart(self.incarnation);
        m_owners.beginIncarnation(self);
        m_lease.reset();
        m_retainedFrom = state::LogPosition(1);
        m_removedTo = state::LogPosition(1);
        m_isTableStale = true;
        m_events.write(logging::events::ownerSuperseded,
                       {{"incarnation", old.value()}, {"next", self.incarnation.value()}});
    }

    bool renewRegistration()
    {
        const bool isLeavingFlagCurrent = m_leavingSince.has_value() || !m_isResigning;
        if (m_lease && isLeavingFlagCurrent) {
            const auto renewed = m_service.renewLease(*m_lease);
            if (std::holds_alternative<keyvalue::LeaseId>(renewed)) {
                return true;
            }
            if (std::holds_alternative<keyvalue::PlatformUnavailable>(renewed)) {
                return false;
            }
            m_lease.reset();
            m_events.write(logging::events::leaseLapsed, {{"incarnation", m_owners.self().incarnation.value()}});
            // Without an append an idle owner would not notice that its log was sealed.
            m_log.appendRequired({}, [](const service::StoreResult &) {});
        }
        return registerEntry();
    }

    bool registerEntry()
    {
        const auto opened = m_service.openLease(m_leaseTime);
        const auto *lease = std::get_if<keyvalue::LeaseId>(&opened);
        if (lease == nullptr) {
            return false;
        }
        state::EntryInfo self = m_owners.self();
        self.leaving = m_isResigning;
        const std::string key = entriesPrefix + self.name;
        const auto read = m_service.read(key);
        if (std::holds_alternative<keyvalue::PlatformUnavailable>(read)) {
            return false;
        }
        const auto *present = std::get_if<keyvalue::KeyValue>(&read);
        const auto written = m_service.write(key, state::encodeEntry(self),
                                             present == nullptr ? keyvalue::KeyVersion(0) : present->version, *lease);
        if (!std::holds_alternative<keyvalue::KeyVersion>(written)) {
            return false;
        }
        m_lease = *lease;
        if (self.leaving && !m_leavingSince) {
            m_leavingSince = SteadyClock::now();
        }
        return true;
    }

    bool readLiveEntries()
    {
        const auto listed = m_service.list(entriesPrefix, "", maxEntries);
        const auto *keys = std::get_if<std::vector<keyvalue::KeyValue>>(&listed);
        if (keys == nullptr) {
            return false;
        }
        m_liveEntries.clear();
        for (const keyvalue::KeyValue &key : *keys) {
            if (const auto entry = state::decodeEntry(key.value)) {
                m_liveEntries.push_back(*entry);
            }
        }
        return true;
    }

    /** Returns the live entries that may get partitions. */
    std::vector<state::EntryInfo> eligibleEntries() const
    {
        std::vector<state::EntryInfo> entries = m_liveEntries;
        std::erase_if(entries, [](const state::EntryInfo &entry) {
            return entry.leaving;
        });
        return entries;
    }

    bool readTable()
    {
        if (!m_isTableStale) {
            return true;
        }
        const auto read = m_service.read(tableKey);
        if (std::holds_alternative<keyvalue::PlatformUnavailable>(read)) {
            return false;
        }
        const auto *found = std::get_if<keyvalue::KeyValue>(&read);
        if (found == nullptr) {
            return !eligibleEntries().empty() && writeTable(state::initialTable(eligibleEntries()));
        }
        const auto decoded = state::decodeTable(found->value);
        const auto *table = std::get_if<state::PartitionTable>(&decoded);
        if (table == nullptr) {
            m_events.write(logging::events::badPartitionTable,
                           {{"reason", std::get<state::TableError>(decoded).reason}});
            return false;
        }
        m_tableVersion = found->version;
        m_isTableStale = false;
        setTable(*table);
        // A handover whose reply was lost may still take effect: only a write of a later version rules that out.
        return !m_isHandoverInDoubt || writeTable(*table);
    }

    void setTable(const state::PartitionTable &table)
    {
        m_table = table;
        m_owners.setTable(table);
    }

    /** @return whether the table was written; if not, the next pass reads it again */
    bool writeTable(const state::PartitionTable &table)
    {
        const auto written = m_service.write(tableKey, state::encodeTable(table), m_tableVersion, std::nullopt);
        const auto *version = std::get_if<keyvalue::KeyVersion>(&written);
        if (version == nullptr) {
            m_isTableStale = true;
            m_isWriteInDoubt = std::holds_alternative<keyvalue::PlatformUnavailable>(written);
            return false;
        }
        m_tableVersion = *version;
        m_isTableStale = false;
        m_isHandoverInDoubt = false;
        setTable(table);
        return true;
    }

    /** Drops the programs of partitions that this entry no longer owns, and updates the blocked partitions. */
    void reconcile()
    {
        m_programs.removeTrees([this](const base::ProgramId &root) {
            return !m_owners.owns(state::partitionForRoot(root));
        });
        m_owners.blockPartitions(partitionsToBlock());
    }

    /**
     * Whether all other entries have had time to read that this one is leaving, so that none of them hands partitions
     * back to it.
     */
    bool isLeavingKnown() const
    {
        return m_leavingSince && SteadyClock::now() - *m_leavingSince > m_leaseTime / 2;
    }

    /** A leaving entry blocks all its partitions, so that running work can finish and no new work starts. */
    Partitions partitionsToBlock() const
    {
        if (!isLeavingKnown()) {
            return {};
        }
        const auto owned = state::ownedPartitions(m_table, m_owners.self().incarnation);
        return {owned.begin(), owned.end()};
    }

    bool isLive(const base::ProcessId &incarnation) const
    {
        return std::any_of(m_liveEntries.begin(), m_liveEntries.end(), [&](const state::EntryInfo &entry) {
            return entry.incarnation == incarnation;
        });
    }

    /** Whether an incarnation that is not live is due for a takeover and this entry is the one to perform it. */
    bool isTakeoverDueHere(const state::EntryInfo &entry) const
    {
        const bool isReplaced =
            std::any_of(m_liveEntries.begin(), m_liveEntries.end(), [&](const state::EntryInfo &live) {
                return live.name == entry.name;
            });
        if (!isReplaced && SteadyClock::now() < m_takeoverGraceEnd) {
            return false;
        }
        const auto candidates = eligibleEntries();
        const state::EntryInfo *chosen =
            state::rendezvousOwner(state::partitionForRoot(base::ProgramId(entry.incarnation.value())), candidates);
        return chosen != nullptr && chosen->incarnation == m_owners.self().incarnation;
    }

    bool mustTakeOver(const state::EntryInfo &entry) const
    {
        return !isLive(entry.incarnation) && !state::ownedPartitions(m_table, entry.incarnation).empty()
            && isTakeoverDueHere(entry);
    }

    bool takeOverDeadEntries()
    {
        if (std::any_of(m_table.entries.begin(), m_table.entries.end(), [this](const auto &entry) {
                return mustTakeOver(entry.second);
            })) {
            // An entry that resigned handed over its partitions before it left the live entries, so the table must be
            // read after those.
            m_isTableStale = true;
            if (!readTable()) {
                return false;
            }
        }
        for (const auto &[incarnation, entry] : std::map(m_table.entries)) {
            if (!mustTakeOver(entry)) {
                continue;
            }
            if (const auto error = m_reader.seal(incarnation, m_owners.self().incarnation)) {
                m_events.write(logging::events::takeoverFailed,
                               {{"incarnation", incarnation.value()}, {"reason", error->reason}});
                return false;
            }
            state::PartitionTable changed = m_table;
            state::reassignPartitions(changed, incarnation, eligibleEntries());
            if (!writeTable(changed)) {
                return true;
            }
            m_events.write(logging::events::entryTakenOver, {{"incarnation", incarnation.value()}});
        }
        return true;
    }

    /** Returns the partitions whose programs must be read from logs before they are served, grouped by these logs. */
    std::map<PendingLogs, Partitions> partitionsToAdopt() const
    {
        std::map<PendingLogs, Partitions> groups;
        for (const base::PartitionId partition : state::ownedPartitions(m_table, m_owners.self().incarnation)) {
            const PendingLogs &pendingLogs = m_table.partitions[partition.value()].pendingLogs;
            if (!pendingLogs.empty()) {
                groups[pendingLogs].insert(partition);
            }
        }
        return groups;
    }

    bool adoptPartitions()
    {
        const auto groups = partitionsToAdopt();
        std::map<base::PartitionId, PendingLogs> adopted;
        for (const auto &[pendingLogs, partitions] : groups) {
            if (!adoptGroup(pendingLogs, notYetAdopted(partitions))) {
                return false;
            }
            for (const base::PartitionId partition : partitions) {
                adopted[partition] = pendingLogs;
            }
        }
        if (adopted.empty()) {
            return true;
        }
        state::PartitionTable changed = m_table;
        state::clearPendingLogs(changed, m_owners.self().incarnation, adopted);
        const auto unused = state::removeUnusedEntries(changed);
        if (writeTable(changed)) {
            removeLogs(unused);
        }
        return true;
    }

    /** Drops the partitions that an earlier pass adopted and that are served already, though not yet in the table. */
    Partitions notYetAdopted(Partitions partitions) const
    {
        std::erase_if(partitions, [this](base::PartitionId partition) {
            return m_owners.isAdopted(partition);
        });
        return partitions;
    }

    bool adoptGroup(const PendingLogs &pendingLogs, const Partitions &partitions)
    {
        if (partitions.empty()) {
            return true;
        }
        Trees trees;
        bool isAnySealed = false;
        for (const base::ProcessId &incarnation : pendingLogs) {
            const auto content = m_reader.read(incarnation);
            if (const auto *error = std::get_if<state::LogError>(&content)) {
                m_events.write(logging::events::takeoverFailed,
                               {{"incarnation", incarnation.value()}, {"reason", error->reason}});
                return false;
            }
            const auto &log = std::get<state::LogContent>(content);
            isAnySealed = isAnySealed || log.isSealed;
            replayInto(trees, log, partitions);
        }
        std::erase_if(trees, [](const auto &tree) {
            return tree.second.programs.empty();
        });
        for (auto &[root, tree] : trees) {
            // An owner that did not complete a handover may have spent more of the budget since: the state is settled
            // only if none of the logs was sealed.
            tree.settled = tree.settled && !isAnySealed;
        }
        return storeAdopted(trees, partitions);
    }

    static void replayInto(Trees &trees, const state::LogContent &log, const Partitions &partitions)
    {
        for (const core::Record &record : log.records) {
            const base::ProgramId root = core::rootProgramId(record);
            if (partitions.contains(state::partitionForRoot(root))) {
                core::replay(trees[root], record);
            }
        }
    }

    /** Stores the programs in the log of the new owner before they are served, because the old logs get removed. */
    bool storeAdopted(Trees &trees, const Partitions &partitions)
    {
        AppendWait wait(trees.size());
        for (auto &[root, tree] : trees) {
            core::finishReplay(tree);
            m_log.appendRequired(core::makeSnapshot(tree), wait.handler());
        }
        if (!wait.allStored(storeTimeout)) {
            return false;
        }
        for (auto &[root, tree] : trees) {
            m_programs.adopt(root, std::move(tree));
        }
        m_owners.markAdopted(partitions);
        m_events.write(logging::events::partitionsAdopted,
                       {{"partitions", partitions.size()}, {"programs", trees.size()}});
        return true;
    }

    void removeLogs(const std::vector<base::ProcessId> &unused)
    {
        for (const base::ProcessId &incarnation : unused) {
            // The seal fences off an owner that resumes late. An entry that resigned has left its log open.
            if (!isLive(incarnation) && !m_reader.seal(incarnation, m_owners.self().incarnation)) {
                m_reader.remove(incarnation);
            }
        }
    }

    /**
     * Hands over the owned partitions whose rendezvous owner is another entry. A resigning entry has resigned once it
     * owns no partitions, or no other entry can take them, and its log is flushed.
     */
    bool handOverMisplaced()
    {
        const auto candidates = eligibleEntries();
        std::map<base::PartitionId, state::EntryInfo> misplaced;
        const base::ProcessId self = m_owners.self().incarnation;
        const auto owned = state::ownedPartitions(m_table, self);
        for (const base::PartitionId partition : owned) {
            const state::EntryInfo *target = state::rendezvousOwner(partition, candidates);
            if (target != nullptr && target->incarnation != self
                && m_table.partitions[partition.value()].pendingLogs.empty()) {
                misplaced.emplace(partition, *target);
            }
        }
        if (!misplaced.empty() && (!m_isResigning || isLeavingKnown())) {
            handOverIdlePartitions(misplaced);
        }
        if (m_isResigning && (candidates.empty() || state::ownedPartitions(m_table, self).empty())) {
            m_isResigned = m_log.flush(m_leaseTime);
        }
        return true;
    }

    void handOverIdlePartitions(std::map<base::PartitionId, state::EntryInfo> &misplaced)
    {
        Partitions blocked;
        for (const auto &[partition, target] : misplaced) {
            blocked.insert(partition);
        }
        m_owners.blockPartitions(blocked);
        Partitions withState;
        m_programs.visit([&](const base::ProgramId &root, const core::ProgramTree &tree) {
            const base::PartitionId partition = state::partitionForRoot(root);
            if (!core::isIdle(tree)) {
                misplaced.erase(partition);
                return;
            }
            if (misplaced.contains(partition)) {
                withState.insert(partition);
                m_log.appendDeferred({core::BudgetState{root, tree.budget.granted(), tree.budget.spent(), true}},
                                     [](const service::StoreResult &) {});
            }
        });
        if (!withState.empty() && !m_log.flush(m_leaseTime)) {
            m_owners.blockPartitions(partitionsToBlock());
            return;
        }
        state::PartitionTable changed = m_table;
        state::handOver(changed, m_owners.self().incarnation, misplaced, withState);
        if (!writeTable(changed)) {
            // The write may still take effect: the partitions stay blocked until that is ruled out.
            m_isHandoverInDoubt = m_isWriteInDoubt;
            if (!m_isHandoverInDoubt) {
                m_owners.blockPartitions(partitionsToBlock());
            }
            return;
        }
        reconcile();
        m_events.write(logging::events::partitionsHandedOver, {{"partitions", misplaced.size()}});
    }

    /** Appends snapshots of all programs to the log and removes the batches before them, a few in each pass. */
    bool compact()
    {
        const state::LogPosition next = m_log.position();
        if (next.value() < m_retainedFrom.value() + positionsPerCompaction || m_isHandoverInDoubt
            || state::isLogPending(m_table, m_owners.self().incarnation)) {
            return removeOldBatches();
        }
        m_programs.visit([this](const base::ProgramId &, const core::ProgramTree &tree) {
            m_log.appendDeferred(core::makeSnapshot(tree), [](const service::StoreResult &) {});
        });
        if (m_log.flush(storeTimeout)) {
            m_retainedFrom = next;
        }
        return removeOldBatches();
    }

    bool removeOldBatches()
    {
        const base::ProcessId self = m_owners.self().incarnation;
        for (int i = 0; i < removalsPerPass && m_removedTo < m_retainedFrom; ++i) {
            if (std::holds_alternative<keyvalue::PlatformUnavailable>(
                    m_service.remove(state::logKey(self, m_removedTo)))) {
                return false;
            }
            m_removedTo = state::LogPosition(m_removedTo.value() + 1);
        }
        return true;
    }

    /** Waits until a number of appends are stored. */
    class AppendWait
    {
    public:
        explicit AppendWait(std::size_t count)
            : m_state(std::make_shared<State>())
        {
            m_state->pending = count;
        }

        service::StoreHandler handler()
        {
            return [state = m_state](const service::StoreResult &result) {
                const std::lock_guard lock(state->mutex);
                --state->pending;
                state->isRefused = state->isRefused || std::holds_alternative<service::NotStored>(result);
                state->changed.notify_all();
            };
        }

        bool allStored(base::Milliseconds limit)
        {
            std::unique_lock lock(m_state->mutex);
            return m_state->changed.wait_for(lock, limit, [this] {
                return m_state->pending == 0;
            }) && !m_state->isRefused;
        }

    private:
        struct State
        {
            std::mutex mutex;
            std::condition_variable changed;
            std::size_t pending = 0;
            bool isRefused = false;
        };

        std::shared_ptr<State> m_state;
    };

    KeyValueT &m_service;
    state::LogReader<KeyValueT> m_reader;
    LogT &m_log;
    ProgramsT &m_programs;
    OwnerMap &m_owners;
    logging::EventLog &m_events;
    const base::Milliseconds m_leaseTime;
    std::function<base::ProcessId()> m_makeIncarnation;
    std::optional<keyvalue::LeaseId> m_lease;
    /** Time since which the other entries can read that this one is leaving. */
    std::optional<SteadyClock::time_point> m_leavingSince;
    std::vector<state::EntryInfo> m_liveEntries;
    state::PartitionTable m_table;
    keyvalue::KeyVersion m_tableVersion;
    /** First position of the own log that is still needed. */
    state::LogPosition m_retainedFrom{1};
    /** First position of the own log that has not been removed. */
    state::LogPosition m_removedTo{1};
    bool m_isTableStale = true;
    /** Whether the last failed write of the table got no reply, so that it may have taken effect. */
    bool m_isWriteInDoubt = false;
    /** Whether a handover may still take effect because the write of the table got no reply. */
    bool m_isHandoverInDoubt = false;
    /** Until this time an entry without a lease is taken over only if it was replaced by a new incarnation. */
    SteadyClock::time_point m_takeoverGraceEnd;
    std::atomic<bool> m_isLogSealed{false};
    std::atomic<bool> m_isResigning{false};
    std::atomic<bool> m_isResigned{false};
};

}
