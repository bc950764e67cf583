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

/** One message of an engine about its prefix cache. */
struct CacheEvent
{
    BlockHash block = 0;
    /** Whether the block is cached now, or was evicted. */
    bool stored = false;
};

/**
 * What this process believes to be in the engine's prefix cache. Free of clocks and locks.
 *
 * It follows the calls that ran and forgets the least recently used blocks, as the engine does. The engine's events
 * come late and with gaps, so they only correct it, and so does the count of cached tokens at the end of each call.
 * Blocks are shared between programs. The belief guides the order and the placing of calls; nothing is held by it.
 */
class PrefixIndex
{
public:
    /** @param capacity tokens that fit into the engine's cache */
    explicit PrefixIndex(base::Tokens capacity);

    /** @param blocks a prompt @return tokens of it that are believed to be cached */
    base::Tokens cachedTokens(const std::vector<BlockHash> &blocks) const;

    /** @param program a program @return tokens of its last prompt and answer that are believed to be cached */
    base::Tokens cachedTokens(const base::ProgramId &program) const;

    /**
     * A turn of a program ended.
     *
     * @param program the program
     * @param blocks its prompt and answer
     */
    void turnEnded(const base::ProgramId &program, std::vector<BlockHash> blocks);

    /** The engine found fewer tokens cached than believed. @param blocks a prompt @param cached what it found */
    void correct(const std::vector<BlockHash> &blocks, base::Tokens cached);

    /** @param event a message of the engine, however late */
    void apply(const CacheEvent &event);

    /** Forgets a program; its blocks stay known. @param program the program */
    void forget(const base::ProgramId &program);

private:
    void store(BlockHash block);
    void evict(BlockHash block);

    const std::size_t m_capacity;
    /** Least recently used first. */
    std::list<BlockHash> m_byUse;
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> m_blocks;
    std::map<base::ProgramId, std::vector<BlockHash>> m_programs;
};

}
