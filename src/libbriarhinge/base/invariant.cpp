#include "base/invariant.h"

namespace briarhinge::base
{

InvariantMonitor::InvariantMonitor(Handler handler)
    : m_handler(std::move(handler))
{
}

void InvariantMonitor::require(bool holds, const char *violation)
{
    if (!holds) {
        report(std::string(violation));
    }
}

void InvariantMonitor::report(const std::vector<std::string> &violations)
{
    for (const std::string &violation : violations) {
        report(violation);
    }
}

std::uint64_t InvariantMonitor::violationCount() const
{
    return m_violations;
}

void InvariantMonitor::report(const std::string &violation)
{
    ++m_violations;
    m_handler(violation);
}

}
