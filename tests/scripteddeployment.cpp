#include "scripteddeployment.h"

#include <utility>

namespace briarhinge::tests
{

namespace
{

/** Longer than an entry takes to see a change of the platform's store. */
constexpr std::chrono::milliseconds registrationTime{400};

}

ScriptedDeployment::ScriptedDeployment(standins::platform::ScriptedRunner::Script chatScript,
                                       standins::platform::ScriptedRunner::Script toolScript, SettingsChange customize)
    : PlatformDeployment(3, std::move(customize))
    , chat(context, std::move(chatScript))
    , tools(context, std::move(toolScript))
{
    store.remove("servers/i-model");
    store.put("servers/i-chat", chat.registration("chat"));
    store.remove("servers/i-tool-1");
    store.put("servers/i-tool-0", tools.registration("tools"));
    runFor(registrationTime);
}

std::shared_ptr<CallerExchange> ScriptedDeployment::sendTurn(const std::string &id, const std::string &program,
                                                             const std::string &fields, const std::string &body)
{
    return sendAndWait(0,
                       "POST /turn/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Program-Id: " + program
                           + "\r\nX-Token-Usage: 100,40\r\nX-Deadline-Remaining: 3000\r\n" + fields
                           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void ScriptedDeployment::restartChat()
{
    chat.restart();
    store.put("servers/i-chat", chat.registration("chat"));
    runFor(registrationTime);
}

void ScriptedDeployment::removeOtherTools()
{
    store.remove("servers/i-tool-2");
    runFor(registrationTime);
}

}
