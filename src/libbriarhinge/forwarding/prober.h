#pragma once

#include "base/units.h"
#include "forwarding/runnerprobe.h"
#include "wire/address.h"

#include <concepts>
#include <functional>

namespace briarhinge::forwarding
{

/** Finds out whether a process listens at an address. */
template <class T>
concept Prober = requires(T &prober, const wire::Address &address, base::Milliseconds delay,
                          std::function<void(Reachability)> onResult)
{
    {
        prober.probe(address, delay, std::move(onResult))
        } -> std::same_as<void>;
};

/** Time until a process that ended has closed all its sockets: they are closed one after the other. */
constexpr base::Milliseconds socketCloseTime{10};

}
