#include "dispatch/programadmission.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** About half of a short program of three turns: until then, programs under way have ended and left their slots. */
constexpr base::Milliseconds retryDelay{500};
/** What an account has used beyond the mean part lowers its bound by this share of it, and raises it when it has used less. */
constexpr double weightOfUse = 0.25;
constexpr double smallestShare = 0.5;
constexpr double largestShare = 1.2;

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
    const double share = std::clamp(1 + (1 - *relativeUse) * weightOfUse, smallestShare, largestShare);
    return *loadPerSlot > bound * share ? std::optional(retryDelay) : std::nullopt;
}

}
