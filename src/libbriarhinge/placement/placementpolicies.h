#pragma once

#include "placement/runnerview.h"

#include <concepts>
#include <cstddef>
#include <span>
#include <string>
#include <variant>

namespace briarhinge::placement
{

/** What is to be placed. */
struct PlacementRequest
{
    base::ZoneName zone;
    base::Tokens promptTokens;
    bool isModelCall = true;
};

/** A runner that the call may go to. */
struct PlacementOption
{
    RunnerView view;
    /** Tokens of the prompt that are expected to be cached there. */
    base::Tokens cached;
    /** Whether the program's last model call ran there. */
    bool isHome = false;
};

/** Chooses a runner. Options are never empty; the result is an index into them. */
template <class T>
concept PlacementPolicy = requires(T &policy, const PlacementRequest &request, std::span<const PlacementOption> options)
{
    {
        policy.choose(request, options)
        } -> std::same_as<std::size_t>;
};

/** One runner after the other. */
class RoundRobin
{
public:
    /** @param request what to place @param options where it may go @return the chosen option */
    std::size_t choose(const PlacementRequest &request, std::span<const PlacementOption> options);

private:
    std::size_t m_next = 0;
};

/** The runner that has the fewest calls of this entry under way; equals take turns. */
class LeastOutstanding
{
public:
    /** @param request what to place @param options where it may go @return the chosen option */
    std::size_t choose(const PlacementRequest &request, std::span<const PlacementOption> options);

private:
    std::size_t m_next = 0;
};

/** The runner of the program's last call; a new program goes where the fewest calls are under way. */
class Sticky
{
public:
    /** @param request what to place @param options where it may go @return the chosen option */
    std::size_t choose(const PlacementRequest &request, std::span<const PlacementOption> options);

private:
    LeastOutstanding m_first;
};

/** How expected times are weighed. */
struct ExpectedTimeWeights
{
    /** Assumed until the runner reports its own. */
    double prefillMsPerToken = 0.1;
    /** Assumed until a call has ended there. */
    double meanCallMs = 400;
    /** Assumed until the runner reports its own. */
    std::uint32_t limit = 8;
    /** Cost of leaving the zone of this entry. */
    double otherZoneMs = 2;
    /** Share of a call's time by which each running call slows down a new one. */
    double contention = 0.05;
    /** Share of a call's time that each program with its home there is expected to cost a new program. */
    double programLoad = 0.05;
    /** A program moves when the gain is this many times the refill. */
    double moveGain = 3;
    /** A program does not move for less. */
    double leastMoveGainMs = 200;
};

/** The runner where the call is expected to be done first; a program moves only for a large gain. */
class ExpectedTime
{
public:
    /** @param weights how expected times are weighed */
    explicit ExpectedTime(const ExpectedTimeWeights &weights = {});

    /** @param request what to place @param options where it may go @return the chosen option */
    std::size_t choose(const PlacementRequest &request, std::span<const PlacementOption> options) const;

    /**
     * @param request what to place
     * @param option a place for it
     * @return the expected time until the call is done there, less what is the same everywhere, in milliseconds
     */
    double expectedMs(const PlacementRequest &request, const PlacementOption &option) const;

    /** @return the expected time until a call starts there, in milliseconds @param view the runner */
    double waitMs(const RunnerView &view) const;

private:
    double prefillMs(const RunnerView &view, std::uint64_t tokens) const;
    double callMs(const RunnerView &view) const;

    ExpectedTimeWeights m_weights;
};

static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastOutstanding>);
static_assert(PlacementPolicy<Sticky>);
static_assert(PlacementPolicy<ExpectedTime>);

/** The policy that the settings name. */
using ChosenPolicy = std::variant<ExpectedTime, RoundRobin, LeastOutstanding, Sticky>;

}
