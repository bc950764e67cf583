#include "base/memorybudget.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using base::MemoryBudget;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t limit = 1000 * kilobyte;

/** A share that gives everything back when it is asked to. */
struct Upload
{
    explicit Upload(const MemoryBudget &budget, MemoryBudget::Reclaim reclaim = MemoryBudget::Reclaim::Anytime)
        : share(budget)
    {
        share.setReclaimHandler(reclaim, [this] {
            share.clear();
            share.clearReclaimHandler();
            hasGivenWay = true;
        });
    }

    MemoryBudget::Share share;
    bool hasGivenWay = false;
};

}

TEST_GROUP(MemoryBudget)
{
    MemoryBudget budget{limit};
};

TEST(MemoryBudget, sharesTogetherStayWithinTheLimitAndGiveTheirBytesBack)
{
    MemoryBudget::Share first(budget);
    {
        MemoryBudget::Share second(budget);
        CHECK(second.grow(700 * kilobyte));
        CHECK_FALSE(first.grow(101 * kilobyte));
        CHECK(first.grow(100 * kilobyte));
        CHECK(second.resize(600 * kilobyte));
        LONGS_EQUAL(700 * kilobyte, budget.usedBytes());
    }
    LONGS_EQUAL(100 * kilobyte, budget.usedBytes());
    LONGS_EQUAL(1, budget.refusedGrowths());
    first.clear();
    LONGS_EQUAL(0, budget.usedBytes());
}

TEST(MemoryBudget, largeSharesLeaveRoomForSmallOnesWhichAreBoundedAsWell)
{
    MemoryBudget::Share large(budget);
    CHECK_FALSE(large.grow(limit));
    CHECK(large.grow(limit - limit / 5));
    std::vector<std::unique_ptr<MemoryBudget::Share>> small;
    for (int i = 0; i < 20; ++i) {
        small.push_back(std::make_unique<MemoryBudget::Share>(budget));
        CHECK(small.back()->grow(10 * kilobyte));
    }
    MemoryBudget::Share oneMore(budget);
    CHECK_FALSE(oneMore.grow(1));
    LONGS_EQUAL(limit, budget.usedBytes());
}

TEST(MemoryBudget, aGrowingShareGivesWayToSmallOnesOnly)
{
    Upload upload(budget);
    CHECK(upload.share.grow(800 * kilobyte));
    MemoryBudget::Share large(budget);
    CHECK_FALSE(large.grow(100 * kilobyte));
    CHECK_FALSE(upload.hasGivenWay);
    std::vector<std::unique_ptr<MemoryBudget::Share>> small;
    while (!upload.hasGivenWay) {
        small.push_back(std::make_unique<MemoryBudget::Share>(budget));
        CHECK(small.back()->grow(60 * kilobyte));
    }
    LONGS_EQUAL(1, budget.reclaimedShares());
}

TEST(MemoryBudget, theLargestShareThatStoppedGrowingGivesWayFirst)
{
    Upload smaller(budget);
    Upload larger(budget);
    CHECK(smaller.share.grow(100 * kilobyte));
    CHECK(larger.share.grow(300 * kilobyte));
    std::this_thread::sleep_for(MemoryBudget::stallTimeout);
    Upload growing(budget);
    CHECK(growing.share.grow(350 * kilobyte));
    MemoryBudget::Share needy(budget);
    CHECK(needy.grow(150 * kilobyte));
    CHECK(larger.hasGivenWay);
    CHECK_FALSE(smaller.hasGivenWay);
    CHECK_FALSE(growing.hasGivenWay);
}

TEST(MemoryBudget, whatMayOnlyBeReclaimedWhenStalledIsTheLastResort)
{
    Upload response(budget, MemoryBudget::Reclaim::OnlyStalled);
    Upload upload(budget);
    CHECK(response.share.grow(500 * kilobyte));
    MemoryBudget::Share large(budget);
    CHECK(upload.share.grow(100 * kilobyte));
    CHECK_FALSE(large.grow(600 * kilobyte));
    CHECK_FALSE(response.hasGivenWay);
    std::this_thread::sleep_for(MemoryBudget::stallTimeout);
    CHECK(large.grow(300 * kilobyte));
    CHECK(upload.hasGivenWay);
    CHECK_FALSE(response.hasGivenWay);
    CHECK(large.grow(100 * kilobyte));
    CHECK(response.hasGivenWay);
}

TEST(MemoryBudget, aShareMayOutliveItsBudget)
{
    auto shortLived = std::make_unique<MemoryBudget>(limit);
    MemoryBudget::Share share(*shortLived);
    CHECK(share.grow(kilobyte));
    shortLived.reset();
    CHECK(share.grow(kilobyte));
}

TEST(MemoryBudget, theSumOfAllSharesIsWhatIsUsedAndNeverMoreThanTheLimit)
{
    CHECK(rc::check("the sum of all shares is what is used and never more than the limit", [] {
        const MemoryBudget small(500 * kilobyte);
        std::vector<std::unique_ptr<Upload>> uploads;
        std::vector<std::unique_ptr<MemoryBudget::Share>> requests;
        for (const auto &[choice, size] : *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::uint16_t>>>()) {
            const std::size_t bytes = std::size_t{size} * 4;
            switch (choice % 5) {
            case 0:
                uploads.push_back(std::make_unique<Upload>(small));
                break;
            case 1:
                requests.push_back(std::make_unique<MemoryBudget::Share>(small));
                break;
            case 2:
                if (!uploads.empty() && !uploads[size % uploads.size()]->hasGivenWay) {
                    uploads[size % uploads.size()]->share.grow(bytes);
                }
                break;
            case 3:
                if (!requests.empty()) {
                    const std::size_t before = requests[size % requests.size()]->bytes();
                    const bool hasGrown = requests[size % requests.size()]->grow(bytes);
                    // A request that is being handled never loses what it has.
                    RC_ASSERT(requests[size % requests.size()]->bytes() == before + (hasGrown ? bytes : 0));
                }
                break;
            default:
                if (!requests.empty()) {
                    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(size % requests.size()));
                }
                break;
            }
            std::size_t sum = 0;
            for (const auto &upload : uploads) {
                sum += upload->share.bytes();
            }
            for (const auto &request : requests) {
                sum += request->bytes();
            }
            RC_ASSERT(sum == small.usedBytes());
            RC_ASSERT(sum <= small.limitBytes());
        }
    }));
}
