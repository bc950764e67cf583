#pragma once

#include "base/units.h"
#include "frames_generated.h"
#include "turns/budgetledger.h"
#include "turns/journal.h"
#include "turns/storegroup.h"
#include "turns/turntree.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarhinge::turns
{

/** How far a snapshot has come: the budgets are appended first, then the turns, in the order of their ids. */
struct SnapshotProgress
{
    std::optional<base::ProgramId> lastProgram;
    TurnId lastTurn;
    /** Whether everything was appended; it may not be written yet. */
    bool isAppended = false;
};

/**
 * State of one turn store and its request handling. Uses no clock and no sockets; not thread-safe.
 *
 * Requests with an older epoch are rejected, so that a group is sealed at this store as soon as the store knows the
 * next one. Responses must not be sent before the journal records they depend on are durable.
 */
class TurnStore
{
public:
    /** Point in time on any monotonic clock. */
    using Time = Lifetime::Time;

    /**
     * @param disk incarnation of this store's disk
     * @param journal persists the state
     * @param retention how long turns and budgets are retained
     * @param maxBytes limit for the memory of all turns and budgets in bytes, beyond which further turns are not begun
     */
    TurnStore(DiskId disk, Journal &journal, base::Milliseconds retention, std::size_t maxBytes);

    /**
     * Applies a record that was read from the journal. Ignores records that can't be decoded.
     *
     * @param record bytes of the record
     * @param now the current time
     */
    void replay(std::span<const std::uint8_t> record, Time now);

    /** Adopts and journals @p group if its epoch is newer. @return whether the group was adopted */
    bool adopt(const StoreGroup &group);

    /** @return the latest group that this store has adopted */
    const StoreGroup &group() const;

    /** @return the incarnation of this store's disk */
    const DiskId &disk() const;

    /**
     * Reserves the budget of a turn and looks up the chain that it continues. A turn that could not be stored is not
     * begun.
     *
     * @param request the request
     * @param now the current time
     * @return the response, to be sent once the journal is written
     */
    wire::TurnBegunT begin(const wire::BeginTurnT &request, Time now);

    /**
     * Settles the budget of an attempt and stores its turn, if there is one and there is room.
     *
     * @param request the request
     * @param now the current time
     * @return the response, to be sent once the journal is written
     */
    wire::TurnEndedT end(const wire::EndTurnT &request, Time now);

    /**
     * Reads one page of the state: the budgets in the order of programs, then the turns in the order of their ids.
     *
     * @param request the request; names the last turn, or else the last program, of the previous page, or the turns to read
     * @param now the current time
     * @return the response, to be sent once the journal is written
     */
    wire::StatePageT fetch(const wire::FetchStateT &request, Time now);

    /**
     * Stores records that another turn store has pushed. The answer is that the store is full if they need more memory than
     * there is.
     *
     * @param request the records
     * @param now the current time
     * @return the response, to be sent once the journal is written
     */
    wire::TurnEndedT storeRecords(const wire::StoreStateT &request, Time now);

    /**
     * Merges and journals records that were fetched from another turn store.
     *
     * @param page the records
     * @param now the current time
     * @return whether there is memory for them
     */
    bool mergePage(const wire::StatePageT &page, Time now);

    /**
     * Sets how long turns and budgets are retained after their last use. Those that are stored are prolonged, which is
     * journaled, and never expire sooner than was promised before.
     *
     * @param retention the time
     */
    void setRetention(base::Milliseconds retention);

    /**
     * Removes expired state and begins a snapshot if most of the journal is obsolete or a write failed.
     *
     * @param now the current time
     */
    void compact(Time now);

    /**
     * Appends the next part of a snapshot in progress to the journal, so that never more than a part is in memory twice.
     *
     * @param now the current time
     */
    void appendSnapshotPart(Time now);

    /**
     * Records that a journal write failed: the state in memory may not be durable, so a snapshot is needed. One in progress
     * may lack records and is given up.
     */
    void markWriteFailed();

    /** Records that a snapshot of the whole state is durable. */
    void markSnapshotWritten();

    /** @return whether a write failed and no request may be acknowledged until a snapshot is durable */
    bool isRewriteNeeded() const;

    /** @return whether @p program has an attempt that runs, or that has generated tokens */
    bool isProgramUnderWay(const base::ProgramId &program) const;

    /** @return the number of stored turns */
    std::size_t turnCount() const;

    /** @return turns that stored ones continue and that this store lacks; none while it has no room for them */
    std::vector<TurnId> missingTurns() const;

private:
    template <class Request, class Answer>
    bool checkEpoch(const Request &request, Answer &answer);
    /**
     * Time on the store's own clock, which goes on where it was at the end of the journal. The time for which the store did
     * not run is not counted: nobody knows it for sure, and what is kept too long does no harm.
     */
    Time runningTime(Time now) const;
    /** @return the lifetime of what a request adds: the longer of the retentions that its sender and this store know */
    template <class Request>
    Lifetime newLifetime(const Request &request, Time running) const;
    bool mergeRecords(const std::vector<std::unique_ptr<wire::TurnRecordT>> &turns,
                      const std::vector<std::unique_ptr<wire::ProgramBudgetT>> &budgets, Time now);
    /** Appends those of the turns @p ids that are stored and fit into a page. */
    void appendTurns(const std::vector<std::string> &ids, wire::StatePageT &page, Time running) const;
    void replayBudget(const wire::ProgramBudget &budget);
    std::size_t storedBytes() const;
    bool hasRoom(std::size_t newBytes) const;
    void journalState(wire::StoreStateT state, Time running = {});
    void appendBudgetParts(const base::ProgramId &program, const BudgetLedger::Budget &budget, Time running);

    const DiskId m_disk;
    Journal &m_journal;
    StoreGroup m_group;
    const std::size_t m_maxBytes;
    BudgetLedger m_budgets;
    TurnTree m_turns;
    /** Buffer for the record being replayed; a member to reuse its allocation. */
    std::vector<std::uint8_t> m_replayBuffer;
    /** Running time at the end of the journal, and when the store went on from there. */
    Time m_replayedUntil;
    Time m_startedAt;
    /** Running time at which expired records were last removed while the journal was replayed. */
    Time m_replayExpiredAt;
    std::optional<SnapshotProgress> m_snapshot;
    bool m_isRewriteNeeded = false;
};

}
