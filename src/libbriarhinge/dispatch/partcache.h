#pragma once

#include "base/units.h"
#include "forwarding/messages.h"

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
class PartCache
{
public:
    /**
     * @param parts blocks of a prompt, in order
     * @return number of tokens in the prompt's prefix that are expected to be cached
     */
    base::Tokens cached(const std::vector<forwarding::PromptPart> &parts) const;

    /**
     * Records a prompt that was sent to the engine.
     *
     * @param parts blocks of the prompt, in order
     * @param capacity size of the engine's cache, in tokens
     */
    void sent(const std::vector<forwarding::PromptPart> &parts, base::Tokens capacity);

    /** Drops all blocks, for an engine that has restarted. */
    void clear();

private:
    struct Kept
    {
        std::uint64_t tokens = 0;
        std::list<std::string>::iterator place;
    };

    /** Block ids, most recently used first. */
    std::list<std::string> m_byUse;
    std::unordered_map<std::string, Kept> m_parts;
    std::uint64_t m_tokens = 0;
};

}
