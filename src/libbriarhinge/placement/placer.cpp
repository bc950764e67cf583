#include "placement/placer.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::placement
{

namespace
{

/** Maximum number of prefix blocks that are tracked for each runner: 262,144 tokens. */
constexpr std::size_t maxBlocksPerRunner = 2048;

base::Milliseconds roundUp(double milliseconds)
{
    return base::Milliseconds(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

}

Placer::Placer(ConfiguredPolicy policy, base::ZoneName zone)
    : m_zone(std::move(zone))
    , m_policy(policy)
    , m_prefixes(maxBlocksPerRunner)
{
}

Placement Placer::place(const PlacementRequest &request, const std::vector<Candidate> &candidates)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<PlacementOption> options = makeOptions(request, candidates);
    const PolicyInput input{m_zone, request.promptTokens, request.isModelCall};
    const std::size_t chosen = std::visit(
        [&](auto &policy) {
            return policy.choose(input, options);
        },
        m_policy);
    return {candidates[chosen], options[chosen].cachedTokens,
            roundUp(m_estimator.expectedCompletionMs(input, options[chosen])),
            roundUp(m_estimator.expectedQueueWaitMs(options[chosen].view)),
            request.isModelCall && !m_homes.home(request.program)};
}

std::vector<Candidate> Placer::probeTargets(const PlacementRequest &request, const std::vector<Candidate> &candidates,
                                            std::size_t maxTargets)
{
    const std::lock_guard lock(m_mutex);
    const bool usesProbes = std::holds_alternative<ExpectedTime>(m_policy) && request.isModelCall;
    if (!usesProbes || candidates.size() < 2 || maxTargets < 2) {
        return {};
    }
    const std::vector<PlacementOption> options = makeOptions(request, candidates);
    if (std::any_of(options.begin(), options.end(), [](const PlacementOption &option) {
            return option.isHome;
        })) {
        return {};
    }
    const PolicyInput input{m_zone, request.promptTokens, true};
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t index = 0; index < options.size(); ++index) {
        ranked.emplace_back(m_estimator.expectedCompletionMs(input, options[index]), index);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Candidate> best;
    for (const auto &[expectedCompletionMs, index] : ranked) {
        if (best.size() < maxTargets) {
            best.push_back(candidates[index]);
        }
    }
    return best;
}

void Placer::recordSent(const PlacementRequest &request, const std::string &runner)
{
    if (!request.isModelCall) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_homes.setHome(request.program, runner);
    m_prefixes.recordSent(runner, request.chain);
}

void Placer::recordCachedTokens(const std::string &runner, base::Tokens expected, base::Tokens found)
{
    const std::lock_guard lock(m_mutex);
    m_prefixes.recordCachedTokens(runner, expected, found);
}

void Placer::invalidateCache(const std::string &runner)
{
    const std::lock_guard lock(m_mutex);
    m_prefixes.removeRunner(runner);
}

std::optional<std::string> Placer::release(const base::ProgramId &program)
{
    const std::lock_guard lock(m_mutex);
    return m_homes.remove(program);
}

std::vector<PlacementOption> Placer::makeOptions(const PlacementRequest &request,
                                                 const std::vector<Candidate> &candidates)
{
    const auto home = request.isModelCall ? m_homes.home(request.program) : std::nullopt;
    std::vector<PlacementOption> options;
    options.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        PlacementOption option{candidate.view, m_prefixes.cachedTokens(candidate.view.name, request.chain),
                               home == candidate.view.name};
        option.view.homePrograms = m_homes.programCount(candidate.view.name);
        options.push_back(std::move(option));
    }
    return options;
}

}
