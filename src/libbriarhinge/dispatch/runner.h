#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "forwarding/routing.h"
#include "wire/address.h"

#include <cstdint>
#include <string>

namespace briarhinge::dispatch
{

/** Names one start of a runner; a runner may start again under its old id. */
using RunnerId = base::StrongType<struct RunnerIdTag, std::string>;

/** A runner as it registered itself. */
struct RegisteredRunner
{
    RunnerId id;
    forwarding::ServiceName service;
    wire::Address address;
    base::ZoneName zone;
    /** Requests that it processes at once. */
    std::uint32_t slots = 0;
    /** It is going to leave and takes no new requests. */
    bool isDraining = false;
    /** When it started, in Unix milliseconds; 0 when it did not say. A later one under the same id remembers nothing. */
    std::uint64_t startedAt = 0;
    /** Counts its registrations since the start. */
    std::uint64_t sequence = 0;
};

}
