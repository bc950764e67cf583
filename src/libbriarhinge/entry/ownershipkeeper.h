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
/** What the keys of the live entries begin with. */
inline constexpr const char *entriesPrefix = "entries/";

/** Holds the programs that an entry owns. */
template <class T>
concept ProgramHolder = requires(T &programs, const base::ProgramId &root, core::ProgramTree tree)
{
    programs.adopt(root, tree);
    programs.removeTrees([](const base::ProgramId &) {
        return true;
    });
    programs.visit([](const base::ProgramId &, const core::ProgramTree &) {});
};

/** A record log that an ownership can restart and flush. */
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
 * Keeps this entry's lease and its part of the partition table: takes over dead entries, adopts partitions, hands
 * over those that belong elsewhere.
 *
 * What it believes may be stale at any moment. Only two things make ownership safe: the table changes by
 * compare-and-swap, and the log of an owner that did not hand over is sealed before the table names another.
 */
template <keyvalue::KeyValueService KeyValueT, OwnedLog LogT, ProgramHolder ProgramsT>
class OwnershipKeeper
{
public:
    /**
     * @param service the platform's service
     * @param log this entry's log
     * @param programs this entry's programs
     * @param owners told what is owned
     * @param events gets the events
     * @param leaseTime after which a silent entry is taken over
     * @param makeIncarnation names a new incarnation of this entry
     */
    OwnershipKeeper(KeyValueT &service, LogT &log, ProgramsT &programs, OwnerMap &owners, logging::EventLog &events,
                    base::Milliseconds leaseTime, std::function<base::ProcessId()> makeIncarnation)
        : m_service(service)
        , m_reader(service)
        , m_log(log)
        , m_programs(programs)
        , m_owners(owners)
        , m_events(events)
        , m_leaseTime(leaseTime)
        , m_makeIncarnation(std::move(makeIncarnation))
        , m_graceEnd(SteadyClock::now() + leaseTime)
    {
    }

    /** The log was sealed by another entry: the next pass begins a new incarnation. */
    void superseded()
    {
        m_owners.stepDown();
        m_isSuperseded = true;
    }

    /** Hands over all partitions in the next passes and takes no more. */
    void resign()
    {
        m_isResigning = true;
    }

    /** Leaves the list of live entries, once nothing is owned any more. */
    void leave()
    {
        if (m_lease && m_isResigned) {
            m_service.remove(entriesPrefix + m_owners.self().name);
        }
    }

    /** @return whether another entry is still to get what this one owns */
    bool hasToHandOver() const
    {
        return m_isResigning && !m_isResigned;
    }

    /** Does once all that is due. @return whether the service answered */
    bool pass()
    {
        const std::uint64_t pauses = m_owners.pauses();
        const bool isAnswered = passOnce();
        if (!isAnswered) {
            // Every lease may have lapsed while the service was away: the others get time to come back.
            m_graceEnd = SteadyClock::now() + m_leaseTime;
            m_isTableStale = true;
        }
        m_owners.confirm(pauses);
        return isAnswered;
    }

    /** Waits until the table changes. @param limit longest wait */
    void waitForChange(base::Milliseconds limit)
    {
        const auto result = m_service.watch(tableKey, m_tableVersion, limit);
        const auto *changes = std::get_if<keyvalue::Changes>(&result);
        m_isTableStale = m_isTableStale || changes == nullptr || !changes->changed.empty();
    }

private:
    using SteadyClock = std::chrono::steady_clock;
    using Partitions = std::set<base::PartitionId>;
    using Sources = std::vector<base::ProcessId>;
    using Trees = std::map<base::ProgramId, core::ProgramTree>;

    static constexpr base::Milliseconds storeLimit{10'000};
    static constexpr std::size_t maxEntries = 1000;
    static constexpr std::uint64_t positionsPerCompaction = 1024;
    static constexpr int removalsPerPass = 16;

    bool passOnce()
    {
        if (m_isSuperseded.exchange(false)) {
            restart();
        }
        if (!keepRegistered() || !readLive() || !readTable()) {
            return false;
        }
        reconcile();
        return takeOverDead() && adopt() && handOverMisplaced() && compact();
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
        m_owners.restart(self);
        m_lease.reset();
        m_keptFrom = state::LogPosition(1);
        m_removedTo = state::LogPosition(1);
        m_isTableStale = true;
        m_events.write(logging::events::ownerSuperseded,
                       {{"incarnation", old.value()}, {"next", self.incarnation.value()}});
    }

    bool keepRegistered()
    {
        const bool isMarked = m_leavingSince.has_value() || !m_isResigning;
        if (m_lease && isMarked) {
            const auto kept = m_service.keepLease(*m_lease);
            if (std::holds_alternative<keyvalue::LeaseId>(kept)) {
                return true;
            }
            if (std::holds_alternative<keyvalue::PlatformUnavailable>(kept)) {
                return false;
            }
            m_lease.reset();
            m_events.write(logging::events::leaseLapsed, {{"incarnation", m_owners.self().incarnation.value()}});
            // An idle owner would not notice that its log was sealed.
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

    bool readLive()
    {
        const auto listed = m_service.list(entriesPrefix, "", maxEntries);
        const auto *keys = std::get_if<std::vector<keyvalue::KeyValue>>(&listed);
        if (keys == nullptr) {
            return false;
        }
        m_live.clear();
        for (const keyvalue::KeyValue &key : *keys) {
            if (const auto entry = state::decodeEntry(key.value)) {
                m_live.push_back(*entry);
            }
        }
        return true;
    }

    /** The entries that may get partitions. */
    std::vector<state::EntryInfo> targets() const
    {
        std::vector<state::EntryInfo> entries = m_live;
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
            return !targets().empty() && writeTable(state::initialTable(targets()));
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
        // A handover whose answer was lost may still be on its way: only a later version rules it out.
        return !m_isHandoverInDoubt || writeTable(*table);
    }

    void setTable(const state::PartitionTable &table)
    {
        m_table = table;
        m_owners.install(table);
    }

    /** @return whether the table was written; another pass reads it again when not */
    bool writeTable(const state::PartitionTable &table)
    {
        const auto written = m_service.write(tableKey, state::encodeTable(table), m_tableVersion, std::nullopt);
        const auto *version = std::get_if<keyvalue::KeyVersion>(&written);
        if (version == nullptr) {
            m_isTableStale = true;
            m_isWriteLost = std::holds_alternative<keyvalue::PlatformUnavailable>(written);
            return false;
        }
        m_tableVersion = *version;
        m_isTableStale = false;
        m_isHandoverInDoubt = false;
        setTable(table);
        return true;
    }

    /** Lets go of programs that were handed over. */
    void reconcile()
    {
        m_programs.removeTrees([this](const base::ProgramId &root) {
            return !m_owners.owns(state::partitionForRoot(root));
        });
        m_owners.block(toBlock());
    }

    /** Whether every other entry has had the time to see that this one is leaving, and gives nothing back to it. */
    bool isLeavingKnown() const
    {
        return m_leavingSince && SteadyClock::now() - *m_leavingSince > m_leaseTime / 2;
    }

    /** A leaving entry starts nothing new, so that what runs comes to its end. */
    Partitions toBlock() const
    {
        if (!isLeavingKnown()) {
            return {};
        }
        const auto owned = state::ownedPartitions(m_table, m_owners.self().incarnation);
        return {owned.begin(), owned.end()};
    }

    bool isLive(const base::ProcessId &incarnation) const
    {
        return std::any_of(m_live.begin(), m_live.end(), [&](const state::EntryInfo &entry) {
            return entry.incarnation == incarnation;
        });
    }

    /** Whether a silent incarnation is to be taken over, and by this entry. */
    bool isTakenOverHere(const state::EntryInfo &entry) const
    {
        const bool isReplaced = std::any_of(m_live.begin(), m_live.end(), [&](const state::EntryInfo &live) {
            return live.name == entry.name;
        });
        if (!isReplaced && SteadyClock::now() < m_graceEnd) {
            return false;
        }
        const auto candidates = targets();
        const state::EntryInfo *chosen =
            state::rendezvousOwner(state::partitionForRoot(base::ProgramId(entry.incarnation.value())), candidates);
        return chosen != nullptr && chosen->incarnation == m_owners.self().incarnation;
    }

    bool isDeadHere(const state::EntryInfo &entry) const
    {
        return !isLive(entry.incarnation) && !state::ownedPartitions(m_table, entry.incarnation).empty()
            && isTakenOverHere(entry);
    }

    bool takeOverDead()
    {
        if (std::any_of(m_table.entries.begin(), m_table.entries.end(), [this](const auto &entry) {
                return isDeadHere(entry.second);
            })) {
            // One that resigned gave its partitions away before it left the list: the table must be the later one.
            m_isTableStale = true;
            if (!readTable()) {
                return false;
            }
        }
        for (const auto &[incarnation, entry] : std::map(m_table.entries)) {
            if (!isDeadHere(entry)) {
                continue;
            }
            if (const auto error = m_reader.seal(incarnation, m_owners.self().incarnation)) {
                m_events.write(logging::events::takeoverFailed,
                               {{"incarnation", incarnation.value()}, {"reason", error->reason}});
                return false;
            }
            state::PartitionTable changed = m_table;
            state::reassignPartitions(changed, incarnation, targets());
            if (!writeTable(changed)) {
                return true;
            }
            m_events.write(logging::events::entryTakenOver, {{"incarnation", incarnation.value()}});
        }
        return true;
    }

    /** The partitions whose programs this entry must read first, by the logs to be read. */
    std::map<Sources, Partitions> toAdopt() const
    {
        std::map<Sources, Partitions> groups;
        for (const base::PartitionId partition : state::ownedPartitions(m_table, m_owners.self().incarnation)) {
            const Sources &sources = m_table.partitions[partition.value()].pendingLogs;
            if (!sources.empty()) {
                groups[sources].insert(partition);
            }
        }
        return groups;
    }

    bool adopt()
    {
        const auto groups = toAdopt();
        std::map<base::PartitionId, Sources> adopted;
        for (const auto &[sources, partitions] : groups) {
            if (!adoptGroup(sources, notYetAdopted(partitions))) {
                return false;
            }
            for (const base::PartitionId partition : partitions) {
                adopted[partition] = sources;
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

    /** Those of an earlier pass are served already: the table does not say so yet. */
    Partitions notYetAdopted(Partitions partitions) const
    {
        std::erase_if(partitions, [this](base::PartitionId partition) {
            return m_owners.isAdopted(partition);
        });
        return partitions;
    }

    bool adoptGroup(const Sources &sources, const Partitions &partitions)
    {
        if (partitions.empty()) {
            return true;
        }
        Trees trees;
        bool isAnySealed = false;
        for (const base::ProcessId &source : sources) {
            const auto content = m_reader.read(source);
            if (const auto *error = std::get_if<state::LogError>(&content)) {
                m_events.write(logging::events::takeoverFailed,
                               {{"incarnation", source.value()}, {"reason", error->reason}});
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
            // An owner that was to hand over and went on instead has spent since: only an open log is settled.
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

    /** The new owner's log must hold the programs before it serves them: the old logs go. */
    bool storeAdopted(Trees &trees, const Partitions &partitions)
    {
        StoreWait wait(trees.size());
        for (auto &[root, tree] : trees) {
            core::finishReplay(tree);
            m_log.appendRequired(core::makeSnapshot(tree), wait.handler());
        }
        if (!wait.allStored(storeLimit)) {
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
            // The sealing stops whoever wakes late; one that resigned has left its log open.
            if (!isLive(incarnation) && !m_reader.seal(incarnation, m_owners.self().incarnation)) {
                m_reader.remove(incarnation);
            }
        }
    }

    bool handOverMisplaced()
    {
        const auto candidates = targets();
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
            handOverIdle(misplaced);
        }
        if (m_isResigning && (candidates.empty() || state::ownedPartitions(m_table, self).empty())) {
            m_isResigned = m_log.flush(m_leaseTime);
        }
        return true;
    }

    void handOverIdle(std::map<base::PartitionId, state::EntryInfo> &misplaced)
    {
        Partitions blocked;
        for (const auto &[partition, target] : misplaced) {
            blocked.insert(partition);
        }
        m_owners.block(blocked);
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
            m_owners.block(toBlock());
            return;
        }
        state::PartitionTable changed = m_table;
        state::handOver(changed, m_owners.self().incarnation, misplaced, withState);
        if (!writeTable(changed)) {
            // The write may take effect late: what was to be handed over is not served before that is ruled out.
            m_isHandoverInDoubt = m_isWriteLost;
            if (!m_isHandoverInDoubt) {
                m_owners.block(toBlock());
            }
            return;
        }
        reconcile();
        m_events.write(logging::events::partitionsHandedOver, {{"partitions", misplaced.size()}});
    }

    /** Writes the programs anew behind the log's end and removes what lies before, a little at a time. */
    bool compact()
    {
        const state::LogPosition next = m_log.position();
        if (next.value() < m_keptFrom.value() + positionsPerCompaction || m_isHandoverInDoubt
            || state::isLogPending(m_table, m_owners.self().incarnation)) {
            return removeOld();
        }
        m_programs.visit([this](const base::ProgramId &, const core::ProgramTree &tree) {
            m_log.appendDeferred(core::makeSnapshot(tree), [](const service::StoreResult &) {});
        });
        if (m_log.flush(storeLimit)) {
            m_keptFrom = next;
        }
        return removeOld();
    }

    bool removeOld()
    {
        const base::ProcessId self = m_owners.self().incarnation;
        for (int i = 0; i < removalsPerPass && m_removedTo < m_keptFrom; ++i) {
            if (std::holds_alternative<keyvalue::PlatformUnavailable>(
                    m_service.remove(state::logKey(self, m_removedTo)))) {
                return false;
            }
            m_removedTo = state::LogPosition(m_removedTo.value() + 1);
        }
        return true;
    }

    /** Waits for a number of appends. */
    class StoreWait
    {
    public:
        explicit StoreWait(std::size_t count)
            : m_state(std::make_shared<State>())
        {
            m_state->left = count;
        }

        service::StoreHandler handler()
        {
            return [state = m_state](const service::StoreResult &result) {
                const std::lock_guard lock(state->mutex);
                --state->left;
                state->isRefused = state->isRefused || std::holds_alternative<service::NotStored>(result);
                state->changed.notify_all();
            };
        }

        bool allStored(base::Milliseconds limit)
        {
            std::unique_lock lock(m_state->mutex);
            return m_state->changed.wait_for(lock, limit, [this] {
                return m_state->left == 0;
            }) && !m_state->isRefused;
        }

    private:
        struct State
        {
            std::mutex mutex;
            std::condition_variable changed;
            std::size_t left = 0;
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
    /** When the other entries could first see that this one is stopping. */
    std::optional<SteadyClock::time_point> m_leavingSince;
    std::vector<state::EntryInfo> m_live;
    state::PartitionTable m_table;
    keyvalue::KeyVersion m_tableVersion;
    /** Positions of the own log before this one are not needed. */
    state::LogPosition m_keptFrom{1};
    state::LogPosition m_removedTo{1};
    bool m_isTableStale = true;
    bool m_isWriteLost = false;
    bool m_isHandoverInDoubt = false;
    SteadyClock::time_point m_graceEnd;
    std::atomic<bool> m_isSuperseded{false};
    std::atomic<bool> m_isResigning{false};
    std::atomic<bool> m_isResigned{false};
};

}
