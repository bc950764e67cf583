#pragma once

#include "base/units.h"
#include "frames_generated.h"
#include "turns/budgetledger.h"
#include "turns/journal.h"
#include "turns/storegroup.h"
#include "turns/turntree.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace briarhinge::turns
{

/**
 * What one turn store keeps, and how it answers. Free of clocks and sockets; not synchronised.
 *
 * A request of an older group is refused, so that a group is sealed at this store from the moment at which it knows the
 * next one. Nothing may be answered before the journal is written.
 */
class TurnStore
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param disk names this store's stay on its disk
     * @param journal where records are made durable
     * @param retention how long turns and budgets are kept
     */
    TurnStore(DiskId disk, Journal &journal, base::Milliseconds retention);

    /** Takes in a record of the journal. @param record its bytes @param now the time */
    void replay(std::span<const std::uint8_t> record, Time now);

    /** Moves to a group, unless it is no newer than the present one. @param group the group @return whether it moved */
    bool adopt(const StoreGroup &group);

    /** @return the group that this store serves */
    const StoreGroup &group() const;

    /** @return names this store's stay on its disk */
    const DiskId &disk() const;

    /** @param request a request @param now the time @return the answer, to be sent after the journal's write */
    wire::TurnBegunT begin(const wire::BeginTurnT &request, Time now);

    /** @param request a request @param now the time @return the answer, to be sent after the journal's write */
    wire::TurnEndedT end(const wire::EndTurnT &request, Time now);

    /** @param request a request @return the answer, to be sent after the journal's write */
    wire::StatePageT fetch(const wire::FetchStateT &request);

    /** @param request records to keep @param now the time @return the answer, to be sent after the journal's write */
    wire::TurnEndedT keep(const wire::StoreStateT &request, Time now);

    /** Takes in records of another store. @param page the records @param now the time */
    void take(const wire::StatePageT &page, Time now);

    /** Forgets what is past the retention and rewrites the journal when most of it is out of date. @param now the time */
    void tidy(Time now);

    /** A write failed: what is in memory may not be on the disk, so the next tidying writes all of it. */
    void writeFailed();

    /** All that is kept has been written. */
    void snapshotWritten();

    /** @return whether nothing may be acknowledged until a rewrite has reached the disk */
    bool isRewriteNeeded() const;

    /** @return how many turns are kept */
    std::size_t turnCount() const;

private:
    template <class Request, class Answer>
    bool isCurrent(const Request &request, Answer &answer);
    void keepRecords(const std::vector<std::unique_ptr<wire::TurnRecordT>> &turns,
                     const std::vector<std::unique_ptr<wire::ProgramBudgetT>> &budgets, Time now);
    void journalState(wire::StoreStateT state);
    void writeSnapshot();

    const DiskId m_disk;
    Journal &m_journal;
    StoreGroup m_group;
    BudgetLedger m_budgets;
    TurnTree m_turns;
    /** The record that is replayed; kept for its allocation. */
    std::vector<std::uint8_t> m_record;
    bool m_isRewriteNeeded = false;
};

}
