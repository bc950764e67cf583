#include "config/duration.h"
#include "config/validator.h"

#include <fstream>
#include <sstream>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::config;

namespace
{

std::string example(const std::string &name)
{
    std::ifstream file(BRIARHINGE_SOURCE_DIR "/examples/" + name + ".json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    const std::size_t at = text.find(what);
    CHECK(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

std::string validationErrors(const std::string &text)
{
    const auto read = readDeclaration(text);
    std::string lines;
    if (const auto *errors = std::get_if<DeclarationErrors>(&read)) {
        for (const ValidationError &error : errors->errors) {
            lines += toString(error) + "\n";
        }
    }
    return lines;
}

const std::string small = R"({
  "deployment": "inkono",
  "kinds": [
    {"name": "allergy", "priority": 100, "budget": {"tokens": 1000, "money": 5, "calls": 160}, "wallTime": "2h",
     "cacheWeight": 0.5}
  ],
  "pools": [
    {"name": "chat", "type": "engine", "selector": {"pool": "chat", "zones": ["rwc-a"]}, "timeout": "30s",
     "checksFencing": true, "minimumLive": 2, "models": [{"name": "small", "version": "1", "adapters": ["huye"]}]},
    {"name": "orders", "type": "tool", "members": ["runner-orders"], "timeout": "5s", "checksFencing": false,
     "minimumLive": 1, "tools": [{"name": "charge", "idempotent": false, "timeout": "20s"}]}
  ],
  "accounts": [{"name": "huye", "maxPrograms": 10, "maxCallsPerSecond": 5}]
})";

}

TEST_GROUP(Declaration){};

TEST(Declaration, examplesOfBothDeploymentsAreValid)
{
    for (const std::string name : {"inkono", "dorvakt"}) {
        CHECK_EQUAL(std::string(), validationErrors(example(name)));
    }
}

TEST(Declaration, everyFaultIsListedWithItsPath)
{
    std::string text = replaced(small, "\"timeout\": \"5s\"", "\"timeout\": \"5\"");
    text = replaced(text, "\"priority\": 100", "\"priority\": \"high\"");
    text = replaced(text, "\"maxPrograms\": 10", "\"maxProgram\": 10");
    STRCMP_EQUAL("kinds[0].priority: must be a whole number from -1000 to 1000, is \"high\"\n"
                 "pools[1].timeout: must be a duration such as \"5s\", is \"5\"\n"
                 "accounts[0].maxPrograms: must be given\n"
                 "accounts[0].maxProgram: is not a field of the declaration\n",
                 validationErrors(text).c_str());
}

TEST(Declaration, contradictionsAreRefused)
{
    STRCMP_EQUAL("pools[1].minimumLive: must be at most the number of members, 1, is 3\n",
                 validationErrors(replaced(small, "\"minimumLive\": 1", "\"minimumLive\": 3")).c_str());
    STRCMP_EQUAL(
        "pools[1].selector: must not be given together with \"members\"\n",
        validationErrors(replaced(small, "\"members\"", "\"selector\": {\"pool\": \"x\", \"zones\": []}, \"members\""))
            .c_str());
    STRCMP_EQUAL("pools[1].name: must differ from the others, is \"chat\" again\n",
                 validationErrors(replaced(small, "\"orders\"", "\"chat\"")).c_str());
    STRCMP_EQUAL("priority: is given twice in one object\n",
                 validationErrors(replaced(small, "\"priority\": 100", "\"priority\": 1, \"priority\": 100")).c_str());
    STRCMP_EQUAL("kinds[0].budget.tokens: must be a whole number from 1 to 9223372036854775807, is "
                 "18446744073709551615\n",
                 validationErrors(replaced(small, "1000", "18446744073709551615")).c_str());
}

TEST(Declaration, documentsThatAreNoObjectsAreRefused)
{
    CHECK(validationErrors("").starts_with("must be JSON"));
    STRCMP_EQUAL("must be an object, is [1]\n", validationErrors("[1]").c_str());
    STRCMP_EQUAL("must be at most 32 levels deep\n",
                 validationErrors(std::string(400'000, '[') + std::string(400'000, ']')).c_str());
    CHECK(validationErrors(std::string(maxDeclarationBytes + 1, ' ')).starts_with("must be at most"));
}

TEST(Declaration, writtenDeclarationReadsAsTheSame)
{
    const bool holds = rc::check([] {
        const auto amount = [] {
            return static_cast<std::uint64_t>(*rc::gen::inRange<std::int64_t>(1, 1'000'000'000));
        };
        Declaration declaration;
        declaration.deployment = "inkono";
        const int kinds = *rc::gen::inRange(0, 4);
        for (int i = 0; i < kinds; ++i) {
            KindDeclaration kind;
            kind.name = base::KindName("kind-" + std::to_string(i));
            kind.priority = *rc::gen::inRange(-1000, 1001);
            kind.budget = {base::Tokens(amount()), base::MicroMoney(amount()), static_cast<std::uint32_t>(amount())};
            kind.wallTime = base::Milliseconds(amount());
            kind.cacheWeight = *rc::gen::element(0.0, 0.25, 1.0);
            declaration.kinds.push_back(kind);
        }
        const int pools = *rc::gen::inRange(0, 4);
        for (int i = 0; i < pools; ++i) {
            PoolDeclaration pool;
            pool.name = base::PoolName("pool-" + std::to_string(i));
            pool.type = *rc::gen::element(PoolType::Engine, PoolType::Tool);
            pool.timeout = base::Milliseconds(amount());
            pool.checksFencing = *rc::gen::arbitrary<bool>();
            if (*rc::gen::arbitrary<bool>()) {
                pool.selector = PoolSelector{{base::ZoneName("rwc-a")}, base::PoolName("chat")};
                pool.minimumLive = static_cast<std::uint32_t>(amount());
            } else {
                pool.members = {"a", "b"};
                pool.minimumLive = 1;
            }
            if (pool.type == PoolType::Engine) {
                pool.models = {{base::TargetName("small"), "1", {"huye"}}};
            } else {
                pool.tools = {{base::TargetName("charge"), false, base::Milliseconds(amount())}};
            }
            declaration.pools.push_back(pool);
        }
        const auto read = readDeclaration(toJson(declaration));
        RC_ASSERT(std::holds_alternative<Declaration>(read));
        RC_ASSERT(std::get<Declaration>(read) == declaration);
    });
    CHECK(holds);
}

TEST(Declaration, anyTextGivesADeclarationOrFaults)
{
    const bool holds = rc::check([] {
        std::string text = small;
        const int edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits; ++i) {
            const auto at = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size())));
            text.replace(at, static_cast<std::size_t>(*rc::gen::inRange(0, 8)),
                         *rc::gen::element<std::string>("\"", "{", "]", ",", "9", "null", "\xff", ""));
        }
        const auto read = readDeclaration(text);
        if (const auto *errors = std::get_if<DeclarationErrors>(&read)) {
            RC_ASSERT(!errors->errors.empty());
        }
    });
    CHECK(holds);
}

TEST(Declaration, durationsNeedAUnit)
{
    CHECK(parseDuration("5s") == base::Milliseconds(5000));
    CHECK(parseDuration("250ms") == base::Milliseconds(250));
    CHECK(!parseDuration("5"));
    CHECK(!parseDuration("-5s"));
    CHECK(!parseDuration("0s"));
    CHECK(!parseDuration("5 s"));
    CHECK(!parseDuration("9999999999999999999s"));
    CHECK(!parseDuration("2000000000h"));
    STRCMP_EQUAL("90s", formatDuration(base::Milliseconds(90'000)).c_str());
}
