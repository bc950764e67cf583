#pragma once

#include "base/units.h"
#include "http/responseend.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace briarhinge::requests
{

/** Result of an exchange. */
enum class Outcome {
    Served,
    /** The runner responded with an error of its own. */
    RunnerFailure,
    /** No runner has executed the request; the caller may retry. */
    Refused,
    /** The client account is beyond its quota; the caller may retry. */
    CapExceeded,
    /** The request has crashed too many runners and is not run. */
    Quarantined,
    /** The request is invalid and cannot be served. */
    Rejected,
    BudgetSpent,
    /** The request may have been executed. */
    Unknown,
    TimedOut,
    CallerLeft,
    /** The response ended prematurely. */
    BrokenOff,
};

/** Details of an exchange for its log line. */
struct ExchangeRecord
{
    std::string request;
    std::string route;
    std::uint64_t routing = 0;
    /** Client account of the caller; empty when there is none. */
    std::string account;
    /** Runner of the last attempt. */
    std::string runner;
    /** Estimated number of requests on that runner when it was selected. */
    double estimatedLoad = 0;
    /** Urgency in the runner's queue, 0 being the most urgent. */
    std::uint32_t urgency = 0;
    /**
     * Running and queued requests that the runner reported with its response; empty when it did not report its load.
     */
    std::optional<std::uint32_t> reportedLoad;
    /** Number of prompt tokens that were expected to be in the runner's cache. */
    std::uint64_t cachedTokens = 0;
    int attempts = 0;
    std::size_t events = 0;
    base::Milliseconds turnWait{0};
    base::Milliseconds firstByte{0};
    base::Milliseconds duration{0};
    std::string reason;
    /**
     * Digest of what the request asks for, the same in all attempts of all callers; empty until a connection was lost.
     */
    std::string digest;
    /** How the runner's last response ended; empty if none has ended. */
    std::optional<http::ResponseEnd> responseEnd;
    /** Bytes of that response after its last whole event. */
    std::size_t cutBytes = 0;
};

}
