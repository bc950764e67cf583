#pragma once

#include "placement/placementpolicies.h"
#include "placement/prefixindex.h"
#include "placement/programhomes.h"
#include "placement/runnerdirectory.h"

#include <mutex>

namespace briarhinge::placement
{

/** The call to place. */
struct PlacementSubject
{
    base::ProgramId program;
    bool isModelCall = true;
    base::Tokens promptTokens;
    PrefixChain chain;
};

/** Where a call goes. */
struct Placement
{
    Candidate runner;
    /** Tokens of the prompt that are expected to be cached there. */
    base::Tokens expectedCached;
    /** Expected time until the call makes its first token there. */
    base::Milliseconds expectedTime{0};
    /** The part of it that the call waits in the queue. */
    base::Milliseconds expectedWait{0};
    /** Whether it is the first model call of its program here. */
    bool isFirst = false;
};

/** Chooses runners by a policy and remembers where programs and their prefixes are. */
class Placer
{
public:
    /** @param policy chooses among the options @param zone where this entry is */
    Placer(ChosenPolicy policy, base::ZoneName zone);

    /** @param subject a call @param candidates where it may go, at least one @return where it goes */
    Placement place(const PlacementSubject &subject, const std::vector<Candidate> &candidates);

    /**
     * @param subject a call
     * @param candidates where it may go
     * @param most how many to ask at most
     * @return the candidates whose load is worth asking for before the call is placed, the best first
     */
    std::vector<Candidate> worthAsking(const PlacementSubject &subject, const std::vector<Candidate> &candidates,
                                       std::size_t most);

    /** The call was sent. @param subject the call @param runner where it went */
    void sent(const PlacementSubject &subject, const std::string &runner);

    /** An engine said what it had cached. @param runner where @param expected by us @param found there */
    void observed(const std::string &runner, base::Tokens expected, base::Tokens found);

    /** The upstream of a runner crashed: its cache is gone. @param runner the runner */
    void cacheLost(const std::string &runner);

    /** A program has ended. @param program the program @return the runner of its last model call */
    std::optional<std::string> release(const base::ProgramId &program);

private:
    std::vector<PlacementOption> optionsOf(const PlacementSubject &subject, const std::vector<Candidate> &candidates);

    const base::ZoneName m_zone;
    const ExpectedTime m_estimate;
    std::mutex m_mutex;
    ChosenPolicy m_policy;
    ProgramHomes m_homes;
    PrefixIndex m_prefixes;
};

}
