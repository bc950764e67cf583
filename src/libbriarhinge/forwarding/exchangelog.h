#pragma once

#include "base/units.h"
#include "dispatch/runnerboard.h"
#include "logging/eventlog.h"
#include "metrics/exchangemetrics.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace briarhinge::forwarding
{

/** How an exchange ended. */
enum class Outcome {
    Served,
    /** The runner answered with a failure of its own. */
    RunnerFailure,
    /** Nothing ran; the caller may come again. */
    Refused,
    /** The request can't be served as it is. */
    Rejected,
    BudgetSpent,
    /** It may have run. */
    Unknown,
    TimedOut,
    CallerLeft,
    /** The answer ended in its middle. */
    BrokenOff,
};

/** What is told of an exchange in its line of the log. */
struct ExchangeStory
{
    std::string request;
    std::string route;
    std::uint64_t routing = 0;
    /** The runner of the last attempt. */
    std::string runner;
    /** Requests that were thought to be at that runner. */
    double busy = 0;
    /** Its place in the runner's queue, 0 first. */
    std::uint32_t urgency = 0;
    /** Requests that the runner itself told of with its answer, waiting ones included; nothing when it did not. */
    std::optional<std::uint32_t> told;
    /** Prompt tokens that were thought to be kept there. */
    std::uint64_t cached = 0;
    int sends = 0;
    std::size_t events = 0;
    base::Milliseconds turnWait{0};
    base::Milliseconds firstByte{0};
    base::Milliseconds took{0};
    std::string reason;
};

/** Writes the lines and counts the figures of exchanges. */
class ExchangeLog
{
public:
    /** @param log gets the lines @param metrics gets the figures */
    ExchangeLog(logging::EventLog &log, metrics::ExchangeMetrics &metrics);

    /** An exchange has ended. @param story what happened @param outcome how @param status the status, 0 without one */
    void ended(const ExchangeStory &story, Outcome outcome, unsigned status);

    /** An attempt came to nothing. @param story the exchange @param choice where @param reason why */
    void attemptFailed(const ExchangeStory &story, const dispatch::Choice &choice, const std::string &reason);

private:
    logging::EventLog &m_log;
    metrics::ExchangeMetrics &m_metrics;
};

}
