#include "forwarding/exchangelog.h"

#include <cmath>
#include <string_view>

namespace briarhinge::forwarding
{

namespace
{

std::string_view wordFor(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::RunnerFailure:
        return "runner-failure";
    case Outcome::Refused:
        return "refused";
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

}

ExchangeLog::ExchangeLog(logging::EventLog &log, metrics::ExchangeMetrics &metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void ExchangeLog::ended(const ExchangeStory &story, Outcome outcome, unsigned status)
{
    const std::string word(wordFor(outcome));
    m_metrics.ended(story.route, word, story.took);
    if (outcome == Outcome::Served) {
        m_log.write(logging::events::exchangeEnded,
                    {{"request", story.request},
                     {"route", story.route},
                     {"runner", story.runner},
                     {"took", story.took.count()},
                     {"turnWait", story.turnWait.count()},
                     {"firstByte", story.firstByte.count()},
                     {"busy", std::lround(story.busy)},
                     {"told", story.told.value_or(0)},
                     {"urgency", story.urgency},
                     {"cached", story.cached},
                     {"events", story.events}});
        return;
    }
    m_log.write(logging::events::exchangeFailed,
                {{"request", story.request},
                 {"outcome", word},
                 {"status", status},
                 {"reason", story.reason},
                 {"route", story.route},
                 {"routing", story.routing},
                 {"runner", story.runner},
                 {"sends", story.sends},
                 {"took", story.took.count()},
                 {"turnWait", story.turnWait.count()},
                 {"busy", std::lround(story.busy)},
                 {"told", story.told.value_or(0)},
                 {"urgency", story.urgency},
                 {"events", story.events}});
}

void ExchangeLog::attemptFailed(const ExchangeStory &story, const dispatch::Choice &choice, const std::string &reason)
{
    m_metrics.attemptFailed(story.route, reasonClass(reason));
    m_log.write(logging::events::attemptFailed,
                {{"request", story.request},
                 {"runner", choice.id.value()},
                 {"address", wire::toString(choice.address)},
                 {"busy", std::lround(choice.busy)},
                 {"reason", reason}});
}

}
