#include "runner/enginepace.h"

namespace briarhinge::runner
{

namespace
{

/** Weight of the latest measurement in the moving averages. */
constexpr double newestWeight = 0.05;
/** The time to the first token of shorter prompts is dominated by the engine's step time rather than by prefill. */
constexpr std::uint64_t shortestPromptTokens = 64;
/** Prefill time per token that is assumed until a prompt was measured. */
constexpr double firstPrefillMs = 0.05;

void smooth(double &mean, double value)
{
    mean = mean == 0 ? value : mean + newestWeight * (value - mean);
}

}

void EnginePace::tokenArrived(base::Milliseconds gap)
{
    smooth(m_decodeMs, static_cast<double>(gap.count()));
}

void EnginePace::promptRead(base::Tokens uncached, base::Milliseconds time)
{
    if (uncached.value() >= shortestPromptTokens) {
        smooth(m_prefillMs, static_cast<double>(time.count()) / static_cast<double>(uncached.value()));
    }
}

double EnginePace::decodeMsPerToken() const
{
    return m_decodeMs;
}

double EnginePace::prefillMsPerToken() const
{
    return m_prefillMs == 0 ? firstPrefillMs : m_prefillMs;
}

}
