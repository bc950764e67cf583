#include "memorykeyvalue.h"
#include "state/keyvaluelog.h"
#include "state/logreader.h"

#include <atomic>
#include <future>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using tests::MemoryKeyValue;

namespace
{

using Log = state::KeyValueLog<MemoryKeyValue>;

constexpr base::Milliseconds longFlush{3'600'000};
constexpr base::Milliseconds shortRetry{1};
constexpr base::Milliseconds patience{20'000};
const base::ProcessId writer{"entry-0.1"};

core::Record ended(const std::string &program)
{
    return core::ProgramEnded{base::ProgramId(program)};
}

/** @return the programs that the records of a log refer to, in log order */
std::vector<std::string> programsIn(MemoryKeyValue &service, const base::ProcessId &incarnation)
{
    const auto content = state::LogReader(service).read(incarnation);
    std::vector<std::string> programs;
    for (const auto &record : std::get<state::LogContent>(content).records) {
        programs.push_back(std::get<core::ProgramEnded>(record).program.value());
    }
    return programs;
}

/** An append whose result the test waits for. */
class Append
{
public:
    service::StoreHandler handler()
    {
        return [result = m_result](const service::StoreResult &told) {
            result->set_value(told);
        };
    }

    bool isAnswered()
    {
        return m_result->get_future().wait_for(patience) == std::future_status::ready;
    }

    bool isStored()
    {
        return std::holds_alternative<service::Stored>(m_result->get_future().get());
    }

private:
    std::shared_ptr<std::promise<service::StoreResult>> m_result =
        std::make_shared<std::promise<service::StoreResult>>();
};

void runHere(const std::function<void()> &work)
{
    work();
}

}

TEST_GROUP(KeyValueLog)
{
    MemoryKeyValue service;
    std::atomic<int> superseded{0};
    Log log{service, writer, {longFlush, shortRetry, 4096}, runHere, [this] {
                ++superseded;
            }};

    bool appendNow(const std::string &program)
    {
        Append append;
        log.appendNow({ended(program)}, append.handler());
        return append.isStored();
    }

    std::vector<std::string> stored()
    {
        return programsIn(service, writer);
    }
};

TEST(KeyValueLog, deferredRecordsLeaveWithTheNextUrgentOneInOrder)
{
    Append first;
    log.appendLater({ended("a")}, first.handler());
    CHECK(appendNow("b"));
    CHECK(first.isStored());
    CHECK_EQUAL(1, service.writes());
    CHECK((stored() == std::vector<std::string>{"a", "b"}));
}

TEST(KeyValueLog, anAnswerLostAfterTheWriteCountsAsStoredOnce)
{
    service.loseAnswers(1);
    CHECK(appendNow("a"));
    CHECK(appendNow("b"));
    CHECK((stored() == std::vector<std::string>{"a", "b"}));
}

TEST(KeyValueLog, aSealedLogStoresNothingMore)
{
    CHECK(appendNow("a"));
    state::LogReader reader(service);
    CHECK(!reader.seal(writer, base::ProcessId("entry-1.1")));
    CHECK(!appendNow("b"));
    CHECK(!appendNow("c"));
    CHECK_EQUAL(1, superseded.load());
    CHECK((stored() == std::vector<std::string>{"a"}));
}

TEST(KeyValueLog, aRemovedLogStaysSealedForAWriterThatWakes)
{
    CHECK(appendNow("a"));
    CHECK(appendNow("b"));
    state::LogReader reader(service);
    CHECK(!reader.seal(writer, base::ProcessId("entry-1.1")));
    CHECK(!reader.remove(writer));
    CHECK(stored().empty());
    CHECK(!appendNow("c"));
    CHECK(stored().empty());
}

TEST(KeyValueLog, anOutageRefusesWhatMustBeStoredAndKeepsTheRest)
{
    service.setOutage(true);
    Append deferred;
    log.appendLater({ended("a")}, deferred.handler());
    CHECK(!appendNow("b"));
    CHECK(log.isDown());
    CHECK(!appendNow("c"));
    service.setOutage(false);
    CHECK(deferred.isStored());
    CHECK(appendNow("d"));
    CHECK((stored() == std::vector<std::string>{"a", "d"}));
}

TEST(KeyValueLog, aKnownOutageRefusesWithoutWaitingForTheService)
{
    service.setOutage(true);
    CHECK(!appendNow("a"));
    service.holdWrites(true);
    Append refused;
    log.appendNow({ended("b")}, refused.handler());
    CHECK(refused.isAnswered());
    service.holdWrites(false);
    service.setOutage(false);
    CHECK(log.flush(patience));
}

TEST(KeyValueLog, aNewIncarnationBeginsALogOfItsOwn)
{
    CHECK(appendNow("a"));
    log.restart(base::ProcessId("entry-0.2"));
    CHECK(appendNow("b"));
    CHECK((stored() == std::vector<std::string>{"a"}));
    CHECK_EQUAL(1, service.snapshot().count("log/entry-0.2/000000000001"));
}

TEST(KeyValueLog, recordsAreSplitOverValuesAndAnOversizedOneIsRefused)
{
    const std::string big(3000, 'x');
    Append both;
    log.appendNow({ended(big + "1"), ended(big + "2")}, both.handler());
    CHECK(both.isStored());
    CHECK_EQUAL(2, service.writes());
    CHECK(!appendNow(std::string(5000, 'y')));
    CHECK(appendNow("z"));
    CHECK_EQUAL(3U, stored().size());
}

TEST(KeyValueLog, whatIsSaidToBeStoredIsInTheLogInOrderUnderFaults)
{
    CHECK(rc::check("stored records are in the log once, in order", [] {
        MemoryKeyValue faulty;
        std::vector<std::string> confirmed;
        std::vector<std::string> appended;
        std::mutex mutex;
        {
            Log tested(faulty, writer, {longFlush, shortRetry, 4096}, runHere, [] {});
            const int appends = *rc::gen::inRange(1, 30);
            for (int i = 0; i < appends; ++i) {
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    faulty.setOutage(true);
                    break;
                case 1:
                    faulty.loseAnswers(2);
                    break;
                default:
                    faulty.setOutage(false);
                }
                const std::string name = std::to_string(i);
                appended.push_back(name);
                const auto note = [&mutex, &confirmed, name](const service::StoreResult &result) {
                    const std::lock_guard lock(mutex);
                    if (std::holds_alternative<service::Stored>(result)) {
                        confirmed.push_back(name);
                    }
                };
                if (*rc::gen::arbitrary<bool>()) {
                    tested.appendNow({ended(name)}, note);
                } else {
                    tested.appendLater({ended(name)}, note);
                }
            }
            faulty.setOutage(false);
            RC_ASSERT(tested.flush(patience));
        }
        const auto inLog = programsIn(faulty, writer);
        // A refused record may be in the log; a confirmed one must be. The log has the order of the appends.
        auto at = inLog.begin();
        for (const std::string &name : confirmed) {
            at = std::find(at, inLog.end(), name);
            RC_ASSERT(at != inLog.end());
        }
        auto order = appended.begin();
        for (const std::string &name : inLog) {
            order = std::find(order, appended.end(), name);
            RC_ASSERT(order != appended.end());
            ++order;
        }
    }));
}
