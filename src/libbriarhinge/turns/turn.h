#pragma once

#include "base/strongtype.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace briarhinge::turns
{

/** Identifies a turn; equal to the id of the request that produced it. */
using TurnId = base::StrongType<struct TurnIdTag, std::string>;
/** Identifies one attempt at a turn; becomes the turn's id if the attempt completes. */
using AttemptId = base::StrongType<struct AttemptIdTag, std::string>;
/** Identifies one incarnation of a turn store's disk; a store that starts with an empty disk gets a new one. */
using DiskId = base::StrongType<struct DiskIdTag, std::string>;
/** Version of the turn store group; a group with a higher epoch replaces one with a lower epoch. */
using GroupEpoch = base::StrongType<struct GroupEpochTag, std::uint64_t>;

/** A completed turn. */
struct Turn
{
    TurnId id;
    /** The turn that this one continues; empty for the first turn of a chain. */
    TurnId parent;
    /** Input as sent by the caller. */
    std::string input;
    /** The data of each event of the response, each followed by a line feed. */
    std::string output;
    /** Id of the runner whose engine ran the turn. */
    std::string engine;

    /** @return the size of the turn as it is sent and written, in bytes */
    std::size_t bytes() const
    {
        return id.value().size() + parent.value().size() + input.size() + output.size() + engine.size();
    }
};

}
