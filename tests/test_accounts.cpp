#include "accounts/accountcheck.h"
#include "accounts/accountknowledge.h"
#include "platform/documents.h"
#include "platform/wireformat.h"

#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::accounts;
using namespace std::chrono_literals;

namespace
{

const AccountKnowledge::Time start = AccountKnowledge::Time{} + 1h;

AccountDirectory directory()
{
    AccountDeclaration first{{base::AccountId("first"), 1, UsageCap{10, 20}}, {digestOf("k1"), digestOf("k2")}};
    AccountDeclaration second{{base::AccountId("second"), std::nullopt, std::nullopt},
                              {digestOf("k3"), digestOf("shared")}};
    AccountDeclaration third{{base::AccountId("third"), std::nullopt, std::nullopt}, {digestOf("shared")}};
    AccountDeclaration keyless{{base::AccountId("keyless"), std::nullopt, std::nullopt}, {}};
    return AccountDirectory({first, second, third, keyless});
}

Credentials key(const std::string &text)
{
    return {{"Bearer " + text}, text};
}

requests::CallerRequest decode(const std::vector<std::string> &authorizations)
{
    http::IncomingRequest incoming;
    incoming.method = "GET";
    incoming.target = "/x/y";
    incoming.headers.add("Host", "h");
    incoming.headers.add("X-Request-Id", "r");
    incoming.headers.add("X-Tenant-Id", "forged");
    for (const std::string &value : authorizations) {
        incoming.headers.add("Authorization", value);
    }
    return std::get<requests::CallerRequest>(platform::WireFormat::decode(incoming));
}

std::string encoded(const requests::CallerRequest &request)
{
    return platform::WireFormat::encode(request, "", dispatch::RunnerId("i"), 1000ms, requests::Urgency(0));
}

std::string configuration(const std::string &accounts)
{
    return R"({"version":1,"routes":[],"services":[],"tenants":[)" + accounts + "]}";
}

}

TEST_GROUP(Accounts){};

TEST(Accounts, eachKeyOfAnAccountNamesItAndASharedKeyNamesNone)
{
    const AccountDirectory accounts = directory();
    STRCMP_EQUAL("first", accounts.find("k1")->id.value().c_str());
    STRCMP_EQUAL("first", accounts.find("k2")->id.value().c_str());
    STRCMP_EQUAL("second", accounts.find("k3")->id.value().c_str());
    POINTERS_EQUAL(nullptr, accounts.find("shared"));
    POINTERS_EQUAL(nullptr, accounts.find("k"));
    POINTERS_EQUAL(nullptr, accounts.find(""));
    LONGS_EQUAL(1, accounts.sharedKeyCount());
    LONGS_EQUAL(4, accounts.size());
}

TEST(Accounts, whatIsPresentedDecidesWhereARouteTakesAccountsOnly)
{
    const AccountDirectory accounts = directory();
    const auto check = [&accounts](const Credentials &credentials, Knowledge knowledge) {
        return checkAccount(accounts, credentials, false, knowledge);
    };
    const auto known = check(key("k1"), Knowledge::Current);
    STRCMP_EQUAL("first", std::get<Recognized>(known).account->id.value().c_str());
    CHECK(std::holds_alternative<Unauthorized>(check(key("other"), Knowledge::Current)));
    CHECK(std::holds_alternative<Unauthorized>(check({}, Knowledge::Current)));
    CHECK(std::holds_alternative<Unauthorized>(check({{"Basic k1"}, ""}, Knowledge::Current)));
    // An unknown key may have been added since.
    CHECK(std::holds_alternative<Uncertain>(check(key("other"), Knowledge::Doubtful)));
    CHECK(std::holds_alternative<Recognized>(check(key("k1"), Knowledge::Doubtful)));
    CHECK(std::holds_alternative<Uncertain>(check(key("k1"), Knowledge::Expired)));
    CHECK(std::holds_alternative<Uncertain>(check(key("other"), Knowledge::Expired)));
    CHECK(std::holds_alternative<Unauthorized>(check({}, Knowledge::Expired)));
}

TEST(Accounts, anOpenRouteTakesEveryCallerAndKnowsThoseItCanBeSureOf)
{
    const AccountDirectory accounts = directory();
    const auto account = [&accounts](const Credentials &credentials, Knowledge knowledge) {
        return std::get<Recognized>(checkAccount(accounts, credentials, true, knowledge)).account;
    };
    POINTERS_EQUAL(nullptr, account({}, Knowledge::Current));
    POINTERS_EQUAL(nullptr, account(key("other"), Knowledge::Current));
    CHECK(account(key("k1"), Knowledge::Current) != nullptr);
    POINTERS_EQUAL(nullptr, account(key("k1"), Knowledge::Expired));
}

TEST(Accounts, anEntryThatCanNotReadTheConfigurationStopsBeforeTheRevocationLimit)
{
    AccountKnowledge strict(5000ms);
    CHECK(strict.at(start) == Knowledge::Expired);
    CHECK(strict.isFading(start));
    strict.confirm(start);
    strict.confirm(start - 1s);
    CHECK(strict.at(start + 4899ms) == Knowledge::Current);
    CHECK(strict.at(start + 5000ms) == Knowledge::Expired);
    // It tells callers to go elsewhere while it still serves those that came.
    CHECK_FALSE(strict.isFading(start + 3000ms));
    CHECK(strict.isFading(start + 4000ms));
    strict.setReadable(false);
    CHECK(strict.at(start + 1s) == Knowledge::Doubtful);
    strict.confirm(start + 4s);
    CHECK(strict.at(start + 8s) == Knowledge::Doubtful);

    AccountKnowledge lenient(std::nullopt);
    CHECK(lenient.at(start) == Knowledge::Current);
    CHECK_FALSE(lenient.isFading(start));
    lenient.setReadable(false);
    CHECK(lenient.at(start + 1h) == Knowledge::Doubtful);
}

TEST(Accounts, credentialsAreReadOnceAndNeverReachARunner)
{
    const auto valid = decode({"Bearer k1"});
    STRCMP_EQUAL("k1", valid.credentials.key.c_str());
    STRCMP_EQUAL("k1", decode({"bearer   k1"}).credentials.key.c_str());
    for (const std::string &bad : {std::string("Bearer"), std::string("Bearer "), std::string("Basic k1"),
                                   std::string("Bearer k1 k2"), std::string(), std::string("k1")}) {
        STRCMP_EQUAL("", decode({bad}).credentials.key.c_str());
        LONGS_EQUAL(1, decode({bad}).credentials.fields.size());
    }
    STRCMP_EQUAL("", decode({"Bearer k1", "Bearer k3"}).credentials.key.c_str());
    LONGS_EQUAL(2, decode({"Bearer k1", "Bearer k3"}).credentials.fields.size());
    const std::string binary = std::string("Bearer \xff\x01", 9) + std::string(64'000, 'x');
    CHECK(checkAccount(directory(), decode({binary}).credentials, false, Knowledge::Current).index() == 1);

    auto request = valid;
    CHECK(encoded(request).find("k1") == std::string::npos);
    CHECK(encoded(request).find("X-Tenant-Id") == std::string::npos);
    request.account = base::AccountId("first");
    CHECK(encoded(request).find("X-Tenant-Id: first\r\n") != std::string::npos);
    CHECK(encoded(request).find("forged") == std::string::npos);
    // Where no accounts are declared, the field means something to the runner only.
    request.forwardsCredentials = true;
    CHECK(encoded(request).find("Authorization: Bearer k1\r\n") != std::string::npos);
}

TEST(Accounts, aConfigurationDeclaresAccountsAndOneThatCanNotBeReadIsNotTaken)
{
    const auto routing = platform::parseRouting(configuration(
        R"({"name":"a","api_keys":["k1"],"priority":1,"rate_per_s":10,"burst":0.5},{"name":"b","rate_per_s":0},{"name":"c"})"));
    CHECK(routing != nullptr && routing->accounts() != nullptr);
    const Account *account = routing->accounts()->find("k1");
    CHECK(account != nullptr);
    LONGS_EQUAL(1, *account->priority);
    DOUBLES_EQUAL(10, account->cap->requestsPerSecond, 0);
    DOUBLES_EQUAL(0.5, account->cap->burst, 0);
    CHECK_FALSE(routing->accounts()->account(base::AccountId("b"))->cap.has_value());
    CHECK_FALSE(routing->accounts()->account(base::AccountId("c"))->cap.has_value());
    POINTERS_EQUAL(nullptr, platform::parseRouting(R"({"version":1,"routes":[],"services":[]})")->accounts());
    for (const std::string bad : {R"({"name":"a","rate_per_s":-1})", R"({"name":"a","burst":-1})", R"({"name":1})",
                                  R"({"name":"a","rate_per_s":"x"})", R"({"name":"a","api_keys":[1]})", "7"}) {
        CHECK(platform::parseRouting(configuration(bad)) == nullptr);
    }
}

TEST(Accounts, copiesOfTheConfigurationHoldDigestsThatNameTheSameAccounts)
{
    const std::string copy =
        platform::withoutKeys(configuration(R"({"name":"a","api_keys":["secret-1","secret-2"],"rate_per_s":3})"));
    CHECK(copy.find("secret") == std::string::npos);
    const auto routing = platform::parseRouting(copy);
    CHECK(routing != nullptr && routing->accounts()->find("secret-2") != nullptr);
    POINTERS_EQUAL(nullptr, routing->accounts()->find("secret-3"));
    STRCMP_EQUAL(copy.c_str(), platform::withoutKeys(copy).c_str());
    STRCMP_EQUAL("", platform::withoutKeys("no document").c_str());
}
