#include "turns/turnstore.h"

#include "turns/turnmessages.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <numeric>

namespace briarhinge::turns
{

namespace
{

/** Size of the turns in one state page or one part of a chain in bytes; small enough to let other frames through between the pages. */
constexpr std::size_t pageBytes = std::size_t{512} * 1024;
/** Journal size in bytes below which a snapshot isn't worth the write load. */
constexpr std::size_t minSnapshotBytes = std::size_t{32} * 1024 * 1024;
/** Input of a turn from which it counts as large. */
constexpr std::size_t largeTurnBytes = std::size_t{64} * 1024;
/** Part of the memory that only smaller turns may use: one in this many bytes. */
constexpr std::size_t smallTurnPart = 2;
/** Memory beyond the limit for turns that have begun within it, as a part of it: one in this many bytes. */
constexpr std::size_t begunTurnPart = 8;
/**
 * Memory beyond the limit for what other stores have sent, as a part of it: one in this many bytes. Stores that have
 * accepted different turns have more together than each of them.
 */
constexpr std::size_t copiedTurnPart = 4;
/** Most attempts of a program in one record of the journal, which can't be larger than a frame. */
constexpr std::size_t maxRecordEntries = 256;
/** Memory of an attempt and of a program in a snapshot, besides their ids. */
constexpr std::size_t budgetEntryBytes = 64;
/** Interval of the store's running time at which expired records are removed while the journal is replayed. */
constexpr std::chrono::seconds replayExpiryInterval{5};
/** Ratio of journal size to live data beyond which a snapshot is written. */
constexpr std::size_t snapshotSizeRatio = 3;

/** @return the time from @p from to @p to for a record of the wire format; zero if @p from is the later one */
std::uint64_t millisecondsBetween(TurnStore::Time from, TurnStore::Time to)
{
    const auto time = std::chrono::duration_cast<base::Milliseconds>(to - from).count();
    return time > 0 ? static_cast<std::uint64_t>(time) : 0;
}

/** @return a time of the wire format, cut to one that can be added to any point in time */
base::Milliseconds boundedTime(std::uint64_t milliseconds)
{
    constexpr auto maxTime = static_cast<std::uint64_t>((maxRetention + storeRetention(base::Milliseconds(0))).count());
    return base::Milliseconds(static_cast<base::Milliseconds::rep>(std::min(milliseconds, maxTime)));
}

/** Writes the lifetime of a record of the wire format, as of the time @p now. */
template <class Record>
void setLifetime(Record &record, const Lifetime &lifetime, TurnStore::Time now)
{
    record.age_ms = millisecondsBetween(lifetime.lastUse, now);
    record.left_ms = millisecondsBetween(now, lifetime.expiry);
}

/**
 * @param ageMs the age of a record of the wire format
 * @param leftMs the time until it expires, 0 if its writer knew none
 * @param now the time as of which both were written
 * @return the lifetime; without an expiry, the retention alone decides
 */
Lifetime lifetimeOf(std::uint64_t ageMs, std::uint64_t leftMs, TurnStore::Time now)
{
    return {now - boundedTime(ageMs), leftMs > 0 ? now + boundedTime(leftMs) : TurnStore::Time::min()};
}

std::unique_ptr<wire::ProgramBudgetT> budgetRecord(const base::ProgramId &program, const BudgetEntries &entries)
{
    auto record = std::make_unique<wire::ProgramBudgetT>();
    record->program = program.value();
    for (const BudgetEntry &entry : entries) {
        record->entries.push_back(std::make_unique<wire::BudgetEntryT>(toWire(entry)));
    }
    return record;
}

std::size_t budgetBytes(const base::ProgramId &program, const BudgetEntries &entries)
{
    return std::accumulate(entries.begin(), entries.end(), program.value().size() + budgetEntryBytes,
                           [](std::size_t bytes, const BudgetEntry &entry) {
                               return bytes + entry.attempt.value().size() + budgetEntryBytes;
                           });
}

std::unique_ptr<wire::TurnRecordT> turnRecord(const TurnTree::StoredTurn &stored, TurnStore::Time now)
{
    auto record = std::make_unique<wire::TurnRecordT>(toWire(stored.turn));
    setLifetime(*record, stored.lifetime, now);
    return record;
}

}

TurnStore::TurnStore(DiskId disk, Journal &journal, base::Milliseconds retention, std::size_t maxBytes)
    : m_disk(std::move(disk))
    , m_journal(journal)
    , m_maxBytes(maxBytes)
    , m_budgets(retention)
    , m_turns(retention, 0)
{
}

void TurnStore::replay(std::span<const std::uint8_t> record, Time now)
{
    if (record.size() < wire::lengthPrefixBytes) {
        return;
    }
    // The frame is read in place, which requires the alignment of an allocated buffer.
    m_replayBuffer.assign(record.begin() + wire::lengthPrefixBytes, record.end());
    const wire::Frame *frame = wire::viewTrustedFrame(m_replayBuffer);
    const wire::StoreState *state = frame == nullptr ? nullptr : frame->message_as_StoreState();
    if (state == nullptr) {
        return;
    }
    m_startedAt = now;
    m_replayedUntil = std::max(m_replayedUntil, Time(base::Milliseconds(state->running_ms())));
    if (state->group() != nullptr && state->group()->size() > 0) {
        const auto group = parseStoreGroup(state->group()->string_view());
        if (group && group->epoch > m_group.epoch) {
            m_group = *group;
        }
    }
    if (state->turns() != nullptr) {
        for (const wire::TurnRecord *turn : *state->turns()) {
            const Lifetime lifetime = lifetimeOf(turn->age_ms(), turn->left_ms(), m_replayedUntil);
            m_turns.add(fromWire(*turn), lifetime.lastUse, lifetime.expiry);
        }
    }
    if (state->budgets() != nullptr) {
        for (const wire::ProgramBudget *budget : *state->budgets()) {
            replayBudget(*budget);
        }
    }
    if (state->retention_ms() > 0) {
        m_turns.extend(boundedTime(state->retention_ms()));
        m_budgets.extend(boundedTime(state->retention_ms()));
    }
    // What has expired is not kept until the end of the journal, which is several times as large as the memory for turns.
    if (m_replayedUntil - m_replayExpiredAt > replayExpiryInterval) {
        m_replayExpiredAt = m_replayedUntil;
        m_turns.expire(m_replayedUntil);
        m_budgets.expire(m_replayedUntil);
    }
}

void TurnStore::replayBudget(const wire::ProgramBudget &budget)
{
    if (budget.entries() == nullptr) {
        return;
    }
    const base::ProgramId program(copyString(budget.program()));
    const Lifetime lifetime = lifetimeOf(budget.age_ms(), budget.left_ms(), m_replayedUntil);
    for (const wire::BudgetEntry *entry : *budget.entries()) {
        m_budgets.apply(program, fromWire(*entry), lifetime.lastUse, lifetime.expiry);
    }
}

TurnStore::Time TurnStore::runningTime(Time now) const
{
    return m_replayedUntil + (now - m_startedAt);
}

template <class Request>
Lifetime TurnStore::newLifetime(const Request &request, Time running) const
{
    Lifetime lifetime{running, running + boundedTime(request.retention_ms)};
    lifetime.extend(m_turns.retention());
    return lifetime;
}

bool TurnStore::adopt(const StoreGroup &group)
{
    if (group.epoch <= m_group.epoch) {
        return false;
    }
    m_group = group;
    wire::StoreStateT state;
    state.group = toJson(group);
    journalState(std::move(state));
    return true;
}

const StoreGroup &TurnStore::group() const
{
    return m_group;
}

const DiskId &TurnStore::disk() const
{
    return m_disk;
}

template <class Request, class Answer>
bool TurnStore::checkEpoch(const Request &request, Answer &answer)
{
    answer.disk = m_disk.value();
    if (!request.group.empty()) {
        if (const auto group = parseStoreGroup(request.group)) {
            adopt(*group);
        }
    }
    const GroupEpoch requestEpoch(request.epoch);
    if (requestEpoch == m_group.epoch) {
        answer.status = wire::StoreStatus::Done;
        return true;
    }
    const bool isOlder = requestEpoch < m_group.epoch;
    answer.status = isOlder ? wire::StoreStatus::StaleGroup : wire::StoreStatus::GroupNeeded;
    answer.group = isOlder ? toJson(m_group) : std::string();
    return false;
}

wire::TurnBegunT TurnStore::begin(const wire::BeginTurnT &request, Time now)
{
    wire::TurnBegunT answer;
    if (!checkEpoch(request, answer)) {
        return answer;
    }
    const base::ProgramId program(request.program);
    const bool hasBudget = request.most > 0;
    const std::size_t reservation = hasBudget ? BudgetLedger::bytesOf(program, AttemptId(request.attempt)) : 0;
    if ((request.input_bytes > 0 || hasBudget) && !hasRoom(request.input_bytes + reservation)) {
        answer.status = wire::StoreStatus::Full;
        return answer;
    }
    if (hasBudget) {
        const BudgetEntry entry{AttemptId(request.attempt), base::Tokens(request.most), false, base::Tokens(0)};
        const Time running = runningTime(now);
        const Lifetime lifetime = newLifetime(request, running);
        if (m_budgets.apply(program, entry, lifetime.lastUse, lifetime.expiry)) {
            wire::StoreStateT state;
            state.budgets.push_back(budgetRecord(program, {entry}));
            setLifetime(*state.budgets.back(), lifetime, running);
            journalState(std::move(state), running);
        }
        for (const BudgetEntry &known : m_budgets.entries(program)) {
            answer.entries.push_back(std::make_unique<wire::BudgetEntryT>(toWire(known)));
        }
    }
    if (request.previous.empty()) {
        return answer;
    }
    const TurnId previous(request.previous);
    answer.known = m_turns.contains(previous);
    if (answer.known && request.want_chain) {
        KnownChain known = m_turns.chain(previous, pageBytes);
        answer.chain = std::move(known.prompt);
        answer.missing = known.missingTurn.value();
        answer.missing_known = known.isMissingTurnKnown;
        answer.engine = std::move(known.engine);
    }
    return answer;
}

wire::TurnEndedT TurnStore::end(const wire::EndTurnT &request, Time now)
{
    wire::TurnEndedT answer;
    if (!checkEpoch(request, answer)) {
        return answer;
    }
    const Time running = runningTime(now);
    const Lifetime lifetime = newLifetime(request, running);
    wire::StoreStateT state;
    if (!request.attempt.empty()) {
        const base::ProgramId program(request.program);
        const BudgetEntry entry{AttemptId(request.attempt), base::Tokens(0), true, base::Tokens(request.spent)};
        if (m_budgets.apply(program, entry, lifetime.lastUse, lifetime.expiry)) {
            state.budgets.push_back(budgetRecord(program, {entry}));
            setLifetime(*state.budgets.back(), lifetime, running);
        }
    }
    if (request.turn) {
        Turn turn = fromWire(*request.turn);
        const std::size_t allowed = m_maxBytes + m_maxBytes / begunTurnPart;
        if (!m_turns.contains(turn.id) && storedBytes() + turn.bytes() > allowed) {
            answer.status = wire::StoreStatus::Full;
        } else if (m_turns.add(std::move(turn), lifetime.lastUse, lifetime.expiry)) {
            state.turns.push_back(std::make_unique<wire::TurnRecordT>(*request.turn));
            setLifetime(*state.turns.back(), lifetime, running);
        }
    }
    if (!state.budgets.empty() || !state.turns.empty()) {
        journalState(std::move(state), running);
    }
    return answer;
}

wire::StatePageT TurnStore::fetch(const wire::FetchStateT &request, Time now)
{
    wire::StatePageT page;
    if (!checkEpoch(request, page)) {
        return page;
    }
    const Time running = runningTime(now);
    if (!request.turns.empty()) {
        appendTurns(request.turns, page, running);
        return page;
    }
    const auto &budgets = m_budgets.budgets();
    std::size_t bytes = 0;
    auto budget = budgets.upper_bound(base::ProgramId(request.after_program));
    if (request.after_program.empty()) {
        budget = budgets.begin();
    }
    for (; request.after.empty() && budget != budgets.end(); ++budget) {
        // The next page can't begin after an empty id.
        if (bytes >= pageBytes && !page.budgets.back()->program.empty()) {
            page.more = true;
            return page;
        }
        bytes += budgetBytes(budget->first, budget->second.entries);
        page.budgets.push_back(budgetRecord(budget->first, budget->second.entries));
        setLifetime(*page.budgets.back(), budget->second.lifetime, running);
    }
    const TurnTree::StoredTurn *stored = m_turns.next(TurnId(request.after));
    for (; stored != nullptr && bytes < pageBytes; stored = m_turns.next(stored->turn.id)) {
        bytes += stored->turn.bytes();
        page.turns.push_back(turnRecord(*stored, running));
    }
    page.more = stored != nullptr;
    return page;
}

void TurnStore::appendTurns(const std::vector<std::string> &ids, wire::StatePageT &page, Time running) const
{
    std::size_t bytes = 0;
    for (const std::string &id : ids) {
        if (bytes >= pageBytes) {
            page.more = true;
            return;
        }
        if (const TurnTree::StoredTurn *stored = m_turns.find(TurnId(id))) {
            bytes += stored->turn.bytes();
            page.turns.push_back(turnRecord(*stored, running));
        }
    }
}

wire::TurnEndedT TurnStore::storeRecords(const wire::StoreStateT &request, Time now)
{
    wire::TurnEndedT answer;
    if (checkEpoch(request, answer) && !mergeRecords(request.turns, request.budgets, now)) {
        answer.status = wire::StoreStatus::Full;
    }
    return answer;
}

bool TurnStore::mergePage(const wire::StatePageT &page, Time now)
{
    return mergeRecords(page.turns, page.budgets, now);
}

bool TurnStore::mergeRecords(const std::vector<std::unique_ptr<wire::TurnRecordT>> &turns,
                             const std::vector<std::unique_ptr<wire::ProgramBudgetT>> &budgets, Time now)
{
    const Time running = runningTime(now);
    wire::StoreStateT state;
    for (const auto &turn : turns) {
        const Lifetime lifetime = lifetimeOf(turn->age_ms, turn->left_ms, running);
        if (m_turns.add(fromWire(*turn), lifetime.lastUse, lifetime.expiry)) {
            state.turns.push_back(std::make_unique<wire::TurnRecordT>(*turn));
        }
    }
    for (const auto &budget : budgets) {
        const base::ProgramId program(budget->program);
        const Lifetime lifetime = lifetimeOf(budget->age_ms, budget->left_ms, running);
        BudgetEntries changed;
        for (const auto &entry : budget->entries) {
            if (m_budgets.apply(program, fromWire(*entry), lifetime.lastUse, lifetime.expiry)) {
                changed.push_back(fromWire(*entry));
            }
        }
        if (!changed.empty()) {
            state.budgets.push_back(budgetRecord(program, changed));
            setLifetime(*state.budgets.back(), lifetime, running);
        }
    }
    if (!state.turns.empty() || !state.budgets.empty()) {
        journalState(std::move(state), running);
    }
    return storedBytes() <= m_maxBytes + m_maxBytes / copiedTurnPart;
}

void TurnStore::setRetention(base::Milliseconds retention)
{
    const bool isLonger = retention > m_turns.retention();
    m_turns.setRetention(retention);
    m_budgets.setRetention(retention);
    if (isLonger && storedBytes() > 0) {
        // A later configuration may ask for less before the store starts again.
        wire::StoreStateT state;
        state.retention_ms = static_cast<std::uint64_t>(retention.count());
        journalState(std::move(state));
    }
}

void TurnStore::compact(Time now)
{
    const Time running = runningTime(now);
    m_turns.expire(running);
    m_budgets.expire(running);
    const std::size_t stored = storedBytes();
    const std::size_t maxJournalBytes =
        std::min(minSnapshotBytes + snapshotSizeRatio * stored, stored + m_maxBytes / smallTurnPart);
    if (!m_snapshot && (m_isRewriteNeeded || m_journal.bytes() > maxJournalBytes)) {
        m_snapshot.emplace();
        m_journal.beginSnapshot();
        wire::StoreStateT head;
        head.group = toJson(m_group);
        journalState(std::move(head), running);
    }
}

void TurnStore::appendSnapshotPart(Time now)
{
    if (!m_snapshot || m_snapshot->isAppended) {
        return;
    }
    const Time running = runningTime(now);
    const auto &budgets = m_budgets.budgets();
    auto &[lastProgram, lastTurn, isAppended] = *m_snapshot;
    std::size_t bytes = 0;
    for (auto budget = lastProgram ? budgets.upper_bound(*lastProgram) : budgets.begin(); budget != budgets.end();
         ++budget) {
        if (bytes >= pageBytes) {
            return;
        }
        lastProgram = budget->first;
        bytes += budgetBytes(budget->first, budget->second.entries);
        appendBudgetParts(budget->first, budget->second, running);
    }
    while (const TurnTree::StoredTurn *stored = m_turns.next(lastTurn)) {
        if (bytes >= pageBytes) {
            return;
        }
        lastTurn = stored->turn.id;
        bytes += stored->turn.bytes();
        wire::StoreStateT state;
        state.turns.push_back(turnRecord(*stored, running));
        journalState(std::move(state), running);
    }
    isAppended = true;
    m_journal.endSnapshot();
}

void TurnStore::appendBudgetParts(const base::ProgramId &program, const BudgetLedger::Budget &budget, Time running)
{
    for (std::size_t first = 0; first < budget.entries.size(); first += maxRecordEntries) {
        const auto begin = budget.entries.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(maxRecordEntries, budget.entries.size() - first);
        wire::StoreStateT state;
        state.budgets.push_back(budgetRecord(program, {begin, begin + static_cast<std::ptrdiff_t>(count)}));
        setLifetime(*state.budgets.back(), budget.lifetime, running);
        journalState(std::move(state), running);
    }
}

void TurnStore::markWriteFailed()
{
    m_isRewriteNeeded = true;
    m_snapshot.reset();
    m_journal.cancelSnapshot();
}

void TurnStore::markSnapshotWritten()
{
    m_snapshot.reset();
    m_isRewriteNeeded = false;
}

std::size_t TurnStore::storedBytes() const
{
    return m_turns.bytes() + m_budgets.bytes();
}

bool TurnStore::hasRoom(std::size_t newBytes) const
{
    const std::size_t reserved = newBytes < largeTurnBytes ? 0 : m_maxBytes / smallTurnPart;
    return storedBytes() + newBytes <= m_maxBytes - reserved;
}

bool TurnStore::isRewriteNeeded() const
{
    return m_isRewriteNeeded;
}

bool TurnStore::isProgramUnderWay(const base::ProgramId &program) const
{
    return m_budgets.isUnderWay(program);
}

std::size_t TurnStore::turnCount() const
{
    return m_turns.size();
}

std::vector<TurnId> TurnStore::missingTurns() const
{
    return hasRoom(0) ? m_turns.missingTurns() : std::vector<TurnId>();
}

void TurnStore::journalState(wire::StoreStateT state, Time running)
{
    state.running_ms = millisecondsBetween({}, running);
    wire::FrameT frame;
    frame.message.Set(std::move(state));
    m_journal.append(wire::encodeFrame(frame));
}

}
