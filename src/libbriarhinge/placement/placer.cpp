#include "placement/placer.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::placement
{

namespace
{

/** Maximum number of prefix blocks that are tracked for each runner: 262,144 tokens. */
constexpr std::size_t maxBlocksOfRunner = 2048;

base::Milliseconds rounded(double milliseconds)
{
    return base::Milliseconds(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

}

Placer::Placer(ChosenPolicy policy, base::ZoneName zone)
    : m_zone(std::move(zone))
    , m_policy(policy)
    , m_prefixes(maxBlocksOfRunner)
{
}

Placement Placer::place(const PlacementSubject &subject, const std::vector<Candidate> &candidates)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<PlacementOption> options = optionsOf(subject, candidates);
    const PlacementRequest request{m_zone, subject.promptTokens, subject.isModelCall};
    const std::size_t chosen = std::visit(
        [&](auto &policy) {
            return policy.choose(request, options);
        },
        m_policy);
    return {candidates[chosen], options[chosen].cached, rounded(m_estimate.expectedMs(request, options[chosen])),
            rounded(m_estimate.waitMs(options[chosen].view)), subject.isModelCall && !m_homes.home(subject.program)};
}

std::vector<Candidate> Placer::worthAsking(const PlacementSubject &subject, const std::vector<Candidate> &candidates,
                                           std::size_t most)
{
    const std::lock_guard lock(m_mutex);
    const bool isPlacedOnce = std::holds_alternative<ExpectedTime>(m_policy) && subject.isModelCall;
    if (!isPlacedOnce || candidates.size() < 2 || most < 2) {
        return {};
    }
    const std::vector<PlacementOption> options = optionsOf(subject, candidates);
    if (std::any_of(options.begin(), options.end(), [](const PlacementOption &option) {
            return option.isHome;
        })) {
        return {};
    }
    const PlacementRequest request{m_zone, subject.promptTokens, true};
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t index = 0; index < options.size(); ++index) {
        ranked.emplace_back(m_estimate.expectedMs(request, options[index]), index);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Candidate> best;
    for (const auto &[expectedMs, index] : ranked) {
        if (best.size() < most) {
            best.push_back(candidates[index]);
        }
    }
    return best;
}

void Placer::sent(const PlacementSubject &subject, const std::string &runner)
{
    if (!subject.isModelCall) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_homes.settle(subject.program, runner);
    m_prefixes.sent(runner, subject.chain);
}

void Placer::observed(const std::string &runner, base::Tokens expected, base::Tokens found)
{
    const std::lock_guard lock(m_mutex);
    m_prefixes.observed(runner, expected, found);
}

void Placer::cacheLost(const std::string &runner)
{
    const std::lock_guard lock(m_mutex);
    m_prefixes.forget(runner);
}

std::optional<std::string> Placer::release(const base::ProgramId &program)
{
    const std::lock_guard lock(m_mutex);
    return m_homes.remove(program);
}

std::vector<PlacementOption> Placer::optionsOf(const PlacementSubject &subject,
                                               const std::vector<Candidate> &candidates)
{
    const auto home = subject.isModelCall ? m_homes.home(subject.program) : std::nullopt;
    std::vector<PlacementOption> options;
    options.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        PlacementOption option{candidate.view, m_prefixes.cached(candidate.view.name, subject.chain),
                               home == candidate.view.name};
        option.view.programs = m_homes.programs(candidate.view.name);
        options.push_back(std::move(option));
    }
    return options;
}

}
