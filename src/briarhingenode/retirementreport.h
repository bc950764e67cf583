#pragma once

#include "logging/eventlog.h"
#include "platform/storeclient.h"

#include <string>

namespace briarhinge::node
{

/** Tells operators how the retirement of one turn store goes. */
class RetirementReport
{
public:
    /** @param client writes to the platform's store @param name the turn store @param log gets what failed */
    RetirementReport(platform::StoreClient &client, std::string name, logging::EventLog &log);

    /** The store is being emptied. */
    void retirementRunning();

    /** Nothing depends on the store any more. */
    void retirementCompleted();

private:
    void write(bool isCompleted);

    platform::StoreClient &m_client;
    const std::string m_name;
    logging::EventLog &m_log;
};

}
