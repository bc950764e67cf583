#include "stages/deadlinestage.h"
#include "stages/placementstage.h"
#include "stages/routestage.h"
#include "stages/stopstage.h"
#include "stages/suspectstage.h"
#include "stages/turnstage.h"

#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::stages;

namespace
{

constexpr base::Milliseconds turnRetention{300'000};

/** Turn stores that answer when the test says so, and count the reservations that are not settled. */
struct FakeTurns
{
    void begin(const turns::TurnStart &start, std::function<void(turns::TurnStartResult)> onDone)
    {
        retention = start.retention;
        pending = std::move(onDone);
    }

    void end(const turns::TurnEnd &end, base::Milliseconds, const std::function<void(bool)> &onDone)
    {
        openReservations -= end.reservation.value().empty() ? 0 : 1;
        spent = end.spent;
        retention = end.retention;
        onDone(true);
    }

    void grant()
    {
        ++openReservations;
        std::exchange(pending, nullptr)(turns::TurnGranted{"before ", "i-1", turns::AttemptId("r/1")});
    }

    std::function<void(turns::TurnStartResult)> pending;
    int openReservations = 0;
    base::Tokens spent;
    /** The retention in the last request. */
    base::Milliseconds retention{0};
};

/** Permits that are answered when the test says so. */
struct FakePermits
{
    void acquire(const std::vector<dispatch::RunnerId> &, base::Milliseconds,
                 std::function<void(std::optional<dispatch::RunnerId>)> onResult)
    {
        pending = std::move(onResult);
    }

    std::function<void(std::optional<dispatch::RunnerId>)> pending;
};

/** A row of stages that holds nothing but what it is given by the fakes. */
class Row
{
public:
    using Turns = TurnStage<FakeTurns>;
    using Places = PlacementStage<FakePermits>;

    explicit Row(requests::RouteKind kind = requests::RouteKind::Stream)
        : balancer(base::ZoneName("z"))
        , suspects(placement::SuspectLimits{})
        , state(std::chrono::steady_clock::now())
        , routeStage(state, routingKnowledge, retryDelay)
        , stopStage(state, stopDeadline)
        , deadlineStage(state, context,
                        [this] {
                            hasExpired = true;
                        })
        , turnStage(state, turns, retryDelay)
        , suspectStage(state, suspects, context)
        , placementStage(state, balancer, permits, returns, entryCount)
        , row(routeStage, stopStage, deadlineStage, turnStage, suspectStage, placementStage, stopStage)
    {
        requests::Route route;
        route.name = requests::RouteName("turns");
        route.host = "h";
        route.prefix = "/turn/";
        route.kind = kind;
        route.timeout = base::Milliseconds(1000);
        route.latencyTarget = base::Milliseconds(200);
        route.storesTurns = true;
        route.retention = turnRetention;
        route.services = {{requests::ServiceName("chat"), 1}};
        routing = std::make_shared<requests::Routing>(requests::RoutingVersion(1), std::vector{route},
                                                      std::vector<requests::Service>{}, http::ServerLimits{});
        state.request.id = requests::RequestId("r");
        state.request.host = "h";
        state.request.path = "/turn/x";
        state.request.programBudget = base::Tokens(100);
        state.request.maxTokens = base::Tokens(10);
    }

    void addRunner()
    {
        dispatch::RegisteredRunner runner;
        runner.id = dispatch::RunnerId("i-1");
        runner.service = requests::ServiceName("chat");
        runner.slots = 4;
        balancer.registerRunner(runner);
    }

    /** Puts the content of the request on trial elsewhere. */
    void beginOtherTrial()
    {
        suspects.recordCrash({{"i-9", 0, 0}, {placement::crashedRequest(contentOfTurn())}}, now());
        suspects.beginTrial(placement::crashedRequest(contentOfTurn()), now());
    }

    static placement::RequestContent contentOfTurn()
    {
        return {" h", "before ", "", true};
    }

    static std::chrono::steady_clock::time_point now()
    {
        return std::chrono::steady_clock::now();
    }

    void enter()
    {
        row.enter<RouteStage>([this](StageResult received) {
            ++results;
            result = std::move(received);
        });
    }

    unsigned refusedStatus() const
    {
        const auto *refusal = result ? std::get_if<Refusal>(&*result) : nullptr;
        return refusal == nullptr ? 0 : refusal->status;
    }

    /** Leaves all stages, lets everything that is still under way end, and checks that nothing is held. */
    void checkNothingIsHeld()
    {
        row.leave();
        if (turns.pending) {
            turns.grant();
        }
        if (permits.pending) {
            std::exchange(permits.pending, nullptr)(dispatch::RunnerId("i-1"));
        }
        const int resultsBefore = results;
        context.restart();
        context.run();
        LONGS_EQUAL(0, turns.openReservations);
        LONGS_EQUAL(resultsBefore, results);
        CHECK_FALSE(hasExpired);
        row.leave();
        LONGS_EQUAL(0, turns.openReservations);
    }

    boost::asio::io_context context;
    std::shared_ptr<const requests::Routing> routing;
    bool isRoutingCertain = true;
    int requestsForNewerRouting = 0;
    std::optional<std::chrono::steady_clock::time_point> stopTime;
    RoutingKnowledge routingKnowledge{[this] {
                                          return routing;
                                      },
                                      [this] {
                                          return isRoutingCertain;
                                      },
                                      [this] {
                                          ++requestsForNewerRouting;
                                      }};
    StopStage::StopDeadline stopDeadline = [this] {
        return stopTime;
    };
    std::function<std::size_t()> entryCount = [] {
        return std::size_t{1};
    };
    dispatch::RetryDelay retryDelay;
    dispatch::LoadBalancer balancer;
    dispatch::ReturnSchedule<requests::ServiceName> returns;
    placement::SuspectTable suspects;
    FakeTurns turns;
    FakePermits permits;
    RequestState state;
    RouteStage routeStage;
    StopStage stopStage;
    DeadlineStage deadlineStage;
    Turns turnStage;
    SuspectStage suspectStage;
    Places placementStage;
    StageRow<RouteStage, StopStage, DeadlineStage, Turns, SuspectStage, Places, StopStage> row;
    std::optional<StageResult> result;
    int results = 0;
    bool hasExpired = false;
};

}

TEST_GROUP(Stages){};

TEST(Stages, aRequestThatPassesAllHoldsItsReservationUntilItLeaves)
{
    Row row;
    row.addRunner();
    row.enter();
    row.turns.grant();
    CHECK(row.result && std::holds_alternative<Proceed>(*row.result));
    STRCMP_EQUAL("i-1", row.state.placement.id.value().c_str());
    STRCMP_EQUAL("before ", row.state.prompt.c_str());
    LONGS_EQUAL(1, row.turns.openReservations);
    row.state.deliveredTokens = base::Tokens(7);
    row.checkNothingIsHeld();
    UNSIGNED_LONGS_EQUAL(7, row.turns.spent.value());
}

TEST(Stages, aStoredTurnSettlesItsReservationOnce)
{
    Row row;
    row.addRunner();
    row.enter();
    row.turns.grant();
    bool isStored = false;
    row.turnStage.storeTurn("a\n", dispatch::RunnerId("i-1"), [&isStored](bool stored) {
        isStored = stored;
    });
    CHECK(isStored);
    row.checkNothingIsHeld();
}

// Guards against turn stores that keep a turn for less than its route promised (LOST), since another version holds by then.
TEST(Stages, aTurnAndItsReservationGoWithTheRetentionOfTheirRoute)
{
    Row row;
    row.addRunner();
    row.enter();
    LONGS_EQUAL(turnRetention.count(), row.turns.retention.count());
    row.turns.grant();
    row.turns.retention = {};
    row.turnStage.storeTurn("a\n", dispatch::RunnerId("i-1"), [](bool) {});
    LONGS_EQUAL(turnRetention.count(), row.turns.retention.count());
    row.checkNothingIsHeld();
}

TEST(Stages, eachRefusalLeavesNothingHeld)
{
    Row unknown;
    unknown.routing = nullptr;
    unknown.enter();
    LONGS_EQUAL(503, unknown.refusedStatus());
    unknown.checkNothingIsHeld();

    Row noRoute;
    noRoute.state.request.path = "/other/x";
    noRoute.enter();
    LONGS_EQUAL(404, noRoute.refusedStatus());
    noRoute.checkNothingIsHeld();

    Row spent;
    spent.enter();
    std::exchange(spent.turns.pending, nullptr)(turns::BudgetSpent{});
    LONGS_EQUAL(402, spent.refusedStatus());
    spent.checkNothingIsHeld();

    Row noTurn;
    noTurn.enter();
    std::exchange(noTurn.turns.pending, nullptr)(turns::NoSuchTurn{});
    LONGS_EQUAL(404, noTurn.refusedStatus());
    noTurn.checkNothingIsHeld();

    Row silent;
    silent.enter();
    std::exchange(silent.turns.pending, nullptr)(turns::TurnsUnavailable{"silent"});
    LONGS_EQUAL(503, silent.refusedStatus());
    silent.checkNothingIsHeld();

    Row noRunner;
    noRunner.enter();
    noRunner.turns.grant();
    LONGS_EQUAL(503, noRunner.refusedStatus());
    noRunner.checkNothingIsHeld();
}

// Guards against a 404 for a route that was added while this entry could not learn of it.
TEST(Stages, anUnknownRouteIsNotDeniedWhileANewerRoutingMayBeInForce)
{
    Row row;
    row.state.request.path = "/added/x";
    row.isRoutingCertain = false;
    row.enter();
    LONGS_EQUAL(503, row.refusedStatus());
    LONGS_EQUAL(1, row.requestsForNewerRouting);
    row.checkNothingIsHeld();
}

// Guards against a request that is passed on late in a planned stop and cut at its end.
TEST(Stages, aRequestThatCannotEndBeforeTheProcessDoesIsRefused)
{
    using requests::RouteKind;
    const auto statusWith = [](RouteKind kind, std::chrono::milliseconds left) {
        Row row(kind);
        row.addRunner();
        row.stopTime = row.state.arrivedAt + left;
        row.enter();
        const unsigned status = row.refusedStatus();
        if (status == 0) {
            CHECK(row.state.deadline <= *row.stopTime);
        }
        row.checkNothingIsHeld();
        return status;
    };
    LONGS_EQUAL(503, statusWith(RouteKind::Idempotent, std::chrono::milliseconds(150)));
    LONGS_EQUAL(0, statusWith(RouteKind::Idempotent, std::chrono::milliseconds(250)));
    LONGS_EQUAL(503, statusWith(RouteKind::Stream, std::chrono::milliseconds(950)));
    LONGS_EQUAL(0, statusWith(RouteKind::Stream, std::chrono::milliseconds(1050)));
    LONGS_EQUAL(503, statusWith(RouteKind::Once, std::chrono::milliseconds(950)));
    LONGS_EQUAL(0, statusWith(RouteKind::Once, std::chrono::milliseconds(1050)));
}

// Guards against a request that waits when the stop begins, and is then sent to a runner and cut at its end.
TEST(Stages, aStopThatBeginsWhileARequestWaitsRefusesWhatCannotEnd)
{
    const auto statusWith = [](std::chrono::milliseconds left) {
        Row row;
        row.addRunner();
        row.enter();
        row.stopTime = row.state.arrivedAt + left;
        row.turns.grant();
        const unsigned status = row.refusedStatus();
        row.checkNothingIsHeld();
        return status;
    };
    LONGS_EQUAL(503, statusWith(std::chrono::milliseconds(950)));
    LONGS_EQUAL(0, statusWith(std::chrono::milliseconds(1050)));
}

TEST(Stages, aCallerThatLeavesInAnyStageLeavesNothingHeld)
{
    Row inTurns;
    inTurns.enter();
    inTurns.checkNothingIsHeld();
    CHECK_FALSE(inTurns.result.has_value());

    Row onTrial;
    onTrial.addRunner();
    onTrial.beginOtherTrial();
    onTrial.enter();
    onTrial.turns.grant();
    CHECK_FALSE(onTrial.result.has_value());
    onTrial.checkNothingIsHeld();
    CHECK_FALSE(onTrial.result.has_value());

    Row forPermit;
    forPermit.addRunner();
    forPermit.balancer.rateStated(dispatch::RunnerId("i-1"), {0, requests::RequestRate(5), {}, Row::now()});
    forPermit.balancer.permitSchedule().setKeepers({dispatch::KeeperId("k")});
    forPermit.enter();
    forPermit.turns.grant();
    CHECK(forPermit.permits.pending != nullptr);
    forPermit.checkNothingIsHeld();
    CHECK_FALSE(forPermit.result.has_value());
}

TEST(Stages, aRunnersTrialEndsWithTheRequest)
{
    Row row;
    row.addRunner();
    row.suspects.recordCrash({{"i-9", 0, 0}, {placement::crashedRequest(Row::contentOfTurn())}}, Row::now());
    row.enter();
    row.turns.grant();
    CHECK(row.state.placementRequest.isSuspect);
    CHECK(row.suspects.admit(Row::contentOfTurn(), Row::now()) == placement::SuspectVerdict::Wait);
    row.checkNothingIsHeld();
    CHECK(row.suspects.admit(Row::contentOfTurn(), Row::now()) == placement::SuspectVerdict::RunAlone);
}

TEST(Stages, aDeadlineThatPassesInAStageIsReportedOnce)
{
    Row row;
    row.state.request.timeout = base::Milliseconds(20);
    row.enter();
    row.context.run_for(base::Milliseconds(60));
    CHECK(row.hasExpired);
    row.hasExpired = false;
    row.checkNothingIsHeld();
}

TEST(Stages, aRequestThatIsTriedAgainIsNotAskedForItsTurnAgain)
{
    Row row;
    row.addRunner();
    row.enter();
    row.turns.grant();
    row.state.placementRequest.excluded.insert(dispatch::RunnerId("i-1"));
    row.row.enter<SuspectStage>([&row](StageResult received) {
        row.result = std::move(received);
    });
    LONGS_EQUAL(503, row.refusedStatus());
    LONGS_EQUAL(1, row.turns.openReservations);
    row.checkNothingIsHeld();
}
