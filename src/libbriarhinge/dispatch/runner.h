#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "requests/routing.h"
#include "wire/address.h"

#include <cstdint>
#include <string>

namespace briarhinge::dispatch
{

/** Identifies a runner. A restarted runner may reuse its id. */
using RunnerId = base::StrongType<struct RunnerIdTag, std::string>;

/** A runner's registration. */
struct RegisteredRunner
{
    RunnerId id;
    requests::ServiceName service;
    wire::Address address;
    base::ZoneName zone;
    /** Number of requests that the runner processes concurrently. */
    std::uint32_t slots = 0;
    /** Whether the runner is shutting down and accepts no new requests. */
    bool isDraining = false;
    /**
     * Start time in Unix milliseconds, 0 when unknown. A later start under the same id means that the runner has lost
     * its state.
     */
    std::uint64_t startedAt = 0;
    /** Number of registrations since the start. */
    std::uint64_t sequence = 0;
};

}
