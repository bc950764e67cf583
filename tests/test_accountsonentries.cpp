#include "platformdeployment.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds revocationLimit{1500};
/** Longer than entries take to see a change of the platform's store. */
constexpr std::chrono::milliseconds applyTime{800};

/** @return the usual configuration with client accounts, and a route that needs none */
std::string configuration(int version, const std::string &accounts)
{
    std::string document = PlatformDeployment::routing(version);
    document.replace(document.find(R"("max_attempts":2}],)"), 17, R"("max_attempts":2},
{"name":"open","host":"h","prefix":"/open/","kind":"safe","timeout_ms":1000,"service":"tools","allow_anonymous":true})");
    document.pop_back();
    return document + R"(,"tenants":[)" + accounts + "]}";
}

const std::string ada = R"({"name":"ada","api_keys":["key-a"],"priority":1,"rate_per_s":200,"burst":200})";
const std::string bob = R"({"name":"bob","api_keys":["key-b"]})";

std::string bearer(const std::string &key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

unsigned statusOf(PlatformDeployment &deployment, std::size_t entry, const std::string &path, const std::string &fields)
{
    static int number = 0;
    return deployment.sendAndWait(entry, PlatformDeployment::call("GET", path, "c" + std::to_string(++number), fields))
        ->status;
}

void strictly(platform::NodeSettings &settings)
{
    settings.revocationLimit = revocationLimit;
}

}

TEST_GROUP(AccountsOnEntries){};

TEST(AccountsOnEntries, theRunnerIsToldTheAccountAndNeverTheKey)
{
    PlatformDeployment deployment;
    deployment.store.put("op/config", configuration(4, ada + "," + bob));
    deployment.runFor(applyTime);
    const std::string forged = "X-Tenant-Id: bob\r\n";
    LONGS_EQUAL(200, statusOf(deployment, 0, "/safe/x", bearer("key-a") + forged));
    LONGS_EQUAL(401, statusOf(deployment, 0, "/safe/x", bearer("key-c")));
    LONGS_EQUAL(401, statusOf(deployment, 0, "/safe/x", forged));
    LONGS_EQUAL(401, statusOf(deployment, 0, "/safe/x", bearer("key-a") + bearer("key-b")));
    LONGS_EQUAL(200, statusOf(deployment, 1, "/open/x", forged));
    int keyed = 0;
    for (const auto *tool : {&deployment.toolOne, &deployment.toolTwo}) {
        for (const auto &request : tool->receivedRequests()) {
            CHECK_FALSE(request.headers.find("Authorization").has_value());
            const auto account = request.headers.find("X-Tenant-Id");
            CHECK(!account || *account == "ada");
            keyed += account ? 1 : 0;
        }
    }
    LONGS_EQUAL(1, keyed);
}

TEST(AccountsOnEntries, aTurnOfAnotherAccountDoesNotExist)
{
    PlatformDeployment deployment;
    deployment.store.put("op/config", configuration(4, ada + "," + bob));
    deployment.runFor(applyTime);
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t1", bearer("key-a"), "x"))->status);
    const std::string next = "X-Previous-Turn: t1\r\n";
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const std::string id = "t2-" + std::to_string(entry);
        LONGS_EQUAL(404,
                    deployment.sendAndWait(entry, PlatformDeployment::turn(id, next + bearer("key-b"), "y"))->status);
        LONGS_EQUAL(200,
                    deployment.sendAndWait(entry, PlatformDeployment::turn(id, next + bearer("key-a"), "y"))->status);
    }
}

TEST(AccountsOnEntries, anAccountBeyondItsCapIsRefusedWithATimeAndOthersAreNot)
{
    PlatformDeployment deployment;
    const std::string small = R"({"name":"ada","api_keys":["key-a"],"rate_per_s":4,"burst":4})";
    deployment.store.put("op/config", configuration(4, small + "," + bob));
    deployment.runFor(applyTime);
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 120; ++i) {
        const auto answer = deployment.sendAndWait(
            static_cast<std::size_t>(i % 2),
            PlatformDeployment::call("GET", "/safe/x", "q" + std::to_string(i), bearer("key-a")));
        served += answer->status == 200 ? 1 : 0;
        if (answer->status == 429) {
            ++refused;
            CHECK(answer->headers.find("Retry-After").has_value());
        }
        LONGS_EQUAL(200, statusOf(deployment, static_cast<std::size_t>(i % 2), "/safe/x", bearer("key-b")));
    }
    LONGS_EQUAL(120, served + refused);
    CHECK(refused > 0);
    // Within 5 s: (4 x 5 + 4) x 1.1 + 20.
    CHECK(served <= 46);
}

/** Guards against an entry that serves a key which was taken away while it could not read the platform's store. */
TEST(AccountsOnEntries, anEntryThatCanNotReadTheStoreStopsServingKeysInTime)
{
    PlatformDeployment deployment(3, strictly);
    deployment.store.put("op/config", configuration(4, ada + "," + bob));
    deployment.runFor(applyTime);
    CHECK(deployment.isReady(0));
    LONGS_EQUAL(200, statusOf(deployment, 0, "/safe/x", bearer("key-a")));
    // Knowledge that is confirmed again and again does not expire.
    deployment.runFor(revocationLimit * 2);
    LONGS_EQUAL(200, statusOf(deployment, 0, "/safe/x", bearer("key-a")));

    deployment.store.setFault(standins::platform::StoreFault::Silent);
    deployment.store.put("op/config", configuration(5, bob));
    deployment.runFor(revocationLimit);
    LONGS_EQUAL(503, statusOf(deployment, 0, "/safe/x", bearer("key-a")));
    LONGS_EQUAL(503, statusOf(deployment, 1, "/safe/x", bearer("key-b")));
    LONGS_EQUAL(200, statusOf(deployment, 0, "/open/x", bearer("key-a")));
    CHECK_FALSE(deployment.isReady(0));

    deployment.store.setFault(standins::platform::StoreFault::None);
    CHECK(deployment.runUntil([&deployment] {
        return statusOf(deployment, 0, "/safe/x", bearer("key-b")) == 200;
    }));
    // An unknown key is 401 again as soon as the entry knows that the store can be read.
    deployment.runFor(applyTime);
    LONGS_EQUAL(401, statusOf(deployment, 0, "/safe/x", bearer("key-a")));
}

TEST(AccountsOnEntries, anEntryThatStartsFromTurnStoresServesNoKeysBeforeTheStoreConfirmsThem)
{
    PlatformDeployment deployment(3, strictly);
    deployment.store.put("op/config", configuration(4, ada));
    deployment.runFor(applyTime);
    deployment.store.setFault(standins::platform::StoreFault::Silent);
    deployment.restartEntry(0);
    deployment.runFor(applyTime);
    LONGS_EQUAL(503, statusOf(deployment, 0, "/safe/x", bearer("key-a")));
    LONGS_EQUAL(200, statusOf(deployment, 0, "/open/x", ""));
}
