#include "runner/enginepace.h"

namespace briarhinge::runner
{

namespace
{

/** Weight of the latest measurement in the moving averages. */
constexpr double newestWeight = 0.05;
/** The time to the first token of shorter prompts is dominated by the engine's step time rather than by prefill. */
constexpr std::uint64_t minMeasuredPromptTokens = 64;
/** Prefill time per token that is assumed until a prompt was measured. */
constexpr double defaultPrefillMs = 0.05;

void updateAverage(double &average, double value)
{
    average = average == 0 ? value : average + newestWeight * (value - average);
}

}

void EnginePace::recordTokenGap(base::Milliseconds gap)
{
    updateAverage(m_decodeMsPerToken, static_cast<double>(gap.count()));
}

void EnginePace::recordPrefill(base::Tokens uncached, base::Milliseconds time)
{
    if (uncached.value() >= minMeasuredPromptTokens) {
        updateAverage(m_prefillMsPerToken, static_cast<double>(time.count()) / static_cast<double>(uncached.value()));
    }
}

double EnginePace::decodeMsPerToken() const
{
    return m_decodeMsPerToken;
}

double EnginePace::prefillMsPerToken() const
{
    return m_prefillMsPerToken == 0 ? defaultPrefillMs : m_prefillMsPerToken;
}

}
