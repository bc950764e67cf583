#include "dispatch/programadmission.h"

namespace briarhinge::dispatch
{

namespace
{

/** About half of a short program of three turns: until then, programs under way have ended and left their slots. */
constexpr base::Milliseconds retryDelay{500};
/** Part of the room up to the bound that is left when it begins to be shared. */
constexpr double shortageBegins = 0.4;
/** Multiple of the others' use from which an account is refused as soon as room is short. */
constexpr double largestUse = 2;

}

ProgramAdmission::ProgramAdmission(const AdmissionBounds &bounds)
    : m_bounds(bounds)
{
}

std::optional<base::Milliseconds> ProgramAdmission::refusal(std::uint32_t priority, std::optional<double> loadPerSlot,
                                                            std::optional<double> relativeUse) const
{
    if (!loadPerSlot) {
        return std::nullopt;
    }
    const bool isMostUrgent = priority == 0;
    if (!relativeUse) {
        const double bound = isMostUrgent ? m_bounds.mostUrgent : m_bounds.others;
        return *loadPerSlot > bound ? std::optional(retryDelay) : std::nullopt;
    }
    const double bound = isMostUrgent ? m_bounds.sharedMostUrgent : m_bounds.sharedOthers;
    const double roomLeft = (bound - *loadPerSlot) / (bound * shortageBegins);
    const bool isRefused = roomLeft < 1 && *relativeUse > roomLeft * largestUse;
    return isRefused ? std::optional(retryDelay) : std::nullopt;
}

}
