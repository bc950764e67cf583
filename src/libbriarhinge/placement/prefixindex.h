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

/** The hashes of the prefixes of a prompt, one for each whole block. */
using PrefixChain = std::vector<std::uint64_t>;

/** Number of tokens in one block of a prompt. */
inline constexpr std::uint64_t tokensPerBlock = 128;

/** Assumed length of a prompt token in bytes. */
inline constexpr std::uint64_t bytesPerToken = 4;

/**
 * @param prompt a prompt
 * @return the hashes of its prefixes; an incomplete last block is left out
 */
PrefixChain prefixChain(std::string_view prompt);

/**
 * Tracks which prompt prefixes are expected to be cached on which runner, based on the prompts that this entry sent and
 * corrected by the cached tokens that the engines report. Prefixes shared by several programs are found for each of
 * them. Bounded in size; not thread-safe.
 */
class PrefixIndex
{
public:
    /** @param maxBlocks maximum number of blocks tracked for each runner */
    explicit PrefixIndex(std::size_t maxBlocks);

    /**
     * @param runner name of a runner
     * @param chain the prefix hashes of a prompt
     * @return the number of prompt tokens that are expected to be cached on the runner
     */
    base::Tokens cachedTokens(const std::string &runner, const PrefixChain &chain) const;

    /**
     * Records a prompt that was sent to a runner.
     *
     * @param runner name of the runner
     * @param chain the prefix hashes of the prompt
     */
    void recordSent(const std::string &runner, const PrefixChain &chain);

    /**
     * Adapts the number of tracked blocks to what an engine had cached of a prompt. Fewer tokens than expected mean
     * that the engine holds fewer prefixes than are tracked for it: the limit shrinks and the least recently used
     * blocks are evicted. Otherwise the limit grows again.
     *
     * @param runner name of the runner
     * @param expected number of tokens that were expected to be cached
     * @param found number of tokens that were cached
     */
    void recordCachedTokens(const std::string &runner, base::Tokens expected, base::Tokens found);

    /**
     * Removes all blocks of a runner whose engine lost its cache.
     *
     * @param runner name of the runner
     */
    void removeRunner(const std::string &runner);

private:
    struct Blocks
    {
        /** Maximum number of tracked blocks, adapted to the cache of the engine. */
        std::size_t maxCount = 0;
        /** Hashes in order of use, the most recent first. */
        std::list<std::uint64_t> lruOrder;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    };

    static void evict(Blocks &blocks);

    const std::size_t m_maxBlocks;
    std::unordered_map<std::string, Blocks> m_runners;
};

}
