#pragma once

#include "logging/eventlog.h"
#include "platform/storeclient.h"

#include <string>

namespace briarhinge::node
{

/** Publishes the progress of a turn store's retirement to operators. */
class RetirementReport
{
public:
    /**
     * @param client the client of the platform's store; must outlive the report
     * @param name the name of the turn store
     * @param log receives failed writes
     */
    RetirementReport(platform::StoreClient &client, std::string name, logging::EventLog &log);

    /** Publishes that the turn store is being emptied. */
    void reportRetirementRunning();

    /** Publishes that nothing depends on the turn store any more. */
    void reportRetirementCompleted();

private:
    void write(bool isCompleted);

    platform::StoreClient &m_client;
    const std::string m_name;
    logging::EventLog &m_log;
};

}
