#include "forwarding/exchangelog.h"

#include <cmath>
#include <string_view>

namespace briarhinge::forwarding
{

namespace
{

using requests::ExchangeRecord;
using requests::Outcome;

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::RunnerFailure:
        return "runner-failure";
    case Outcome::Refused:
        return "refused";
    case Outcome::CapExceeded:
        return "cap-exceeded";
    case Outcome::Quarantined:
        return "quarantined";
    case Outcome::Rejected:
        return "rejected";
    case Outcome::BudgetSpent:
        return "budget-spent";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::TimedOut:
        return "timed-out";
    case Outcome::CallerLeft:
        return "caller-left";
    case Outcome::BrokenOff:
        break;
    }
    return "broken-off";
}

/**
 * Cuts a reason off at the first colon, since a metric label with an address would create one time series per address.
 */
std::string_view reasonClass(std::string_view reason)
{
    return reason.substr(0, reason.find(':'));
}

std::string framingOf(const ExchangeRecord &record)
{
    return record.responseEnd && record.responseEnd->hasHead
        ? std::string(http::framingName(record.responseEnd->framing))
        : std::string();
}

std::string endingOf(const ExchangeRecord &record)
{
    return record.responseEnd ? std::string(http::endingName(record.responseEnd->ending)) : std::string();
}

}

ExchangeLog::ExchangeLog(logging::EventLog &log, metrics::ExchangeMetrics &metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void ExchangeLog::ended(const ExchangeRecord &record, Outcome outcome, unsigned status)
{
    const std::string name(outcomeName(outcome));
    m_metrics.requestFinished(record.route, name, record.duration);
    if (outcome == Outcome::CapExceeded) {
        m_metrics.capExceeded(record.account);
    }
    if (outcome == Outcome::Served) {
        m_log.write(logging::events::exchangeEnded,
                    {{"request", record.request},
                     {"account", record.account},
                     {"route", record.route},
                     {"runner", record.runner},
                     {"took", record.duration.count()},
                     {"turnWait", record.turnWait.count()},
                     {"firstByte", record.firstByte.count()},
                     {"busy", std::lround(record.estimatedLoad)},
                     {"told", record.reportedLoad.value_or(0)},
                     {"urgency", record.urgency},
                     {"cached", record.cachedTokens},
                     {"events", record.events},
                     {"framing", framingOf(record)},
                     {"ending", endingOf(record)},
                     {"cut", record.cutBytes}});
        return;
    }
    m_log.write(logging::events::exchangeFailed,
                {{"request", record.request},
                 {"account", record.account},
                 {"outcome", name},
                 {"status", status},
                 {"reason", record.reason},
                 {"digest", record.digest},
                 {"route", record.route},
                 {"routing", record.routing},
                 {"runner", record.runner},
                 {"sends", record.attempts},
                 {"took", record.duration.count()},
                 {"turnWait", record.turnWait.count()},
                 {"busy", std::lround(record.estimatedLoad)},
                 {"told", record.reportedLoad.value_or(0)},
                 {"urgency", record.urgency},
                 {"events", record.events},
                 {"framing", framingOf(record)},
                 {"ending", endingOf(record)},
                 {"cut", record.cutBytes}});
}

void ExchangeLog::attemptFailed(const ExchangeRecord &record, const dispatch::Placement &placement,
                                const std::string &reason)
{
    m_metrics.attemptFailed(record.route, reasonClass(reason));
    m_log.write(logging::events::attemptFailed,
                {{"request", record.request},
                 {"runner", placement.id.value()},
                 {"address", wire::toString(placement.address)},
                 {"busy", std::lround(placement.estimatedLoad)},
                 {"digest", record.digest},
                 {"framing", framingOf(record)},
                 {"ending", endingOf(record)},
                 {"cut", record.cutBytes},
                 {"reason", reason}});
}

void ExchangeLog::secondTry(const ExchangeRecord &record, const dispatch::Placement &first,
                            const dispatch::Placement &second, base::Milliseconds waited)
{
    m_log.write(logging::events::secondTry,
                {{"request", record.request},
                 {"route", record.route},
                 {"first", first.id.value()},
                 {"second", second.id.value()},
                 {"waited", waited.count()}});
}

}
