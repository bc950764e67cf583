#pragma once

#include "dispatch/runner.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace briarhinge::dispatch
{

/**
 * Incarnations of runners that have said themselves, in an answer, that they leave. That is never taken back: neither by
 * another answer nor by a registration of the same or of an earlier start.
 *
 * Forgets a runner once it is registered with a later start, and the oldest of many whose registration is gone.
 */
class LeavingRunners
{
public:
    /** @param maxGone maximum number of runners without registration that are remembered */
    explicit LeavingRunners(std::size_t maxGone);

    /**
     * Records that an incarnation leaves.
     *
     * @param id the runner
     * @param startedAt start of the incarnation in Unix milliseconds, 0 when unknown
     * @param isRegistered whether the runner is registered at present
     * @return whether that is new
     */
    bool add(const RunnerId &id, std::uint64_t startedAt, bool isRegistered);

    /**
     * Records a registration.
     *
     * @param id the runner
     * @param startedAt start of the incarnation in Unix milliseconds, 0 when unknown
     */
    void recordRegistration(const RunnerId &id, std::uint64_t startedAt);

    /** @param id a runner whose registration is gone */
    void recordRemoval(const RunnerId &id);

    /**
     * @param id a runner
     * @param startedAt start of an incarnation in Unix milliseconds, 0 when unknown
     * @return whether this incarnation, or a later one, has said that it leaves
     */
    bool contains(const RunnerId &id, std::uint64_t startedAt) const;

    /** @return number of runners that are remembered */
    std::size_t size() const;

private:
    struct Incarnation
    {
        std::uint64_t startedAt = 0;
        bool isRegistered = false;
    };

    void trim();

    const std::size_t m_maxGone;
    std::map<RunnerId, Incarnation> m_runners;
    /** Runners in the order in which their registrations went; some may have come back since. */
    std::deque<RunnerId> m_gone;
};

}
