#include "dispatch/programadmission.h"

namespace briarhinge::dispatch
{

namespace
{

/** About half of a short program of three turns: until then, programs under way have ended and left their slots. */
constexpr base::Milliseconds retryDelay{500};

}

ProgramAdmission::ProgramAdmission(const AdmissionBounds &bounds)
    : m_bounds(bounds)
{
}

std::optional<base::Milliseconds> ProgramAdmission::refusal(const requests::Route &route,
                                                            std::optional<double> loadPerSlot) const
{
    const double bound = route.priority == 0 ? m_bounds.mostUrgent : m_bounds.others;
    return loadPerSlot && *loadPerSlot > bound ? std::optional(retryDelay) : std::nullopt;
}

}
