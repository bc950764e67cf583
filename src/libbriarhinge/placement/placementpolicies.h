#pragma once

#include "placement/runnerview.h"

#include <concepts>
#include <cstddef>
#include <span>
#include <string>
#include <variant>

namespace briarhinge::placement
{

/** The properties of a call that a policy considers. */
struct PolicyInput
{
    base::ZoneName zone;
    base::Tokens promptTokens;
    bool isModelCall = true;
};

/** A runner that is eligible for the call. */
struct PlacementOption
{
    RunnerView view;
    /** Number of prompt tokens that are expected to be cached on the runner. */
    base::Tokens cachedTokens;
    /** Whether the program's last model call ran on the runner. */
    bool isHome = false;
};

/** Chooses a runner. There is at least one option; the result is an index into the options. */
template <class T>
concept PlacementPolicy = requires(T &policy, const PolicyInput &input, std::span<const PlacementOption> options)
{
    {
        policy.choose(input, options)
        } -> std::same_as<std::size_t>;
};

/** Chooses the runners in turn. */
class RoundRobin
{
public:
    /**
     * @param input the call to place
     * @param options the eligible runners, at least one
     * @return the index of the chosen option
     */
    std::size_t choose(const PolicyInput &input, std::span<const PlacementOption> options);

private:
    std::size_t m_next = 0;
};

/** Chooses the runner with the fewest calls of this entry in flight; ties are broken in turn. */
class LeastOutstanding
{
public:
    /**
     * @param input the call to place
     * @param options the eligible runners, at least one
     * @return the index of the chosen option
     */
    std::size_t choose(const PolicyInput &input, std::span<const PlacementOption> options);

private:
    std::size_t m_next = 0;
};

/**
 * Chooses the runner of the program's last model call, and for a new program the runner with the fewest calls in
 * flight.
 */
class Sticky
{
public:
    /**
     * @param input the call to place
     * @param options the eligible runners, at least one
     * @return the index of the chosen option
     */
    std::size_t choose(const PolicyInput &input, std::span<const PlacementOption> options);

private:
    LeastOutstanding m_fallback;
};

/** Parameters of the expected time estimate. */
struct ExpectedTimeParameters
{
    /** Prefill time of an uncached prompt token, in milliseconds, assumed until the runner reports its own. */
    double prefillMsPerToken = 0.1;
    /** Mean duration of a call, in milliseconds, assumed until a call has completed on the runner. */
    double meanCallDurationMs = 400;
    /** Number of concurrent calls on the upstream, assumed until the runner reports its own. */
    std::uint32_t concurrencyLimit = 8;
    /** Penalty in milliseconds for a runner in another zone than this entry. */
    double crossZonePenaltyMs = 2;
    /** Fraction of the mean call duration by which each running call delays a new one. */
    double contentionFactor = 0.05;
    /** Fraction of the mean call duration that each program whose home is the runner adds for a new program. */
    double homeProgramFactor = 0.05;
    /** A program moves only when the gain exceeds the time to prefill its lost cached tokens by this factor. */
    double minMoveGainFactor = 3;
    /** A program moves only when the gain exceeds this many milliseconds. */
    double minMoveGainMs = 200;
};

/**
 * Chooses the runner where the call is expected to finish first. A program leaves its home only for a large gain,
 * because its cached prompt has to be prefilled again elsewhere.
 */
class ExpectedTime
{
public:
    /** @param parameters parameters of the estimate */
    explicit ExpectedTime(const ExpectedTimeParameters &parameters = {});

    /**
     * @param input the call to place
     * @param options the eligible runners, at least one
     * @return the index of the chosen option
     */
    std::size_t choose(const PolicyInput &input, std::span<const PlacementOption> options) const;

    /**
     * @param input the call to place
     * @param option an eligible runner
     * @return the expected time until the call ends on that runner, in milliseconds, without the generation of its
     *     tokens, which is assumed to take equally long on all runners
     */
    double expectedCompletionMs(const PolicyInput &input, const PlacementOption &option) const;

    /**
     * @param view a runner
     * @return the expected time that a call waits in the queue of the runner, in milliseconds
     */
    double expectedQueueWaitMs(const RunnerView &view) const;

private:
    double prefillMs(const RunnerView &view, std::uint64_t tokens) const;
    double callDurationMs(const RunnerView &view) const;

    ExpectedTimeParameters m_parameters;
};

static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastOutstanding>);
static_assert(PlacementPolicy<Sticky>);
static_assert(PlacementPolicy<ExpectedTime>);

/** The policy selected by the settings. */
using ConfiguredPolicy = std::variant<ExpectedTime, RoundRobin, LeastOutstanding, Sticky>;

}
