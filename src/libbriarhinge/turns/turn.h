#pragma once

#include "base/strongtype.h"

#include <cstdint>
#include <string>

namespace briarhinge::turns
{

/** Names a turn: the id of the request that made it. */
using TurnId = base::StrongType<struct TurnIdTag, std::string>;
/** Names one attempt of a caller at a turn; becomes the turn's id if it ends whole. */
using AttemptId = base::StrongType<struct AttemptIdTag, std::string>;
/** Names one stay of a turn store on one disk: a new one when it starts with an empty disk. */
using DiskId = base::StrongType<struct DiskIdTag, std::string>;
/** Number of a group of turn stores; a higher one replaces a lower one. */
using GroupEpoch = base::StrongType<struct GroupEpochTag, std::uint64_t>;

/** A finished turn. */
struct Turn
{
    TurnId id;
    /** The turn that it continues; empty at the start of a chain. */
    TurnId parent;
    /** What the caller sent. */
    std::string input;
    /** The data of each event of the answer, each followed by a line feed. */
    std::string output;
    /** Id of the engine that ran it. */
    std::string engine;
};

}
