#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace briarhinge::placement
{

/** Calls that may be under way at once through one entry. */
struct CallBounds
{
    std::size_t perAccount = 0;
    /** For a root program with all its sub-programs. */
    std::size_t perProgram = 0;
    std::size_t total = 0;
};

/** Who makes a call, and how much it matters. */
struct CallSource
{
    base::AccountId account;
    base::ProgramId root;
    std::int32_t priority = 0;
};

/**
 * Refuses calls beyond the bounds of an entry, lowest priority first. Not synchronised.
 *
 * At the total bound, a call is let in only if one of a lower priority is under way, and only up to twice the bound:
 * the runner process then lets the lower one wait or refuses it.
 */
class CallLimits
{
public:
    /** @param bounds the bounds */
    explicit CallLimits(const CallBounds &bounds);

    /** @param source who makes the call @return why it is refused; nothing when it is let in and counted */
    std::optional<std::string> admit(const CallSource &source);

    /** @param priority a priority @return whether a call of a lower one is under way */
    bool outranksAny(std::int32_t priority) const;

    /** A call that was let in has ended. @param source as given to admit */
    void ended(const CallSource &source);

private:
    const CallBounds m_bounds;
    std::size_t m_total = 0;
    std::map<base::AccountId, std::size_t> m_accounts;
    std::map<base::ProgramId, std::size_t> m_programs;
    std::map<std::int32_t, std::size_t> m_priorities;
};

}
