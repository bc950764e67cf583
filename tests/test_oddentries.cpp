#include "platformdeployment.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;

TEST_GROUP(OddEntries)
{
    unsigned statusOfTurn(const std::string &id)
    {
        return deployment.sendAndWait(0, PlatformDeployment::turn(id, "", "hello"))->status;
    }

    PlatformDeployment deployment;
    int tries = 0;
};

// Guards against an entry of another writer that ends the machines which read the list, or stops them from following it.
TEST(OddEntries, entriesOfAnotherWriterEndNoProcessAndHideNoChange)
{
    LONGS_EQUAL(200, statusOfTurn("before"));
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string entry = deployment.store.value("servers/i-model");
    int number = 0;
    for (const std::string &odd :
         {deep, "{\"state\":" + deep + "}", std::string("{\"state\":\"ready\",\"slots\":1e400}"),
          std::string("{\"address\":\"127.0.0.1:70000\"}"), std::string(1, '\0'), std::string("\xff\xfe"),
          std::string(300'000, 'a'), std::string()}) {
        deployment.store.put("servers/odd-" + std::to_string(number), odd);
        deployment.store.put("briarhinge/turn-stores/odd-" + std::to_string(number), odd);
        deployment.store.put("briarhinge/relays/odd-" + std::to_string(number++), odd);
    }
    deployment.runFor(std::chrono::milliseconds(800));
    LONGS_EQUAL(200, statusOfTurn("beside"));
    // What is written afterwards is followed: the only model runner leaves and comes back.
    deployment.store.remove("servers/i-model");
    deployment.runFor(std::chrono::milliseconds(800));
    LONGS_EQUAL(503, statusOfTurn("gone"));
    deployment.store.put("servers/i-model", entry);
    CHECK(deployment.runUntil([this] {
        return statusOfTurn("back" + std::to_string(++tries)) == 200;
    }));
    deployment.restartEntry(0);
    CHECK(deployment.runUntil([this] {
        return deployment.isReady(0);
    }));
    LONGS_EQUAL(200, statusOfTurn("restarted"));
}

TEST(OddEntries, anOddGroupLeavesTheKnownOneInForce)
{
    LONGS_EQUAL(200, statusOfTurn("before"));
    const std::string group = deployment.store.value("briarhinge/turn-group");
    for (const std::string odd : {"{}", "[]", "{\"epoch\":18446744073709551615,\"current\":[],\"next\":[]}"}) {
        deployment.store.put("briarhinge/turn-group", odd);
        deployment.runFor(std::chrono::milliseconds(500));
        LONGS_EQUAL(200, statusOfTurn("beside" + std::to_string(++tries)));
    }
    deployment.store.put("briarhinge/turn-group", group);
    deployment.runFor(std::chrono::milliseconds(500));
    LONGS_EQUAL(200, statusOfTurn("after"));
}
