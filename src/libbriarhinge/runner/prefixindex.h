#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runner/prefixblocks.h"

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace briarhinge::runner
{

/** Event of an engine's prefix cache. */
struct CacheEvent
{
    BlockHash block = 0;
    /** Whether the block was stored; otherwise it was evicted. */
    bool stored = false;
};

/**
 * Approximate model of the engine's prefix cache. Uses no clock and no locks.
 *
 * The index is updated from the calls that ran and evicts the least recently used blocks, as the engine does. The
 * engine's events arrive late and with gaps, so they only correct the index, as does the number of cached tokens
 * reported at the end of each call. Blocks are shared between programs. The index is used only to order and place
 * calls; it does not keep any block in the engine's cache.
 */
class PrefixIndex
{
public:
    /** @param capacity number of tokens that fit into the engine's cache */
    explicit PrefixIndex(base::Tokens capacity);

    /** @param blocks blocks of a prompt @return number of its tokens that are probably cached */
    base::Tokens cachedTokens(const std::vector<BlockHash> &blocks) const;

    /** @param program a program @return number of tokens of its last prompt and answer that are probably cached */
    base::Tokens cachedTokens(const base::ProgramId &program) const;

    /**
     * Adds the blocks of a turn that ended.
     *
     * @param program the program
     * @param blocks blocks of the turn's prompt and answer
     */
    void storeTurn(const base::ProgramId &program, std::vector<BlockHash> blocks);

    /**
     * Removes the blocks of a prompt that the engine did not have cached.
     *
     * @param blocks blocks of the prompt
     * @param cached number of cached tokens that the engine reported
     */
    void correct(const std::vector<BlockHash> &blocks, base::Tokens cached);

    /** Applies an event of the engine, which may be late. @param event the event */
    void apply(const CacheEvent &event);

    /** Removes a program; its blocks stay in the index. @param program the program */
    void forget(const base::ProgramId &program);

private:
    void store(BlockHash block);
    void evict(BlockHash block);

    const std::size_t m_capacity;
    /** Blocks, least recently used first. */
    std::list<BlockHash> m_leastRecentlyUsed;
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> m_blocks;
    std::map<base::ProgramId, std::vector<BlockHash>> m_programs;
};

}
