#pragma once

#include "wire/address.h"

#include <cstdint>
#include <string>

namespace standins::platform
{

/**
 * @param service the service that the runner belongs to
 * @param address the address on which it listens
 * @param startedAt start of its incarnation in Unix milliseconds
 * @param isDraining whether it accepts no new requests
 * @return the registration of a runner as JSON, as written to the platform's store
 */
std::string runnerRegistration(const std::string &service, const briarhinge::wire::Address &address,
                               std::uint64_t startedAt, bool isDraining = false);

}
