#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace briarhinge::placement
{

/** Maximum numbers of concurrent calls through one entry. */
struct CallBounds
{
    std::size_t perAccount = 0;
    /** Limit for a root program together with all its sub-programs. */
    std::size_t perProgram = 0;
    std::size_t total = 0;
};

/** The origin of a call and its priority. */
struct CallSource
{
    base::AccountId account;
    base::ProgramId root;
    std::int32_t priority = 0;
};

/**
 * Admission control of an entry: refuses calls beyond its bounds, those of the lowest priority first. Not thread-safe.
 *
 * At the total bound a call is admitted only if a call of a lower priority is in flight, and only up to twice the
 * bound. The runner process then queues or refuses the call of the lower priority.
 */
class CallLimits
{
public:
    /** @param bounds maximum numbers of concurrent calls */
    explicit CallLimits(const CallBounds &bounds);

    /**
     * Admits and counts a call, or refuses it.
     *
     * @param source origin and priority of the call
     * @return the reason for a refusal; nothing when the call was admitted
     */
    std::optional<std::string> admit(const CallSource &source);

    /**
     * @param priority a priority
     * @return whether a call of a lower priority is in flight
     */
    bool outranksAny(std::int32_t priority) const;

    /**
     * Records that an admitted call ended.
     *
     * @param source origin and priority that were passed to admit()
     */
    void recordCallEnded(const CallSource &source);

private:
    const CallBounds m_bounds;
    std::size_t m_total = 0;
    std::map<base::AccountId, std::size_t> m_accounts;
    std::map<base::ProgramId, std::size_t> m_programs;
    std::map<std::int32_t, std::size_t> m_priorities;
};

}
