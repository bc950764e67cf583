#include "turns/turnstore.h"

#include "turns/turnmessages.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <iterator>

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
/**
 * Part of the memory that only smaller turns may use: one in this many bytes. A snapshot of all turns for the journal takes
 * as much memory again.
 */
constexpr std::size_t smallTurnPart = 2;
/** Memory beyond the limit for turns that have begun within it, as a part of it: one in this many bytes. */
constexpr std::size_t begunTurnPart = 4;
/** Ratio of journal size to live data beyond which a snapshot is written. */
constexpr std::size_t snapshotSizeRatio = 3;

std::size_t textBytes(const Turn &turn)
{
    return turn.input.size() + turn.output.size();
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
    if (state->group() != nullptr && state->group()->size() > 0) {
        const auto group = parseStoreGroup(state->group()->string_view());
        if (group && group->epoch > m_group.epoch) {
            m_group = *group;
        }
    }
    if (state->turns() != nullptr) {
        for (const wire::TurnRecord *turn : *state->turns()) {
            m_turns.add(fromWire(*turn), now, TurnOrigin::Restored);
        }
    }
    if (state->budgets() == nullptr) {
        return;
    }
    for (const wire::ProgramBudget *budget : *state->budgets()) {
        const base::ProgramId program(copyString(budget->program()));
        if (budget->entries() == nullptr) {
            continue;
        }
        for (const wire::BudgetEntry *entry : *budget->entries()) {
            m_budgets.apply(program, fromWire(*entry), now);
        }
    }
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
    if (request.input_bytes > 0 && !hasRoom(request.input_bytes)) {
        answer.status = wire::StoreStatus::Full;
        return answer;
    }
    const base::ProgramId program(request.program);
    if (request.most > 0) {
        const BudgetEntry entry{AttemptId(request.attempt), base::Tokens(request.most), false, base::Tokens(0)};
        if (m_budgets.apply(program, entry, now)) {
            wire::StoreStateT state;
            state.budgets.push_back(budgetRecord(program, {entry}));
            journalState(std::move(state));
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
    wire::StoreStateT state;
    if (!request.attempt.empty()) {
        const base::ProgramId program(request.program);
        const BudgetEntry entry{AttemptId(request.attempt), base::Tokens(0), true, base::Tokens(request.spent)};
        if (m_budgets.apply(program, entry, now)) {
            state.budgets.push_back(budgetRecord(program, {entry}));
        }
    }
    if (request.turn) {
        Turn turn = fromWire(*request.turn);
        const std::size_t allowed = m_maxBytes + m_maxBytes / begunTurnPart;
        if (!m_turns.contains(turn.id) && m_turns.callerBytes() + textBytes(turn) > allowed) {
            answer.status = wire::StoreStatus::Full;
        } else if (m_turns.add(std::move(turn), now)) {
            state.turns.push_back(std::make_unique<wire::TurnRecordT>(*request.turn));
        }
    }
    if (!state.budgets.empty() || !state.turns.empty()) {
        journalState(std::move(state));
    }
    return answer;
}

wire::StatePageT TurnStore::fetch(const wire::FetchStateT &request)
{
    wire::StatePageT page;
    if (!checkEpoch(request, page)) {
        return page;
    }
    if (request.after.empty()) {
        for (const base::ProgramId &program : m_budgets.programs()) {
            page.budgets.push_back(budgetRecord(program, m_budgets.entries(program)));
        }
    }
    auto turns = m_turns.turns();
    std::sort(turns.begin(), turns.end(), [](const Turn *left, const Turn *right) {
        return left->id < right->id;
    });
    const TurnId after(request.after);
    auto turn = std::partition_point(turns.begin(), turns.end(), [&after](const Turn *candidate) {
        return candidate->id <= after;
    });
    for (std::size_t bytes = 0; turn != turns.end() && bytes < pageBytes; ++turn) {
        bytes += textBytes(**turn);
        page.turns.push_back(std::make_unique<wire::TurnRecordT>(toWire(**turn)));
    }
    page.more = turn != turns.end();
    return page;
}

wire::TurnEndedT TurnStore::storeRecords(const wire::StoreStateT &request, Time now)
{
    wire::TurnEndedT answer;
    if (checkEpoch(request, answer)) {
        mergeRecords(request.turns, request.budgets, now);
    }
    return answer;
}

void TurnStore::mergePage(const wire::StatePageT &page, Time now)
{
    mergeRecords(page.turns, page.budgets, now);
}

void TurnStore::mergeRecords(const std::vector<std::unique_ptr<wire::TurnRecordT>> &turns,
                             const std::vector<std::unique_ptr<wire::ProgramBudgetT>> &budgets, Time now)
{
    wire::StoreStateT state;
    for (const auto &turn : turns) {
        if (m_turns.add(fromWire(*turn), now, TurnOrigin::Restored)) {
            state.turns.push_back(std::make_unique<wire::TurnRecordT>(*turn));
        }
    }
    for (const auto &budget : budgets) {
        const base::ProgramId program(budget->program);
        BudgetEntries changed;
        for (const auto &entry : budget->entries) {
            if (m_budgets.apply(program, fromWire(*entry), now)) {
                changed.push_back(fromWire(*entry));
            }
        }
        if (!changed.empty()) {
            state.budgets.push_back(budgetRecord(program, changed));
        }
    }
    if (!state.turns.empty() || !state.budgets.empty()) {
        journalState(std::move(state));
    }
}

void TurnStore::compact(Time now)
{
    m_turns.expire(now);
    m_budgets.expire(now);
    std::size_t storedBytes = 0;
    for (const Turn *turn : m_turns.turns()) {
        storedBytes += textBytes(*turn);
    }
    // What the journal holds is in memory after a start.
    const std::size_t maxJournalBytes =
        std::min(minSnapshotBytes + snapshotSizeRatio * storedBytes, storedBytes + m_maxBytes / smallTurnPart);
    if (m_isRewriteNeeded || m_journal.bytes() > maxJournalBytes) {
        writeSnapshot();
    }
}

void TurnStore::markWriteFailed()
{
    m_isRewriteNeeded = true;
}

void TurnStore::markSnapshotWritten()
{
    m_isRewriteNeeded = false;
}

bool TurnStore::hasRoom(std::size_t textBytes) const
{
    // After a start the journal's turns are here as well, also those that have expired. They don't keep ordinary turns out.
    if (textBytes < largeTurnBytes) {
        return m_turns.callerBytes() + textBytes <= m_maxBytes;
    }
    return m_turns.bytes() + textBytes <= m_maxBytes - m_maxBytes / smallTurnPart;
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

void TurnStore::journalState(wire::StoreStateT state)
{
    wire::FrameT frame;
    frame.message.Set(std::move(state));
    m_journal.append(wire::encodeFrame(frame));
}

void TurnStore::writeSnapshot()
{
    m_journal.beginSnapshot(m_turns.bytes());
    wire::StoreStateT head;
    head.group = toJson(m_group);
    for (const base::ProgramId &program : m_budgets.programs()) {
        head.budgets.push_back(budgetRecord(program, m_budgets.entries(program)));
    }
    journalState(std::move(head));
    for (const Turn *turn : m_turns.turns()) {
        wire::StoreStateT state;
        state.turns.push_back(std::make_unique<wire::TurnRecordT>(toWire(*turn)));
        journalState(std::move(state));
    }
}

}
