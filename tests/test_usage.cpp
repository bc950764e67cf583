#include "accounts/programsize.h"
#include "accounts/usagekeeper.h"
#include "accounts/usagestock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::accounts;
using namespace std::chrono_literals;

namespace
{

using Time = UsageKeeper::Time;

const Time start = Time{} + 1h;
const base::AccountId loud("loud");
constexpr std::size_t keeperCount = 5;
constexpr auto settled = 20s;

/** Keepers of one share each, as the entries of a deployment ask them. */
struct Keepers
{
    explicit Keepers(const UsageTolerance &agreed = {})
        : tolerance(agreed)
        , keepers(keeperCount, UsageKeeper(start, agreed))
    {
    }

    /** Asks the keepers from a given one on, until one of them grants. */
    bool allows(const base::AccountId &account, const UsageCap &cap, Time now, bool isStart = false,
                double programSize = 1, std::uint64_t version = 1)
    {
        for (std::size_t i = 0; i < keepers.size(); ++i) {
            UsageRequest request{account, cap, version, isStart ? 0U : 1U, isStart ? 1U : 0U, 0, programSize, 0};
            const auto grant = keepers[next++ % keepers.size()].decide(request, keepers.size(), now);
            if (grant.permits + grant.starts > 0) {
                return true;
            }
        }
        return false;
    }

    UsageTolerance tolerance;
    std::vector<UsageKeeper> keepers;
    std::size_t next = 0;
};

/** @return the most permits in any window, of the times at which permits were used */
std::size_t mostInWindow(std::vector<Time> uses, Time::duration window)
{
    std::sort(uses.begin(), uses.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < uses.size(); ++last) {
        while (uses[last] - uses[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/** Requests that may be run in any window, as agreed with the operators. */
double agreedMost(const UsageCap &cap, const UsageTolerance &tolerance)
{
    const double window = std::chrono::duration<double>(tolerance.window).count();
    return (cap.requestsPerSecond * window + cap.burst) * (1 + tolerance.share) + tolerance.slack;
}

}

TEST_GROUP(Usage){};

TEST(Usage, anAccountTenTimesOverItsCapLeavesQuietOnesAlone)
{
    Keepers keepers;
    const UsageCap loudCap{100, 100};
    const UsageCap quietCap{5, 5};
    std::vector<Time> loudUses;
    int quietRefused = 0;
    for (Time now = start + settled; now < start + settled + 10s; now += 1ms) {
        if (keepers.allows(loud, loudCap, now)) {
            loudUses.push_back(now);
        }
        // 75 accounts with three requests a second each, together some 225.
        const auto millisecond = (now - start) / 1ms;
        for (int account = 0; account < 75; ++account) {
            if (millisecond % 333 == 4L * account) {
                quietRefused += keepers.allows(base::AccountId(std::to_string(account)), quietCap, now) ? 0 : 1;
            }
        }
    }
    LONGS_EQUAL(0, quietRefused);
    CHECK(static_cast<double>(mostInWindow(loudUses, 5s)) <= agreedMost(loudCap, keepers.tolerance));
    // What is within the cap is not refused.
    CHECK(loudUses.size() >= 1000);
}

TEST(Usage, aLowerCapBindsWhileRequestsAreUnderWay)
{
    Keepers keepers;
    const UsageCap before{200, 200};
    const UsageCap after{20, 20};
    const Time change = start + settled + 3s;
    std::vector<Time> uses;
    for (Time now = start + settled; now < change + 10s; now += 2ms) {
        // After the change every second entry still names the old cap.
        const bool isOld = now < change || (now - start) / 2ms % 2 == 0;
        if (keepers.allows(loud, isOld ? before : after, now, false, 1, isOld ? 1 : 2) && now > change + 500ms) {
            uses.push_back(now);
        }
    }
    CHECK(static_cast<double>(mostInWindow(uses, 5s)) <= agreedMost(after, keepers.tolerance));
}

TEST(Usage, programsThatBeginTakeTheRequestsThatTheyWillSend)
{
    // Four times the cap: programs of ten requests, one each 20 ms, for a cap of 100 requests a second.
    Keepers keepers;
    const UsageCap cap{100, 100};
    constexpr double programSize = 10;
    std::map<Time, int> due;
    int started = 0;
    int refusedUnderWay = 0;
    for (Time now = start + settled; now < start + settled + 20s; now += 20ms) {
        if (keepers.allows(loud, cap, now, true, programSize)) {
            ++started;
            for (int i = 1; i < programSize; ++i) {
                ++due[now + std::chrono::milliseconds(200L * i)];
            }
        }
        while (!due.empty() && due.begin()->first <= now) {
            for (int i = 0; i < due.begin()->second; ++i) {
                refusedUnderWay += keepers.allows(loud, cap, now) ? 0 : 1;
            }
            due.erase(due.begin());
        }
    }
    // Ten programs a second are what the cap has room for.
    CHECK(started >= 190);
    CHECK(refusedUnderWay <= started * 9 / 100);
}

TEST(Usage, aSmallAccountCanSendAWholeProgramAtOnce)
{
    Keepers keepers;
    const UsageCap cap{5, 5};
    CHECK(keepers.allows(loud, cap, start + settled, true, 12));
    int allowed = 0;
    for (int i = 0; i < 11; ++i) {
        allowed += keepers.allows(loud, cap, start + settled + std::chrono::milliseconds(100L * i)) ? 1 : 0;
    }
    LONGS_EQUAL(11, allowed);
}

TEST(Usage, aKeeperThatStartsOrTakesAPlaceGrantsNothingThatWasGrantedBefore)
{
    const UsageTolerance tolerance;
    UsageKeeper keeper(start, tolerance);
    const UsageRequest request{loud, {1000, 1000}, 1, 1000, 0, 0, 1, 0};
    LONGS_EQUAL(0, keeper.decide(request, keeperCount, start + tolerance.permitLifetime()).permits);
    // A fifth of what the cap gains in a second; the span before may have held all of its permits.
    CHECK(keeper.decide(request, keeperCount, start + 1s).permits <= 200);
    // Not a member: nothing, and later nothing from before.
    LONGS_EQUAL(0, keeper.decide(request, 0, start + 20s).permits);
    LONGS_EQUAL(0, keeper.decide(request, keeperCount, start + 20s + tolerance.permitLifetime()).permits);
    CHECK(keeper.decide(request, keeperCount, start + 21s).permits <= 200);
}

TEST(Usage, returnedStartsMakeRoomForOthers)
{
    UsageKeeper keeper(start, UsageTolerance{});
    const UsageCap cap{10, 10};
    const auto ask = [&keeper, &cap](std::uint32_t returned) {
        return keeper.decide({loud, cap, 1, 0, 1, 0, 40, returned}, keeperCount, start + settled);
    };
    LONGS_EQUAL(1, ask(0).starts);
    const auto denied = ask(0);
    LONGS_EQUAL(0, denied.starts);
    CHECK(denied.nextStart > 1s);
    LONGS_EQUAL(1, ask(1).starts);
}

TEST(Usage, accountsThatRestAreForgottenWithoutGainingAnything)
{
    UsageKeeper keeper(start, UsageTolerance{}, 10);
    for (int account = 0; account < 100; ++account) {
        const base::AccountId id(std::to_string(account));
        keeper.decide({id, {5, 5}, 1, 1, 0, 0, 1, 0}, keeperCount,
                      start + settled + std::chrono::seconds(5L * account));
    }
    CHECK(keeper.size() <= 12);
}

TEST(Usage, permitsAtHandExpireAndAreOnlyKeptByBusyEntries)
{
    UsageStock stock(400ms);
    Time now = start;
    CHECK_FALSE(stock.take(loud, now).has_value());
    LONGS_EQUAL(0, stock.spare(loud, now));
    for (int i = 0; i < 100; ++i) {
        now += 20ms;
        stock.take(loud, now);
    }
    // 50 requests a second are 20 in 400 ms.
    CHECK(stock.spare(loud, now) >= 15 && stock.spare(loud, now) <= 22);
    CHECK(stock.isLow(loud, now));
    stock.add(loud, 18, now);
    CHECK_FALSE(stock.isLow(loud, now));
    const auto permit = stock.take(loud, now + 100ms);
    CHECK(permit.has_value());
    stock.giveBack(loud, *permit);
    CHECK(stock.take(loud, now + 399ms).has_value());
    CHECK_FALSE(stock.take(loud, now + 400ms).has_value());
}

TEST(Usage, theSizeOfProgramsIsLearnt)
{
    ProgramSize size;
    for (int program = 0; program < 1000; ++program) {
        size.recordStart();
        for (int i = 0; i < 12; ++i) {
            size.recordRequest();
        }
    }
    DOUBLES_EQUAL(12, size.requestsPerProgram(), 0.5);
}

/** Any number of entries with delays, cuts and restarts of keepers: no window holds more than was agreed. */
TEST(Usage, noWindowExceedsTheAgreedBound)
{
    const bool holds = rc::check("usage bound", [] {
        const UsageTolerance tolerance;
        const UsageCap cap{static_cast<double>(*rc::gen::inRange(1, 400)),
                           static_cast<double>(*rc::gen::inRange(0, 400))};
        const int entries = *rc::gen::element(1, 3, 20, 400);
        std::deque<UsageKeeper> keepers(keeperCount, UsageKeeper(start, tolerance));
        std::vector<UsageStock> stocks(static_cast<std::size_t>(entries), UsageStock(tolerance.permitLifetime()));
        std::vector<Time> uses;
        const int restartsAt = *rc::gen::inRange(0, 8000);
        const int cutEntry = *rc::gen::inRange(0, entries);
        for (int step = 0; step < 10'000; step += 3) {
            const Time now = start + settled + std::chrono::milliseconds(step);
            if (step / 3 == restartsAt / 3) {
                keepers.pop_back();
                keepers.emplace_front(now, tolerance);
            }
            const int entry = *rc::gen::inRange(0, entries);
            UsageStock &stock = stocks[static_cast<std::size_t>(entry)];
            if (stock.take(loud, now)) {
                uses.push_back(now);
                continue;
            }
            // A cut entry reaches two keepers only; answers take up to the permit's lifetime.
            const int reachable = entry == cutEntry ? 2 : 5;
            const int keeper = *rc::gen::inRange(0, reachable);
            const auto delay = std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            const auto grant = keepers[static_cast<std::size_t>(keeper)].decide(
                {loud, cap, 1, 2, 0, stock.spare(loud, now), 1, 0}, keeperCount, now + delay / 2);
            const std::uint32_t used = std::min<std::uint32_t>(grant.permits, 2);
            uses.insert(uses.end(), used, now + delay);
            stock.add(loud, grant.permits - used, now);
        }
        RC_ASSERT(static_cast<double>(mostInWindow(uses, tolerance.window)) <= agreedMost(cap, tolerance));
    });
    CHECK(holds);
}
