#pragma once

#include "placement/placementpolicies.h"
#include "placement/prefixindex.h"
#include "placement/programhomes.h"
#include "placement/runnerdirectory.h"

#include <mutex>

namespace briarhinge::placement
{

/** The properties of a call that placement needs. */
struct PlacementRequest
{
    base::ProgramId program;
    bool isModelCall = true;
    base::Tokens promptTokens;
    PrefixChain chain;
};

/** The runner chosen for a call, with the expectations at that time. */
struct Placement
{
    Candidate runner;
    /** Number of prompt tokens that are expected to be cached on the runner. */
    base::Tokens expectedCachedTokens;
    /** Expected time until the first token of the call, in milliseconds. */
    base::Milliseconds expectedTimeToFirstToken{0};
    /** Part of the expected time that the call waits in the queue of the runner, in milliseconds. */
    base::Milliseconds expectedQueueWait{0};
    /** Whether it is the first model call of its program on this entry. */
    bool isFirstModelCall = false;
};

/**
 * Chooses runners by a policy, and tracks on which runner each program ran last and which prompt prefixes the engines
 * are expected to have cached.
 */
class Placer
{
public:
    /**
     * @param policy chooses among the eligible runners
     * @param zone availability zone of this entry
     */
    Placer(ConfiguredPolicy policy, base::ZoneName zone);

    /**
     * Chooses the runner for a call.
     *
     * @param request the call
     * @param candidates the eligible runners, at least one
     * @return the chosen runner
     */
    Placement place(const PlacementRequest &request, const std::vector<Candidate> &candidates);

    /**
     * Chooses the runners to probe for their load before a call is placed. Probes are used only by the expected time
     * policy, for a model call of a program that has no home among the candidates.
     *
     * @param request the call
     * @param candidates the eligible runners
     * @param maxTargets maximum number of runners to probe
     * @return the runners to probe, the best first; empty when the call can be placed at once
     */
    std::vector<Candidate> probeTargets(const PlacementRequest &request, const std::vector<Candidate> &candidates,
                                        std::size_t maxTargets);

    /**
     * Records that a call was sent: its program gets a new home, and the engine there caches the prompt.
     *
     * @param request the call
     * @param runner name of the runner
     */
    void recordSent(const PlacementRequest &request, const std::string &runner);

    /**
     * Corrects the expected cache content of a runner by the number of tokens that its engine reported.
     *
     * @param runner name of the runner
     * @param expected number of prompt tokens that were expected to be cached
     * @param found number of prompt tokens that were cached
     */
    void recordCachedTokens(const std::string &runner, base::Tokens expected, base::Tokens found);

    /**
     * Removes the expected cache content of a runner whose upstream crashed.
     *
     * @param runner name of the runner
     */
    void invalidateCache(const std::string &runner);

    /**
     * Removes a program that has ended.
     *
     * @param program the program
     * @return the runner of its last model call; nothing when there was none
     */
    std::optional<std::string> release(const base::ProgramId &program);

private:
    std::vector<PlacementOption> makeOptions(const PlacementRequest &request, const std::vector<Candidate> &candidates);

    const base::ZoneName m_zone;
    const ExpectedTime m_estimator;
    std::mutex m_mutex;
    ConfiguredPolicy m_policy;
    ProgramHomes m_homes;
    PrefixIndex m_prefixes;
};

}
