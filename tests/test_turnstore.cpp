#include "logging/eventlog.h"
#include "temporaryfolder.h"
#include "turns/statetransfer.h"
#include "turns/storepeers.h"
#include "turns/turnserver.h"
#include "turns/turnstore.h"

#include <fstream>
#include <future>
#include <optional>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

std::vector<keyvalue::KeyValue> noDeployment()
{
    return {};
}

std::optional<wire::MessageUnion> noOtherRequests(const wire::MessageUnion &)
{
    return std::nullopt;
}

const TurnStore::Time start{};
constexpr base::Milliseconds retention{60'000};
constexpr std::size_t maxBytes = std::size_t{1024} * 1024;
constexpr std::size_t ampleBytes = std::size_t{256} * 1024 * 1024;

StoreGroup makeGroup(std::uint64_t epoch)
{
    const StoreMember self{StoreName("s"), base::ZoneName("z"), {"127.0.0.1", 7000}, DiskId("d")};
    return {GroupEpoch(epoch), {self}, {}};
}

wire::BeginTurnT begin(std::uint64_t epoch, const std::string &attempt, const std::string &previous = {})
{
    wire::BeginTurnT request;
    request.epoch = epoch;
    request.program = "p";
    request.attempt = attempt;
    request.most = 30;
    request.previous = previous;
    request.want_chain = true;
    return request;
}

wire::EndTurnT end(std::uint64_t epoch, const std::string &id, const std::string &parent)
{
    wire::EndTurnT request;
    request.epoch = epoch;
    request.program = "p";
    request.attempt = id;
    request.spent = 20;
    request.turn = std::make_unique<wire::TurnRecordT>();
    request.turn->id = id;
    request.turn->parent = parent;
    request.turn->input = "in-" + id;
    request.turn->output = "out-" + id + "\n";
    return request;
}

/** A turn store that has replayed its journal, as after a process start. */
struct StartedStore
{
    explicit StartedStore(const std::string &folder, std::size_t bytes = ampleBytes, TurnStore::Time startedAt = start,
                          base::Milliseconds kept = retention)
        : journal(folder)
        , store(DiskId("d"), journal, retention, bytes)
    {
        store.setRetention(kept);
        const auto opened = journal.open([this, startedAt](std::span<const std::uint8_t> record) {
            store.replay(record, startedAt);
        });
        CHECK(std::holds_alternative<std::monostate>(opened));
    }

    void sync()
    {
        CHECK(std::holds_alternative<std::monostate>(journal.write(journal.takeBatch())));
    }

    Journal journal;
    TurnStore store;
};

/** Removes expired state and writes the snapshot that this starts. */
void compactWholly(StartedStore &started, TurnStore::Time now)
{
    started.store.compact(now);
    bool isWhole = false;
    while (!isWhole) {
        started.store.appendSnapshotPart(now);
        const JournalBatch batch = started.journal.takeBatch();
        CHECK(std::holds_alternative<std::monostate>(started.journal.write(batch)));
        isWhole = batch.endsSnapshot;
    }
    started.store.markSnapshotWritten();
}

std::vector<std::filesystem::path> segments(const std::string &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

}

TEST_GROUP(TurnStore)
{
    tests::TemporaryFolder folder;
};

TEST(TurnStore, stateIsRestoredAfterARestart)
{
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        CHECK(first.store.begin(begin(3, "a"), start).status == wire::StoreStatus::Done);
        CHECK(first.store.end(end(3, "a", ""), start).status == wire::StoreStatus::Done);
        first.sync();
    }
    StartedStore second(folder.path());
    LONGS_EQUAL(3, second.store.group().epoch.value());
    const auto answer = second.store.begin(begin(3, "b", "a"), start);
    CHECK(answer.known);
    STRCMP_EQUAL("in-aout-a\n", answer.chain.c_str());
    LONGS_EQUAL(2, answer.entries.size());
    LONGS_EQUAL(20, answer.entries[0]->spent);
}

// Guards against callers whose turns fill the memory of the turn stores.
TEST(TurnStore, turnsWithoutRoomAreNotBegunAndNoStoredTurnIsGivenUpForThem)
{
    StartedStore started(folder.path(), maxBytes);
    started.store.adopt(makeGroup(3));
    auto large = end(3, "large", "");
    large.turn->input = std::string(maxBytes / 4 * 3 - 4096, 'x');
    CHECK(started.store.end(large, start).status == wire::StoreStatus::Done);
    auto next = begin(3, "b");
    next.input_bytes = 100'000;
    const auto refused = started.store.begin(next, start);
    CHECK(refused.status == wire::StoreStatus::Full);
    CHECK(refused.entries.empty());
    next.input_bytes = 1000;
    CHECK(started.store.begin(next, start).status == wire::StoreStatus::Done);
    CHECK(started.store.begin(begin(3, "c", "large"), start).known);
    started.store.compact(start + 2 * retention);
    next.input_bytes = 100'000;
    CHECK(started.store.begin(next, start + 2 * retention).status == wire::StoreStatus::Done);
}

// Guards against a chain that does not fit into a frame, which would end the connection of the entry that asks for it.
TEST(TurnStore, aLongChainIsReadInParts)
{
    StartedStore started(folder.path());
    started.store.adopt(makeGroup(3));
    constexpr int turns = 12;
    std::string expected;
    std::string parent;
    for (int i = 0; i < turns; ++i) {
        const std::string id = "long-" + std::to_string(i);
        auto ended = end(3, id, parent);
        ended.turn->input = std::string(maxBytes, static_cast<char>('a' + i));
        CHECK(started.store.end(ended, start).status == wire::StoreStatus::Done);
        expected += ended.turn->input + ended.turn->output;
        parent = id;
    }
    std::string chain;
    int parts = 0;
    while (!parent.empty()) {
        const auto answer = started.store.begin(begin(3, "x" + std::to_string(parts), parent), start);
        CHECK(answer.known);
        CHECK(answer.chain.size() < 2 * maxBytes);
        chain.insert(0, answer.chain);
        CHECK_EQUAL(!answer.missing.empty(), answer.missing_known);
        parent = answer.missing;
        ++parts;
    }
    LONGS_EQUAL(turns, parts);
    CHECK(chain == expected);
}

// Guards against a store that refuses all turns after a start, since its journal holds expired ones too.
TEST(TurnStore, expiredTurnsOfTheJournalKeepNoTurnsOut)
{
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        for (int i = 0; i < 8; ++i) {
            auto ended = end(3, "old-" + std::to_string(i), "");
            ended.turn->input = std::string(maxBytes / 2, 'x');
            first.store.end(ended, start);
        }
        first.store.end(end(3, "late", ""), start + 2 * retention);
        first.sync();
    }
    StartedStore second(folder.path(), maxBytes);
    LONGS_EQUAL(1, second.store.turnCount());
    auto next = begin(3, "b");
    next.input_bytes = 1000;
    CHECK(second.store.begin(next, start).status == wire::StoreStatus::Done);
    CHECK(second.store.end(end(3, "b", ""), start).status == wire::StoreStatus::Done);
    next.input_bytes = 100'000;
    CHECK(second.store.begin(next, start).status == wire::StoreStatus::Done);
}

// Guards against a store that gives its whole room away again after each start, until its process is ended for its memory.
TEST(TurnStore, whatTheJournalRestoresTakesRoom)
{
    constexpr std::size_t inputBytes = 20'000;
    int stored = 0;
    for (int starts = 0; starts < 4; ++starts) {
        StartedStore started(folder.path(), maxBytes);
        started.store.adopt(makeGroup(3));
        auto next = begin(3, "0");
        next.input_bytes = inputBytes;
        while (started.store.begin(next, start).status == wire::StoreStatus::Done) {
            auto ended = end(3, std::to_string(stored++), "");
            ended.turn->input = std::string(inputBytes, 'x');
            CHECK(started.store.end(ended, start).status == wire::StoreStatus::Done);
        }
        started.sync();
        LONGS_EQUAL(stored, started.store.turnCount());
        CHECK(started.store.turnCount() * inputBytes <= maxBytes);
    }
    CHECK(stored > 0);
}

// Guards against restored turns that count as new: a store that is started again and again would never forget any.
TEST(TurnStore, aRestoredTurnExpiresByItsAge)
{
    const auto later = start + retention / 6 * 5;
    const auto restart = start + std::chrono::hours(5);
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        first.store.end(end(3, "old", ""), start);
        first.store.end(end(3, "parent", ""), start);
        first.store.end(end(3, "child", "parent"), later);
        first.sync();
    }
    StartedStore second(folder.path(), ampleBytes, restart);
    second.store.compact(restart + retention / 6 - base::Milliseconds(1));
    LONGS_EQUAL(3, second.store.turnCount());
    second.store.compact(restart + retention / 6 + base::Milliseconds(1));
    CHECK_FALSE(second.store.begin(begin(3, "x", "old"), restart).known);
    CHECK(second.store.begin(begin(3, "x", "parent"), restart).known);
    CHECK(second.store.begin(begin(3, "x", "child"), restart).known);
}

// Guards against turns that live longer with each store that copies them.
TEST(TurnStore, aCopiedTurnExpiresByItsAge)
{
    const auto copiedAt = start + retention / 2;
    StartedStore from(folder.path());
    from.store.adopt(makeGroup(3));
    from.store.end(end(3, "a", ""), start);
    wire::FetchStateT fetch;
    fetch.epoch = 3;
    const tests::TemporaryFolder other;
    {
        StartedStore into(other.path());
        into.store.adopt(makeGroup(3));
        into.store.mergePage(from.store.fetch(fetch, copiedAt), copiedAt);
        into.sync();
        into.store.compact(start + retention);
        LONGS_EQUAL(1, into.store.turnCount());
    }
    StartedStore again(other.path(), ampleBytes, copiedAt);
    again.store.compact(start + retention);
    LONGS_EQUAL(1, again.store.turnCount());
    again.store.compact(start + retention + base::Milliseconds(1));
    LONGS_EQUAL(0, again.store.turnCount());
}

// Guards against kept turns that are forgotten early (LOST) by any series of pauses, starts, snapshots and continued turns.
TEST(TurnStore, aTurnIsKeptForItsWholeRetentionOverAnyStarts)
{
    const bool holds = rc::check([](const std::vector<std::uint8_t> &steps) {
        const tests::TemporaryFolder disk;
        auto started = std::make_unique<StartedStore>(disk.path());
        started->store.adopt(makeGroup(3));
        auto now = start;
        std::vector<TurnStore::Time> endedAt;
        for (const std::uint8_t step : steps) {
            const auto pause = base::Milliseconds(step * 200);
            if (step % 4 == 0) {
                started->sync();
                started = nullptr;
                // The store is down for the pause.
                now += pause;
                for (auto &time : endedAt) {
                    time += pause;
                }
                started = std::make_unique<StartedStore>(disk.path(), ampleBytes, now);
            } else if (step % 4 == 1) {
                now += pause;
            } else if (step % 4 == 2) {
                started->store.markWriteFailed();
                compactWholly(*started, now);
            } else {
                const std::string parent = endedAt.empty() ? "" : std::to_string(step % endedAt.size());
                started->store.end(end(3, std::to_string(endedAt.size()), parent), now);
                endedAt.push_back(now);
            }
            for (std::size_t i = 0; i < endedAt.size(); ++i) {
                const bool isKept = now - endedAt[i] <= retention;
                RC_ASSERT(!isKept || started->store.begin(begin(3, "x", std::to_string(i)), now).known);
            }
        }
    });
    CHECK(holds);
}

// Guards against turns that are answered 404 before the retention of their route has passed (LOST), at a start as well.
TEST(TurnStore, turnsAndBudgetsAreKeptForTheRetentionThatIsSet)
{
    const auto late = start + retention + base::Milliseconds(1);
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        first.store.end(end(3, "a", ""), start);
        first.store.setRetention(2 * retention);
        first.store.compact(late);
        LONGS_EQUAL(1, first.store.turnCount());
        CHECK(first.store.isProgramUnderWay(base::ProgramId("p")));
        // Tells the time that has passed since the turn.
        first.store.end(end(3, "b", ""), late);
        first.sync();
    }
    StartedStore second(folder.path(), ampleBytes, late, 2 * retention);
    second.store.compact(late);
    LONGS_EQUAL(2, second.store.turnCount());
    second.store.compact(late + retention);
    LONGS_EQUAL(1, second.store.turnCount());
    second.store.compact(late + 2 * retention + base::Milliseconds(1));
    LONGS_EQUAL(0, second.store.turnCount());
    CHECK_FALSE(second.store.isProgramUnderWay(base::ProgramId("p")));
}

// Guards against a route that is removed for a moment: its turns were answered 404 (LOST) and its programs' budgets could be
// spent once more (BUDGET), by a store that goes on and by one that starts meanwhile.
TEST(TurnStore, aRetentionThatWasInForceHoldsUnderAShorterOne)
{
    const auto late = start + 5 * retention;
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        first.store.end(end(3, "a", ""), start);
        first.store.setRetention(5 * retention);
        first.store.end(end(3, "b", ""), start);
        first.store.setRetention(retention);
        first.store.end(end(3, "c", ""), start);
        first.store.compact(start + 2 * retention);
        LONGS_EQUAL(2, first.store.turnCount());
        LONGS_EQUAL(3, first.store.begin(begin(3, "x"), start).entries.size() - 1);
        first.sync();
    }
    StartedStore second(folder.path());
    second.store.compact(late);
    LONGS_EQUAL(2, second.store.turnCount());
    CHECK(second.store.isProgramUnderWay(base::ProgramId("p")));
    second.store.compact(late + base::Milliseconds(1));
    LONGS_EQUAL(0, second.store.turnCount());
    CHECK_FALSE(second.store.isProgramUnderWay(base::ProgramId("p")));
}

// Guards against a turn that is forgotten (LOST) since its store did not see the configuration that its entry went by.
TEST(TurnStore, theRetentionThatAnEntryPromisedHolds)
{
    const auto late = start + 5 * retention;
    const auto copiedAt = start + retention;
    auto begun = begin(3, "a");
    begun.retention_ms = 5 * retention.count();
    auto ended = end(3, "a", "");
    ended.retention_ms = 5 * retention.count();
    StartedStore from(folder.path());
    from.store.adopt(makeGroup(3));
    CHECK(from.store.begin(begun, start).status == wire::StoreStatus::Done);
    CHECK(from.store.end(ended, start).status == wire::StoreStatus::Done);
    wire::FetchStateT fetch;
    fetch.epoch = 3;
    const tests::TemporaryFolder other;
    {
        StartedStore into(other.path());
        into.store.adopt(makeGroup(3));
        into.store.mergePage(from.store.fetch(fetch, copiedAt), copiedAt);
        into.sync();
    }
    StartedStore again(other.path(), ampleBytes, copiedAt);
    for (TurnStore *store : {&from.store, &again.store}) {
        store->compact(late);
        LONGS_EQUAL(1, store->turnCount());
        CHECK(store->isProgramUnderWay(base::ProgramId("p")));
        store->compact(late + base::Milliseconds(1));
        LONGS_EQUAL(0, store->turnCount());
        CHECK_FALSE(store->isProgramUnderWay(base::ProgramId("p")));
    }
}

// Guards against turns that are forgotten before what any configuration promised (LOST), in any order of configurations, starts,
// snapshots and pauses.
TEST(TurnStore, everyPromisedRetentionHoldsOverAnyConfigurationsAndStarts)
{
    const bool holds = rc::check([](const std::vector<std::uint8_t> &steps) {
        const tests::TemporaryFolder disk;
        auto current = retention;
        auto now = start;
        auto started = std::make_unique<StartedStore>(disk.path());
        started->store.adopt(makeGroup(3));
        // When each turn ended, and until when it was promised to be kept.
        std::vector<std::pair<TurnStore::Time, TurnStore::Time>> turns;
        for (const std::uint8_t step : steps) {
            const auto pause = base::Milliseconds(step * 200);
            if (step % 5 == 0) {
                started->sync();
                started = nullptr;
                started = std::make_unique<StartedStore>(disk.path(), ampleBytes, now, current);
            } else if (step % 5 == 1) {
                now += pause;
                started->store.compact(now);
            } else if (step % 5 == 2) {
                started->store.markWriteFailed();
                compactWholly(*started, now);
            } else if (step % 5 == 3) {
                current = retention / 4 * (1 + step % 7);
                started->store.setRetention(current);
                for (auto &[endedAt, keptUntil] : turns) {
                    keptUntil = now > keptUntil ? keptUntil : std::max(keptUntil, endedAt + current);
                }
            } else {
                started->store.end(end(3, std::to_string(turns.size()), ""), now);
                turns.emplace_back(now, now + current);
            }
            for (std::size_t i = 0; i < turns.size(); ++i) {
                const bool isKept = now <= turns[i].second;
                RC_ASSERT(!isKept || started->store.begin(begin(3, "x", std::to_string(i)), now).known);
            }
        }
    });
    CHECK(holds);
}

// Guards against budgets and ids that nobody counts, which take a store over its memory while it has room for turns.
TEST(TurnStore, budgetsAndIdsTakeRoom)
{
    constexpr std::size_t idBytes = 14'000;
    StartedStore started(folder.path(), maxBytes);
    started.store.adopt(makeGroup(3));
    std::size_t begun = 0;
    const auto request = [&begun] {
        auto next = begin(3, "a");
        next.program = std::string(idBytes, 'p') + std::to_string(begun);
        return next;
    };
    while (started.store.begin(request(), start).status == wire::StoreStatus::Done) {
        ++begun;
        CHECK(begun * idBytes <= maxBytes);
    }
    CHECK(begun > 0);
    // What needs no room is read all the same.
    auto read = begin(3, "", "unknown");
    read.most = 0;
    CHECK(started.store.begin(read, start).status == wire::StoreStatus::Done);
    started.store.compact(start + 2 * retention);
    CHECK(started.store.begin(request(), start + 2 * retention).status == wire::StoreStatus::Done);
    std::size_t ended = 0;
    while (
        started.store.end(end(3, std::string(idBytes, 't') + std::to_string(ended), ""), start + 2 * retention).status
        == wire::StoreStatus::Done) {
        ++ended;
        CHECK(ended * idBytes <= 2 * maxBytes);
    }
    CHECK(ended > 0);
}

// Guards against turns that run and are broken off since their answers, unlike their inputs, no longer fit.
TEST(TurnStore, aTurnThatHasBegunIsStoredAlthoughItsAnswerIsBeyondTheLimit)
{
    StartedStore started(folder.path(), maxBytes);
    started.store.adopt(makeGroup(3));
    int stored = 0;
    auto next = begin(3, "0");
    next.input_bytes = 20'000;
    while (started.store.begin(next, start).status == wire::StoreStatus::Done) {
        auto ended = end(3, std::to_string(stored), "");
        ended.turn->input = std::string(next.input_bytes, 'x');
        ended.turn->output = std::string(10'000, 'x');
        CHECK(started.store.end(ended, start).status == wire::StoreStatus::Done);
        next = begin(3, std::to_string(++stored));
        next.input_bytes = 20'000;
    }
    CHECK(started.store.begin(next, start).status == wire::StoreStatus::Full);
    LONGS_EQUAL(stored, started.store.turnCount());
}

TEST(TurnStore, aTurnThatNoLongerFitsIsSettledButNotAcknowledged)
{
    StartedStore started(folder.path(), maxBytes);
    started.store.adopt(makeGroup(3));
    CHECK(started.store.begin(begin(3, "a"), start).status == wire::StoreStatus::Done);
    auto ended = end(3, "a", "");
    ended.turn->output = std::string(2 * maxBytes, 'x');
    CHECK(started.store.end(ended, start).status == wire::StoreStatus::Full);
    LONGS_EQUAL(0, started.store.turnCount());
    const auto answer = started.store.begin(begin(3, "b"), start);
    CHECK(std::any_of(answer.entries.begin(), answer.entries.end(), [](const auto &entry) {
        return entry->settled;
    }));
}

TEST(TurnStore, aTornRecordEndsItsSegmentAndNothingElse)
{
    {
        StartedStore first(folder.path());
        first.store.adopt(makeGroup(3));
        first.store.end(end(3, "a", ""), start);
        first.sync();
        first.store.end(end(3, "b", "a"), start);
        first.sync();
    }
    const auto file = segments(folder.path()).front();
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
    {
        StartedStore second(folder.path());
        CHECK(second.store.begin(begin(3, "x", "a"), start).known);
        CHECK_FALSE(second.store.begin(begin(3, "y", "b"), start).known);
        second.store.end(end(3, "c", "a"), start);
        second.sync();
    }
    StartedStore third(folder.path());
    CHECK(third.store.begin(begin(3, "z", "c"), start).known);
}

TEST(TurnStore, bytesThatAreNoRecordsAreNotRead)
{
    std::ofstream(folder.path() + "/7.turns") << std::string(1000, 'x');
    StartedStore started(folder.path());
    LONGS_EQUAL(0, started.store.turnCount());
}

TEST(TurnStore, anOlderGroupIsRejectedAndANewerOneIsRequested)
{
    StartedStore started(folder.path());
    started.store.adopt(makeGroup(3));
    const auto stale = started.store.begin(begin(2, "a"), start);
    CHECK(stale.status == wire::StoreStatus::StaleGroup);
    CHECK(parseStoreGroup(stale.group) == makeGroup(3));
    CHECK(started.store.end(end(4, "a", ""), start).status == wire::StoreStatus::GroupNeeded);
    auto request = end(4, "a", "");
    request.group = toJson(makeGroup(4));
    CHECK(started.store.end(request, start).status == wire::StoreStatus::Done);
    LONGS_EQUAL(4, started.store.group().epoch.value());
}

TEST(TurnStore, pagesHoldEveryTurnOnceAndTheBudgets)
{
    StartedStore from(folder.path());
    from.store.adopt(makeGroup(3));
    constexpr int turns = 40;
    for (int i = 0; i < turns; ++i) {
        auto request = end(3, std::to_string(i), "");
        request.turn->input.assign(50'000, 'x');
        from.store.end(request, start);
    }
    const tests::TemporaryFolder other;
    StartedStore into(other.path());
    wire::FetchStateT fetch;
    fetch.epoch = 3;
    int pages = 0;
    int seen = 0;
    for (bool more = true; more; ++pages) {
        const auto page = from.store.fetch(fetch, start);
        seen += static_cast<int>(page.turns.size());
        into.store.mergePage(page, start);
        more = page.more;
        fetch.after = page.turns.back()->id;
    }
    CHECK(pages > 1);
    LONGS_EQUAL(turns, seen);
    LONGS_EQUAL(turns, into.store.turnCount());
    into.store.adopt(makeGroup(3));
    LONGS_EQUAL(turns + 1, into.store.begin(begin(3, "new"), start).entries.size());
}

// Guards against budgets that don't fit into one frame, so that a store with a new disk never gets the state (RECOVER).
TEST(TurnStore, budgetsAreCopiedInPages)
{
    constexpr int programs = 300;
    const std::string longId(10'000, 'p');
    StartedStore from(folder.path());
    from.store.adopt(makeGroup(3));
    from.store.end(end(3, "kept", ""), start);
    for (int i = 0; i < programs; ++i) {
        auto request = begin(3, "a");
        request.program = longId + std::to_string(i);
        from.store.begin(request, start);
    }
    const tests::TemporaryFolder other;
    StartedStore into(other.path());
    wire::FetchStateT fetch;
    fetch.epoch = 3;
    int pages = 0;
    for (bool more = true; more; ++pages) {
        const auto page = from.store.fetch(fetch, start);
        std::size_t bytes = 0;
        for (const auto &budget : page.budgets) {
            bytes += budget->program.size();
        }
        CHECK(bytes < maxBytes);
        CHECK(into.store.mergePage(page, start));
        more = page.more;
        fetch.after = page.turns.empty() ? "" : page.turns.back()->id;
        fetch.after_program = page.budgets.empty() ? "" : page.budgets.back()->program;
    }
    CHECK(pages > 1);
    into.store.adopt(makeGroup(3));
    CHECK(into.store.begin(begin(3, "new", "kept"), start).known);
    for (int i = 0; i < programs; ++i) {
        auto request = begin(3, "b");
        request.program = longId + std::to_string(i);
        LONGS_EQUAL(2, into.store.begin(request, start).entries.size());
    }
}

// Guards against copies from other stores that take a store over its memory.
TEST(TurnStore, aCopyWithoutRoomIsNotComplete)
{
    StartedStore from(folder.path());
    from.store.adopt(makeGroup(3));
    for (int i = 0; i < 8; ++i) {
        auto ended = end(3, std::to_string(i), "");
        ended.turn->input = std::string(maxBytes / 2, 'x');
        from.store.end(ended, start);
    }
    const tests::TemporaryFolder other;
    StartedStore into(other.path(), maxBytes);
    into.store.adopt(makeGroup(3));
    wire::FetchStateT fetch;
    fetch.epoch = 3;
    bool hasRoom = true;
    for (bool more = true; more && hasRoom;) {
        const auto page = from.store.fetch(fetch, start);
        hasRoom = into.store.mergePage(page, start);
        more = page.more;
        fetch.after = page.turns.back()->id;
    }
    CHECK_FALSE(hasRoom);
    CHECK(into.store.turnCount() < 8);
    wire::StoreStateT pushed;
    pushed.epoch = 3;
    auto page = from.store.fetch(fetch, start);
    pushed.turns = std::move(page.turns);
    CHECK(into.store.storeRecords(pushed, start).status == wire::StoreStatus::Full);
}

// Guards against a snapshot that can't be read back, so that all kept turns are gone after a start (LOST): its budgets were one
// record, which grew beyond what is taken for intact.
TEST(TurnStore, aSnapshotOfManyBudgetsIsReadBack)
{
    constexpr int programs = 2000;
    const std::string longId(10'000, 'p');
    {
        StartedStore started(folder.path());
        started.store.adopt(makeGroup(3));
        started.store.end(end(3, "kept", ""), start);
        for (int i = 0; i < programs; ++i) {
            auto request = begin(3, "a");
            request.program = longId + std::to_string(i);
            CHECK(started.store.begin(request, start).status == wire::StoreStatus::Done);
            started.sync();
        }
        started.store.markWriteFailed();
        compactWholly(started, start);
    }
    LONGS_EQUAL(1, segments(folder.path()).size());
    StartedStore again(folder.path());
    CHECK(again.store.begin(begin(3, "b", "kept"), start).known);
    auto request = begin(3, "b");
    request.program = longId + std::to_string(programs - 1);
    LONGS_EQUAL(2, again.store.begin(request, start).entries.size());
}

// Guards against a snapshot that takes as much memory again as all that is stored.
TEST(TurnStore, aSnapshotIsWrittenInPartsAmongChanges)
{
    constexpr int turns = 100;
    constexpr std::size_t inputBytes = 100'000;
    {
        StartedStore started(folder.path());
        started.store.adopt(makeGroup(3));
        const auto add = [&started](const std::string &id, const std::string &parent) {
            auto request = end(3, id, parent);
            request.turn->input.assign(inputBytes, 'x');
            started.store.end(request, start);
        };
        for (int i = 0; i < turns; ++i) {
            add("m" + std::to_string(i), "");
        }
        started.sync();
        started.store.markWriteFailed();
        started.store.compact(start);
        bool isWhole = false;
        for (int part = 0; !isWhole; ++part) {
            // Before and behind what has been written already.
            add("a" + std::to_string(part), "m1");
            add("z" + std::to_string(part), "");
            started.store.appendSnapshotPart(start);
            const JournalBatch batch = started.journal.takeBatch();
            CHECK(batch.bytes.size() < inputBytes * turns / 4);
            CHECK(std::holds_alternative<std::monostate>(started.journal.write(batch)));
            isWhole = batch.endsSnapshot;
        }
        started.store.markSnapshotWritten();
        CHECK(started.store.turnCount() > turns + 2);
        LONGS_EQUAL(1, segments(folder.path()).size());
        StartedStore again(folder.path());
        LONGS_EQUAL(started.store.turnCount(), again.store.turnCount());
    }
}

// Guards against earlier segments that are removed although a part of the snapshot that replaces them was not written.
TEST(TurnStore, aSnapshotWithAFailedPartReplacesNothing)
{
    {
        StartedStore started(folder.path());
        started.store.adopt(makeGroup(3));
        for (int i = 0; i < 20; ++i) {
            auto request = end(3, std::to_string(i), "");
            request.turn->input.assign(100'000, 'x');
            started.store.end(request, start);
        }
        started.sync();
        started.store.markWriteFailed();
        started.store.compact(start);
        started.store.appendSnapshotPart(start);
        started.sync();
        started.store.appendSnapshotPart(start);
        // Drops a part, as if the disk had rejected it, while the next one has been appended.
        started.journal.takeBatch();
        started.store.appendSnapshotPart(start);
        started.store.appendSnapshotPart(start);
        started.store.appendSnapshotPart(start);
        started.store.markWriteFailed();
        CHECK_FALSE(started.journal.takeBatch().endsSnapshot);
        CHECK(started.store.isRewriteNeeded());
    }
    {
        StartedStore again(folder.path());
        LONGS_EQUAL(20, again.store.turnCount());
        again.store.markWriteFailed();
        compactWholly(again, start);
        CHECK_FALSE(again.store.isRewriteNeeded());
    }
    LONGS_EQUAL(1, segments(folder.path()).size());
    StartedStore again(folder.path());
    LONGS_EQUAL(20, again.store.turnCount());
}

TEST(TurnStore, afterAFailedWriteTheWholeStateIsWrittenAgain)
{
    {
        StartedStore started(folder.path());
        started.store.adopt(makeGroup(3));
        started.store.end(end(3, "a", ""), start);
        // Drops the batch, as if the disk had rejected the write.
        started.journal.takeBatch();
        started.store.markWriteFailed();
        CHECK(started.store.isRewriteNeeded());
        compactWholly(started, start);
        CHECK_FALSE(started.store.isRewriteNeeded());
    }
    LONGS_EQUAL(1, segments(folder.path()).size());
    StartedStore again(folder.path());
    CHECK(again.store.begin(begin(3, "b", "a"), start).known);
}

TEST_GROUP(TurnServer)
{
    tests::TemporaryFolder folder;
};

TEST(TurnServer, concurrentRequestsOfManyEntriesAreWrittenInBatches)
{
    StartedStore started(folder.path());
    started.store.adopt(makeGroup(3));
    boost::asio::io_context context;
    logging::EventLog log("test");
    TurnServer server(context, started.store, started.journal, log, noDeployment, noOtherRequests);
    const auto port = server.listen({"127.0.0.1", 0});
    const wire::Address address{"127.0.0.1", std::get<std::uint16_t>(port)};
    constexpr int entries = 20;
    constexpr int turns = 10;
    std::vector<std::unique_ptr<StorePeers>> peers;
    int answered = 0;
    for (int entry = 0; entry < entries; ++entry) {
        peers.push_back(std::make_unique<StorePeers>(context));
        for (int turn = 0; turn < turns; ++turn) {
            wire::MessageUnion message;
            message.Set(begin(3, std::to_string(entry) + "-" + std::to_string(turn)));
            peers.back()->sendRequest(address, std::move(message), std::chrono::seconds(10),
                                      [&](const wire::ChannelReply &reply) {
                                          CHECK(std::holds_alternative<wire::FrameT>(reply));
                                          ++answered;
                                      });
        }
    }
    while (answered < entries * turns) {
        context.run_one();
    }
    CHECK(started.journal.batchCount() < entries * turns / 4);
    server.stop();
}

// Guards against a store with a new disk that never gets the state, since the budgets don't fit into one frame (RECOVER).
TEST(TurnServer, budgetsThatNeedManyFramesAreCopied)
{
    constexpr int programs = 1000;
    const std::string longId(10'000, 'p');
    StartedStore from(folder.path());
    boost::asio::io_context context;
    logging::EventLog log("test");
    TurnServer server(context, from.store, from.journal, log, noDeployment, noOtherRequests);
    const auto port = server.listen({"127.0.0.1", 0});
    StoreGroup group = makeGroup(3);
    group.current.front().address = {"127.0.0.1", std::get<std::uint16_t>(port)};
    from.store.adopt(group);
    from.store.end(end(3, "kept", ""), TurnStore::Time::clock::now());
    for (int i = 0; i < programs; ++i) {
        auto request = begin(3, "a");
        request.program = longId + std::to_string(i);
        from.store.begin(request, TurnStore::Time::clock::now());
    }
    const tests::TemporaryFolder other;
    Journal journal(other.path());
    TurnStore into(DiskId("new"), journal, retention, ampleBytes);
    into.adopt(group);
    StorePeers peers(context);
    std::optional<bool> isComplete;
    std::make_shared<StateTransfer>(peers, into, QuorumRule{0}, log)->fetch([&isComplete](bool whole) {
        isComplete = whole;
    });
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!isComplete && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    CHECK(isComplete.value_or(false));
    CHECK(into.begin(begin(3, "new", "kept"), TurnStore::Time::clock::now()).known);
    for (int i = 0; i < programs; ++i) {
        auto request = begin(3, "b");
        request.program = longId + std::to_string(i);
        LONGS_EQUAL(2, into.begin(request, TurnStore::Time::clock::now()).entries.size());
    }
    server.stop();
}

TEST(TurnServer, aConnectionThatIsNotAcceptedFailsSoon)
{
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    // Nothing accepts, so the kernel drops SYN packets once the backlog is full, as a VM without power would.
    tcp::acceptor full(context);
    full.open(tcp::v4());
    full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<std::unique_ptr<tcp::socket>> queued;
    for (int i = 0; i < 8; ++i) {
        queued.push_back(std::make_unique<tcp::socket>(context));
        queued.back()->async_connect(full.local_endpoint(), [](const boost::system::error_code &) {});
    }
    context.run_for(std::chrono::milliseconds(50));
    StorePeers peers(context);
    bool hasFailed = false;
    wire::MessageUnion message;
    message.Set(begin(3, "a"));
    peers.sendRequest({"127.0.0.1", full.local_endpoint().port()}, std::move(message), std::chrono::seconds(10),
                      [&hasFailed](const wire::ChannelReply &reply) {
                          hasFailed = std::holds_alternative<wire::ChannelError>(reply);
                      });
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
    while (!hasFailed && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(10));
    }
    CHECK(hasFailed);
}

TEST(TurnServer, callbacksRunOnlyOnceTheRecordsAreDurable)
{
    StartedStore started(folder.path());
    boost::asio::io_context context;
    logging::EventLog log("test");
    TurnServer server(context, started.store, started.journal, log, noDeployment, noOtherRequests);
    std::promise<void> diskIsFree;
    server.postToDiskThread([&diskIsFree] {
        diskIsFree.get_future().wait();
    });
    wire::StatePageT copied;
    copied.turns.push_back(std::make_unique<wire::TurnRecordT>());
    copied.turns.back()->id = "t";
    started.store.mergePage(copied, start);
    std::optional<bool> written;
    server.whenWritten([&written](bool isDurable) {
        written = isDurable;
    });
    context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(written.has_value());
    diskIsFree.set_value();
    while (!written) {
        context.run_one();
    }
    CHECK(*written);
    StartedStore again(folder.path());
    LONGS_EQUAL(1, again.store.turnCount());
    server.stop();
}
