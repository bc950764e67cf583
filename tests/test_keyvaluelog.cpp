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

constexpr base::Milliseconds longFlushInterval{3'600'000};
constexpr base::Milliseconds shortRetryInterval{1};
constexpr base::Milliseconds waitTimeout{20'000};
const base::ProcessId writer{"entry-0.1"};

core::Record ended(const std::string &program)
{
    return core::ProgramEnded{base::ProgramId(program)};
}

/** @return the programs that the records of a log refer to, in log order */
std::vector<std::string> loggedPrograms(MemoryKeyValue &service, const base::ProcessId &incarnation)
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
        return [result = m_result](const service::StoreResult &storeResult) {
            result->set_value(storeResult);
        };
    }

    bool isAnswered()
    {
        return m_result->get_future().wait_for(waitTimeout) == std::future_status::ready;
    }

    bool isStored()
    {
        return std::holds_alternative<service::Stored>(m_result->get_future().get());
    }

private:
    std::shared_ptr<std::promise<service::StoreResult>> m_result =
        std::make_shared<std::promise<service::StoreResult>>();
};

void runInline(const std::function<void()> &work)
{
    work();
}

}

TEST_GROUP(KeyValueLog)
{
    MemoryKeyValue service;
    std::atomic<int> superseded{0};
    Log log{service, writer, {longFlushInterval, shortRetryInterval, 4096}, runInline, [this] {
                ++superseded;
            }};

    bool appendRequired(const std::string &program)
    {
        Append append;
        log.appendRequired({ended(program)}, append.handler());
        return append.isStored();
    }

    std::vector<std::string> stored()
    {
        return loggedPrograms(service, writer);
    }
};

TEST(KeyValueLog, deferredRecordsLeaveWithTheNextUrgentOneInOrder)
{
    Append first;
    log.appendDeferred({ended("a")}, first.handler());
    CHECK(appendRequired("b"));
    CHECK(first.isStored());
    CHECK_EQUAL(1, service.writes());
    CHECK((stored() == std::vector<std::string>{"a", "b"}));
}

TEST(KeyValueLog, anAnswerLostAfterTheWriteCountsAsStoredOnce)
{
    service.loseAnswers(1);
    CHECK(appendRequired("a"));
    CHECK(appendRequired("b"));
    CHECK((stored() == std::vector<std::string>{"a", "b"}));
}

TEST(KeyValueLog, aSealedLogStoresNothingMore)
{
    CHECK(appendRequired("a"));
    state::LogReader reader(service);
    CHECK(!reader.seal(writer, base::ProcessId("entry-1.1")));
    CHECK(!appendRequired("b"));
    CHECK(!appendRequired("c"));
    CHECK_EQUAL(1, superseded.load());
    CHECK((stored() == std::vector<std::string>{"a"}));
}

TEST(KeyValueLog, aRemovedLogStaysSealedForAWriterThatWakes)
{
    CHECK(appendRequired("a"));
    CHECK(appendRequired("b"));
    state::LogReader reader(service);
    CHECK(!reader.seal(writer, base::ProcessId("entry-1.1")));
    CHECK(!reader.remove(writer));
    CHECK(stored().empty());
    CHECK(!appendRequired("c"));
    CHECK(stored().empty());
}

TEST(KeyValueLog, anOutageRefusesWhatMustBeStoredAndKeepsTheRest)
{
    service.setOutage(true);
    Append deferred;
    log.appendDeferred({ended("a")}, deferred.handler());
    CHECK(!appendRequired("b"));
    CHECK(log.isServiceUnavailable());
    CHECK(!appendRequired("c"));
    service.setOutage(false);
    CHECK(deferred.isStored());
    CHECK(appendRequired("d"));
    CHECK((stored() == std::vector<std::string>{"a", "d"}));
}

TEST(KeyValueLog, aKnownOutageRefusesWithoutWaitingForTheService)
{
    service.setOutage(true);
    CHECK(!appendRequired("a"));
    service.blockWrites(true);
    Append refused;
    log.appendRequired({ended("b")}, refused.handler());
    CHECK(refused.isAnswered());
    service.blockWrites(false);
    service.setOutage(false);
    CHECK(log.flush(waitTimeout));
}

TEST(KeyValueLog, aNewIncarnationBeginsALogOfItsOwn)
{
    CHECK(appendRequired("a"));
    log.restart(base::ProcessId("entry-0.2"));
    CHECK(appendRequired("b"));
    CHECK((stored() == std::vector<std::string>{"a"}));
    CHECK_EQUAL(1, service.snapshot().count("log/entry-0.2/000000000001"));
}

TEST(KeyValueLog, recordsAreSplitOverValuesAndAnOversizedOneIsRefused)
{
    const std::string big(3000, 'x');
    Append both;
    log.appendRequired({ended(big + "1"), ended(big + "2")}, both.handler());
    CHECK(both.isStored());
    CHECK_EQUAL(2, service.writes());
    CHECK(!appendRequired(std::string(5000, 'y')));
    CHECK(appendRequired("z"));
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
            Log tested(faulty, writer, {longFlushInterval, shortRetryInterval, 4096}, runInline, [] {});
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
                const auto recordResult = [&mutex, &confirmed, name](const service::StoreResult &result) {
                    const std::lock_guard lock(mutex);
                    if (std::holds_alternative<service::Stored>(result)) {
                        confirmed.push_back(name);
                    }
                };
                if (*rc::gen::arbitrary<bool>()) {
                    tested.appendRequired({ended(name)}, recordResult);
                } else {
                    tested.appendDeferred({ended(name)}, recordResult);
                }
            }
            faulty.setOutage(false);
            RC_ASSERT(tested.flush(waitTimeout));
        }
        const auto logged = loggedPrograms(faulty, writer);
        // A refused record may be in the log; a confirmed one must be. The log has the order of the appends.
        auto position = logged.begin();
        for (const std::string &name : confirmed) {
            position = std::find(position, logged.end(), name);
            RC_ASSERT(position != logged.end());
        }
        auto order = appended.begin();
        for (const std::string &name : logged) {
            order = std::find(order, appended.end(), name);
            RC_ASSERT(order != appended.end());
            ++order;
        }
    }));
}
