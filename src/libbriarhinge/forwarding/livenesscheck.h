#pragma once

#include "forwarding/prober.h"

#include <functional>
#include <utility>

namespace briarhinge::forwarding
{

/** Finds out whether a runner that closed a connection still lives, or closed it because its process ended. */
template <Prober ProberType>
class LivenessCheck
{
public:
    /** Receives whether the runner lives; one that cannot be reached counts as ended. */
    using ResultHandler = std::function<void(bool)>;

    /** @param prober finds out whether runners still listen */
    explicit LivenessCheck(ProberType &prober)
        : m_prober(prober)
    {
    }

    /**
     * Checks a runner whose connection has just been closed.
     *
     * @param address the address of the runner
     * @param onResult called once, later
     */
    void check(const wire::Address &address, ResultHandler onResult)
    {
        probe(address, maxProbes, std::move(onResult));
    }

private:
    /** The first packet of a connection may be lost. */
    static constexpr int maxProbes = 2;

    void probe(const wire::Address &address, int probesLeft, ResultHandler onResult)
    {
        m_prober.probe(address, socketCloseTime,
                       [this, address, probesLeft, onResult = std::move(onResult)](Reachability reachability) {
                           if (reachability == Reachability::Silent && probesLeft > 1) {
                               probe(address, probesLeft - 1, onResult);
                               return;
                           }
                           onResult(reachability == Reachability::Reachable);
                       });
    }

    ProberType &m_prober;
};

}
