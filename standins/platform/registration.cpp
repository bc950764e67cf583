#include "platform/registration.h"

#include <nlohmann/json.hpp>

namespace standins::platform
{

std::string runnerRegistration(const std::string &service, const briarhinge::wire::Address &address,
                               std::uint64_t startedAt, bool isDraining)
{
    return nlohmann::json{{"service", service},
                          {"address", briarhinge::wire::toString(address)},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", 4},
                          {"state", isDraining ? "draining" : "ready"},
                          {"cold_remaining_ms", 0},
                          {"sequence", isDraining ? 2 : 1},
                          {"born", startedAt}}
        .dump();
}

}
