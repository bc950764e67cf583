#pragma once

#include "base/units.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarhinge::placement
{

/** A prompt as hashes of its prefixes, one for each block. */
using PrefixChain = std::vector<std::uint64_t>;

/** Tokens of one block of a chain. */
inline constexpr std::uint64_t tokensPerBlock = 128;

/** Bytes that a token of a prompt is assumed to have. */
inline constexpr std::uint64_t bytesPerToken = 4;

/** @param prompt a prompt @return its chain; a rest shorter than a block is left out */
PrefixChain prefixChain(std::string_view prompt);

/**
 * Which prefixes this entry expects to be cached at which runner: what it sent there, corrected by what the engines
 * say they had cached. Prefixes that programs share are found for each of them. Bounded; not synchronised.
 */
class PrefixIndex
{
public:
    /** @param maxBlocks blocks that are remembered for each runner */
    explicit PrefixIndex(std::size_t maxBlocks);

    /** @param runner a runner @param chain a prompt @return tokens of it that are expected to be cached there */
    base::Tokens cached(const std::string &runner, const PrefixChain &chain) const;

    /** Notes a prompt that was sent to a runner. @param runner the runner @param chain the prompt */
    void sent(const std::string &runner, const PrefixChain &chain);

    /**
     * Takes in what an engine had cached of a prompt. Less than expected means that it holds fewer prefixes than are
     * remembered for it: the least recently used ones are forgotten. As much as expected lets the memory grow again.
     *
     * @param runner the runner
     * @param expected tokens that were expected to be cached
     * @param found tokens that were cached
     */
    void observed(const std::string &runner, base::Tokens expected, base::Tokens found);

    /** Forgets a runner, whose engine has lost its cache. @param runner the runner */
    void forget(const std::string &runner);

private:
    struct Blocks
    {
        /** How many are remembered at most. */
        std::size_t limit = 0;
        /** Latest use first. */
        std::list<std::uint64_t> byUse;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    };

    static void trim(Blocks &blocks);

    const std::size_t m_maxBlocks;
    std::unordered_map<std::string, Blocks> m_runners;
};

}
