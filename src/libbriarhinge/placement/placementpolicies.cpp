#include "placement/placementpolicies.h"

#include <cmath>

namespace briarhinge::placement
{

namespace
{

template <class Cost>
std::size_t cheapestOption(std::span<const PlacementOption> options, std::size_t first, Cost cost)
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

std::size_t homeIndex(std::span<const PlacementOption> options)
{
    std::size_t index = 0;
    while (index < options.size() && !options[index].isHome) {
        ++index;
    }
    return index;
}

}

std::size_t RoundRobin::choose(const PolicyInput &, std::span<const PlacementOption> options)
{
    return m_next++ % options.size();
}

std::size_t LeastOutstanding::choose(const PolicyInput &, std::span<const PlacementOption> options)
{
    return cheapestOption(options, m_next++, [](const PlacementOption &option) {
        return option.view.outstanding;
    });
}

std::size_t Sticky::choose(const PolicyInput &input, std::span<const PlacementOption> options)
{
    const std::size_t home = homeIndex(options);
    return home < options.size() ? home : m_fallback.choose(input, options);
}

ExpectedTime::ExpectedTime(const ExpectedTimeParameters &parameters)
    : m_parameters(parameters)
{
}

std::size_t ExpectedTime::choose(const PolicyInput &input, std::span<const PlacementOption> options) const
{
    const std::size_t best = cheapestOption(options, 0, [&](const PlacementOption &option) {
        return expectedCompletionMs(input, option);
    });
    const std::size_t home = homeIndex(options);
    if (home == options.size() || home == best) {
        return best;
    }
    const PlacementOption &target = options[best];
    const std::uint64_t lostTokens =
        options[home].cachedTokens.value() - std::min(options[home].cachedTokens, target.cachedTokens).value();
    const double gainMs = expectedCompletionMs(input, options[home]) - expectedCompletionMs(input, target);
    const double requiredGainMs =
        std::max(m_parameters.minMoveGainMs, m_parameters.minMoveGainFactor * prefillMs(target.view, lostTokens));
    return gainMs > requiredGainMs ? best : home;
}

double ExpectedTime::expectedCompletionMs(const PolicyInput &input, const PlacementOption &option) const
{
    const RunnerView &view = option.view;
    const auto running = static_cast<double>(std::min(
        view.estimatedLoad(), view.concurrencyLimit == 0 ? m_parameters.concurrencyLimit : view.concurrencyLimit));
    double total = expectedQueueWaitMs(view) + running * m_parameters.contentionFactor * callDurationMs(view);
    if (view.zone != input.zone) {
        total += m_parameters.crossZonePenaltyMs;
    }
    if (input.isModelCall) {
        const base::Tokens cachedTokens = std::min(option.cachedTokens, input.promptTokens);
        total += prefillMs(view, input.promptTokens.value() - cachedTokens.value());
    }
    if (!option.isHome) {
        total += view.homePrograms * m_parameters.homeProgramFactor * callDurationMs(view);
    }
    return total;
}

double ExpectedTime::expectedQueueWaitMs(const RunnerView &view) const
{
    const std::uint32_t limit = view.concurrencyLimit == 0 ? m_parameters.concurrencyLimit : view.concurrencyLimit;
    const std::uint32_t load = view.estimatedLoad();
    return load < limit ? 0 : (load - limit + 1) * callDurationMs(view) / limit;
}

double ExpectedTime::prefillMs(const RunnerView &view, std::uint64_t tokens) const
{
    const double perToken = view.prefillMsPerToken > 0 ? view.prefillMsPerToken : m_parameters.prefillMsPerToken;
    return perToken * static_cast<double>(tokens);
}

double ExpectedTime::callDurationMs(const RunnerView &view) const
{
    return view.meanCallDurationMs > 0 ? view.meanCallDurationMs : m_parameters.meanCallDurationMs;
}

}
