#pragma once

#include "accounts/account.h"
#include "base/ids.h"
#include "base/units.h"
#include "http/headers.h"
#include "turns/turn.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::requests
{

/** Identifies one attempt of a caller to send a request. */
using RequestId = base::StrongType<struct RequestIdTag, std::string>;

/** A block of a prompt that other requests may share. */
struct PromptBlock
{
    std::string id;
    base::Tokens tokens;
};

/** A caller's decoded request. */
struct CallerRequest
{
    RequestId id;
    std::string method;
    /** Path and query, unmodified. */
    std::string target;
    std::string path;
    std::string host;
    std::string body;
    /** Header fields that are forwarded to the runner unmodified. */
    http::Headers forwardedHeaders;
    accounts::Credentials credentials;
    /** Whether the runner gets the credentials: where no client accounts are declared, they are not for this system. */
    bool forwardsCredentials = false;
    /** The client account that the request is handled for, as the runner is told; empty for none. */
    base::AccountId account;
    /** The caller's timeout; empty when the caller did not state one. */
    std::optional<base::Milliseconds> timeout;
    /** Empty when the request does not belong to a program. */
    base::ProgramId program;
    /** Maximum number of tokens that all turns of the program together may generate. */
    std::optional<base::Tokens> programBudget;
    /** Time left until the program's deadline, negative once it has passed; empty when the caller did not state one. */
    std::optional<base::Milliseconds> programTimeLeft;
    /** The turn that this one continues; empty at the start of a chain. */
    turns::TurnId previousTurn;
    base::Tokens promptTokens;
    /** Maximum number of tokens that the turn may generate. */
    base::Tokens maxTokens;
    std::vector<PromptBlock> promptBlocks;
};

/** Returned when a request cannot be decoded. */
struct BadRequest
{
    std::string reason;
};

/** Urgency of a request in the queue of a runner; 0 is the most urgent. */
using Urgency = base::StrongType<struct UrgencyTag, std::uint32_t>;

/** Load that a runner reports with a response. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** A number of requests a second. */
using RequestRate = base::StrongType<struct RequestRateTag, double>;

/** What a response says of the rate at which its runner takes requests. */
struct StatedRate
{
    /** Requests that it takes from all entries together; empty when it takes any number. */
    std::optional<RequestRate> limit;
};

/** Decoded head of a runner's response. */
struct RunnerResponse
{
    unsigned status = 0;
    /** Whether the runner has not executed the request and is not going to. */
    bool isNotRun = false;
    /** Whether another runner now has the address. */
    bool isFromOtherRunner = false;
    /** Whether the response carries the stamp of the runner; without it, a success cannot be trusted. */
    bool isSigned = false;
    bool isEventStream = false;
    /** Whether the runner says that it is shutting down. */
    bool isLeaving = false;
    /** Request that is answered; empty when the runner did not state it. */
    RequestId request;
    std::optional<ReportedLoad> load;
    /** Empty when the response says nothing that holds for the runner that was asked. */
    std::optional<StatedRate> statedRate;
    /** How long the runner keeps an idle connection open; empty when it did not state it. */
    std::optional<base::Milliseconds> keepAliveTimeout;
    /** Header fields that are forwarded to the caller unmodified. */
    http::Headers forwardedHeaders;
};

}
