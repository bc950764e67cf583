#include "placement/placementpolicies.h"

#include <cmath>

namespace briarhinge::placement
{

namespace
{

template <class Cost>
std::size_t cheapest(std::span<const PlacementOption> options, std::size_t first, Cost cost)
{
    std::size_t best = first % options.size();
    for (std::size_t step = 1; step < options.size(); ++step) {
        const std::size_t index = (first + step) % options.size();
        if (cost(options[index]) < cost(options[best])) {
            best = index;
        }
    }
    return best;
}

std::size_t homeOf(std::span<const PlacementOption> options)
{
    std::size_t index = 0;
    while (index < options.size() && !options[index].isHome) {
        ++index;
    }
    return index;
}

}

std::size_t RoundRobin::choose(const PlacementRequest &, std::span<const PlacementOption> options)
{
    return m_next++ % options.size();
}

std::size_t LeastOutstanding::choose(const PlacementRequest &, std::span<const PlacementOption> options)
{
    return cheapest(options, m_next++, [](const PlacementOption &option) {
        return option.view.outstanding;
    });
}

std::size_t Sticky::choose(const PlacementRequest &request, std::span<const PlacementOption> options)
{
    const std::size_t home = homeOf(options);
    return home < options.size() ? home : m_first.choose(request, options);
}

ExpectedTime::ExpectedTime(const ExpectedTimeWeights &weights)
    : m_weights(weights)
{
}

std::size_t ExpectedTime::choose(const PlacementRequest &request, std::span<const PlacementOption> options) const
{
    const std::size_t best = cheapest(options, 0, [&](const PlacementOption &option) {
        return expectedMs(request, option);
    });
    const std::size_t home = homeOf(options);
    if (home == options.size() || home == best) {
        return best;
    }
    const PlacementOption &there = options[best];
    const std::uint64_t lost = options[home].cached.value() - std::min(options[home].cached, there.cached).value();
    const double gainMs = expectedMs(request, options[home]) - expectedMs(request, there);
    const double neededMs = std::max(m_weights.leastMoveGainMs, m_weights.moveGain * prefillMs(there.view, lost));
    return gainMs > neededMs ? best : home;
}

double ExpectedTime::expectedMs(const PlacementRequest &request, const PlacementOption &option) const
{
    const RunnerView &view = option.view;
    const auto running = static_cast<double>(std::min(view.busy(), view.limit == 0 ? m_weights.limit : view.limit));
    double total = waitMs(view) + running * m_weights.contention * callMs(view);
    if (view.zone != request.zone) {
        total += m_weights.otherZoneMs;
    }
    if (request.isModelCall) {
        const base::Tokens cached = std::min(option.cached, request.promptTokens);
        total += prefillMs(view, request.promptTokens.value() - cached.value());
    }
    if (!option.isHome) {
        total += view.programs * m_weights.programLoad * callMs(view);
    }
    return total;
}

double ExpectedTime::waitMs(const RunnerView &view) const
{
    const std::uint32_t limit = view.limit == 0 ? m_weights.limit : view.limit;
    const std::uint32_t busy = view.busy();
    return busy < limit ? 0 : (busy - limit + 1) * callMs(view) / limit;
}

double ExpectedTime::prefillMs(const RunnerView &view, std::uint64_t tokens) const
{
    const double perToken = view.prefillMsPerToken > 0 ? view.prefillMsPerToken : m_weights.prefillMsPerToken;
    return perToken * static_cast<double>(tokens);
}

double ExpectedTime::callMs(const RunnerView &view) const
{
    return view.meanCallMs > 0 ? view.meanCallMs : m_weights.meanCallMs;
}

}
