#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "http/headers.h"
#include "turns/turn.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::forwarding
{

/** Names one attempt of a caller at a request. */
using RequestId = base::StrongType<struct RequestIdTag, std::string>;

/** A part of a prompt that other requests may share. */
struct PromptPart
{
    std::string id;
    base::Tokens tokens;
};

/** A caller's request, read. */
struct CallerRequest
{
    RequestId id;
    std::string method;
    /** Path and query, as they came. */
    std::string target;
    std::string path;
    std::string host;
    std::string body;
    /** Fields that go on to the runner as they came. */
    http::Headers passedOn;
    /** How long the caller will wait; nothing when it did not say. */
    std::optional<base::Milliseconds> patience;
    /** Empty when the request belongs to no program. */
    base::ProgramId program;
    /** Tokens that all turns of the program may generate. */
    std::optional<base::Tokens> programBudget;
    /** Time until the program should be finished, negative once that is past; nothing when the caller did not say. */
    std::optional<base::Milliseconds> programTimeLeft;
    /** The turn that this one continues; empty at the start of a chain. */
    turns::TurnId previousTurn;
    base::Tokens promptTokens;
    /** Most tokens that the turn generates. */
    base::Tokens mostTokens;
    std::vector<PromptPart> promptParts;
};

/** Why a request can't be read. */
struct BadRequest
{
    std::string reason;
};

/** How urgent a request is for a runner that orders its queue; 0 comes first. */
using Urgency = base::StrongType<struct UrgencyTag, std::uint32_t>;

/** What a runner told of its load with an answer. */
struct LoadSeen
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** The head of a runner's answer, read. */
struct RunnerAnswer
{
    unsigned status = 0;
    /** The request has not run and will not run there. */
    bool isNotRun = false;
    /** Another runner has the address now. */
    bool isOtherRunner = false;
    /** The runner vouches for the answer; nothing else does. */
    bool isSigned = false;
    bool isEventStream = false;
    /** The request that it answers; empty when the runner did not say. */
    RequestId request;
    std::optional<LoadSeen> load;
    /** How long the runner keeps the connection open without a request. */
    std::optional<base::Milliseconds> keepAlive;
    /** Fields that go on to the caller as they came. */
    http::Headers passedOn;
};

}
