#include "retirementreport.h"

#include "platform/documents.h"

namespace briarhinge::node
{

RetirementReport::RetirementReport(platform::StoreClient &client, std::string name, logging::EventLog &log)
    : m_client(client)
    , m_name(std::move(name))
    , m_log(log)
{
}

void RetirementReport::reportRetirementRunning()
{
    write(false);
}

void RetirementReport::reportRetirementCompleted()
{
    write(true);
}

void RetirementReport::write(bool isCompleted)
{
    const std::string key = std::string(platform::retirementStatusPrefix) + m_name;
    m_client.replace(key, platform::formatRetirementStatus(isCompleted), [this, isCompleted](const auto &result) {
        if (const auto *failure = std::get_if<keyvalue::PlatformUnavailable>(&result)) {
            m_log.write(logging::events::platformUnavailable, {{"reason", failure->reason}});
            // Operators wait for this status, so the write is retried until it succeeds.
            write(isCompleted);
        }
    });
}

}
