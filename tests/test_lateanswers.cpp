#include "scripteddeployment.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using standins::platform::AnswerEnding;
using standins::platform::ScriptedAnswer;

namespace
{

/** @return a whole answer with the field "X-Request-Id", unless @p id is empty */
std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n")
        + "X-Server-Stamp: s\r\nKeep-Alive: timeout=9\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

ScriptedAnswer noAnswer(const std::string &)
{
    return {};
}

/** A runner that sends the answer to its first request again where that to the second one is due. */
class LateCopies
{
public:
    /** @param copy the second copy of the first answer */
    explicit LateCopies(const std::string &copy)
        : deployment(noAnswer, [this, copy](const std::string &) {
            const bool isFirst = m_requests++ == 0;
            return isFirst ? ScriptedAnswer{{answer("{id}", "first")}}
                           : ScriptedAnswer{{copy, answer("{id}", "second")}};
        })
    {
        deployment.removeOtherTools();
    }

    std::shared_ptr<CallerExchange> send(const std::string &id, const std::string &path)
    {
        return deployment.sendAndWait(0, PlatformDeployment::call("POST", path, id, "Content-Length: 0\r\n"));
    }

    int connections() const
    {
        return deployment.tools.acceptedConnections();
    }

private:
    int m_requests = 0;

public:
    ScriptedDeployment deployment;
};

}

TEST_GROUP(LateAnswers){};

TEST(LateAnswers, aLateCopyThatNamesItsRequestIsSkipped)
{
    LateCopies runner(answer("r1", "first"));
    STRCMP_EQUAL("first", runner.send("r1", "/unsafe/x")->body.c_str());
    const auto second = runner.send("r2", "/unsafe/x");
    LONGS_EQUAL(1, runner.connections());
    LONGS_EQUAL(200, second->status);
    STRCMP_EQUAL("second", second->body.c_str());
}

// Guards against a late copy of an answer on a connection in use again being passed to the next caller as its own.
TEST(LateAnswers, aLateCopyWithoutAnIdReachesNobody)
{
    LateCopies runner(answer("", "first"));
    LONGS_EQUAL(200, runner.send("r1", "/unsafe/x")->status);
    const auto second = runner.send("r2", "/unsafe/x");
    LONGS_EQUAL(1, runner.connections());
    // The request may have run.
    LONGS_EQUAL(502, second->status);
    STRCMP_EQUAL("", second->body.c_str());
}

TEST(LateAnswers, onANewConnectionAnAnswerNeedsNoId)
{
    ScriptedDeployment deployment(noAnswer, [](const std::string &) {
        return ScriptedAnswer{{answer("", "only")}, AnswerEnding::Close};
    });
    deployment.removeOtherTools();
    const auto first =
        deployment.sendAndWait(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    STRCMP_EQUAL("only", first->body.c_str());
}
