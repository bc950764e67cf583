#include "dispatch/secondtries.h"

#include <algorithm>
#include <vector>

namespace briarhinge::dispatch
{

namespace
{

/** Unused allowance that is kept, in second tries: a runner that turns slow holds several requests of an entry. */
constexpr double maxAllowance = 5;
/**
 * Part of the limit that is wanted on average, so that some of it is left when a runner turns slow. The requests that are
 * answered before a second try are all but that part of the limit.
 */
constexpr double wantedPartOfLimit = 0.5;
/** Multiple of the median that is late also when so many runners are slow that more answers take that long. */
constexpr int lateMultiple = 6;
/** Samples after which that time is computed anew. */
constexpr std::size_t samplesPerUpdate = 16;
constexpr std::size_t minSamples = 32;
/** Load per slot from which on second tries would make first ones wait. */
constexpr double maxLoadPerSlot = 0.7;

}

std::string_view decisionName(SecondTryDecision decision)
{
    switch (decision) {
    case SecondTryDecision::Send:
        return "sent";
    case SecondTryDecision::LimitReached:
        return "limit-reached";
    case SecondTryDecision::NoRoom:
        break;
    }
    return "no-room";
}

SecondTries::SecondTries(double maxShare)
    : m_maxShare(maxShare)
{
}

std::optional<base::Milliseconds> SecondTries::requestSent(const requests::RouteName &route)
{
    if (m_maxShare <= 0) {
        return std::nullopt;
    }
    m_allowance = std::min(m_allowance + m_maxShare, maxAllowance);
    const auto found = m_durations.find(route);
    return found == m_durations.end() ? std::nullopt : found->second.late;
}

void SecondTries::requestAnswered(const requests::RouteName &route, base::Milliseconds duration)
{
    if (m_maxShare <= 0) {
        return;
    }
    Durations &durations = m_durations[route];
    durations.samples[durations.count % Durations::capacity] = static_cast<std::int32_t>(duration.count());
    ++durations.count;
    if (durations.count < minSamples || durations.count % samplesPerUpdate != 0) {
        return;
    }
    const std::size_t known = std::min(durations.count, Durations::capacity);
    std::vector<std::int32_t> sorted(durations.samples.begin(),
                                     durations.samples.begin() + static_cast<std::ptrdiff_t>(known));
    std::sort(sorted.begin(), sorted.end());
    const auto quantile = [&sorted](double part) {
        return sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * part)];
    };
    durations.late = base::Milliseconds(
        std::clamp(quantile(1 - m_maxShare * wantedPartOfLimit), 1, std::max(1, quantile(0.5) * lateMultiple)));
}

SecondTryDecision SecondTries::decide(std::optional<double> loadPerSlot)
{
    if (loadPerSlot && *loadPerSlot > maxLoadPerSlot) {
        return SecondTryDecision::NoRoom;
    }
    if (m_allowance < 1) {
        return SecondTryDecision::LimitReached;
    }
    m_allowance -= 1;
    return SecondTryDecision::Send;
}

}
