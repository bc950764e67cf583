#pragma once

#include "base/units.h"
#include "requests/messages.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::dispatch
{

/**
 * Estimates which prompt blocks are in one engine's cache, from the prompts that were sent to it. Least recently used
 * blocks are evicted beyond the engine's capacity.
 */
class PromptCacheEstimate
{
public:
    /**
     * @param blocks blocks of a prompt, in order
     * @return number of tokens in the prompt's prefix that are expected to be cached
     */
    base::Tokens cachedTokens(const std::vector<requests::PromptBlock> &blocks) const;

    /**
     * Records a prompt that was sent to the engine.
     *
     * @param blocks blocks of the prompt, in order
     * @param capacity size of the engine's cache, in tokens
     */
    void recordPrompt(const std::vector<requests::PromptBlock> &blocks, base::Tokens capacity);

    /** Drops all blocks, for an engine that has restarted. */
    void clear();

private:
    struct CachedBlock
    {
        std::uint64_t tokens = 0;
        std::list<std::string>::iterator position;
    };

    /** Block ids, most recently used first. */
    std::list<std::string> m_byRecency;
    std::unordered_map<std::string, CachedBlock> m_blocks;
    std::uint64_t m_totalTokens = 0;
};

}
