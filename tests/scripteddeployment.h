#pragma once

#include "platform/scriptedrunner.h"
#include "platformdeployment.h"

#include <memory>
#include <string>

namespace briarhinge::tests
{

/** A PlatformDeployment whose model runner, and one of whose tool runners, answers with given bytes. */
class ScriptedDeployment : public PlatformDeployment
{
public:
    /**
     * @param chat answers the requests of the service "chat"
     * @param tools answers the requests of the service "tools" that the other runner of the service does not get
     * @param customize changes the settings of each process before it starts
     */
    explicit ScriptedDeployment(standins::platform::ScriptedRunner::Script chat,
                                standins::platform::ScriptedRunner::Script tools = {}, SettingsChange customize = {});

    /**
     * Sends a turn of a program and waits for the end of its answer.
     *
     * @param id id of the request
     * @param program id of the program
     * @param fields additional header fields, each terminated by CRLF
     * @param body the new input
     * @return the finished request
     */
    std::shared_ptr<CallerExchange> sendTurn(const std::string &id, const std::string &program,
                                             const std::string &fields = {}, const std::string &body = "x");

    /** Starts the model runner again after its process has ended, and registers it. */
    void restartChat();

    /** Leaves only the scripted runner in the service "tools". */
    void removeOtherTools();

    standins::platform::ScriptedRunner chat;
    standins::platform::ScriptedRunner tools;
};

}
