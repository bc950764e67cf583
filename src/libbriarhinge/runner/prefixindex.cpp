#include "runner/prefixindex.h"

#include <algorithm>

namespace briarhinge::runner
{

PrefixIndex::PrefixIndex(base::Tokens capacity)
    : m_capacity(std::max<std::size_t>(1, capacity.value() / tokensPerBlock))
{
}

base::Tokens PrefixIndex::cachedTokens(const std::vector<BlockHash> &blocks) const
{
    std::uint64_t cached = 0;
    for (const BlockHash block : blocks) {
        if (!m_blocks.contains(block)) {
            break;
        }
        cached += tokensPerBlock;
    }
    return base::Tokens(cached);
}

base::Tokens PrefixIndex::cachedTokens(const base::ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? base::Tokens(0) : cachedTokens(found->second);
}

void PrefixIndex::storeTurn(const base::ProgramId &program, std::vector<BlockHash> blocks)
{
    // Blocks are stored last to first, so that the beginning of the prefix is evicted after its end.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        store(*block);
    }
    m_programs[program] = std::move(blocks);
}

void PrefixIndex::correct(const std::vector<BlockHash> &blocks, base::Tokens cached)
{
    const std::size_t first = cached.value() / tokensPerBlock;
    for (std::size_t i = first; i < blocks.size(); ++i) {
        evict(blocks[i]);
    }
}

void PrefixIndex::apply(const CacheEvent &event)
{
    if (event.stored) {
        store(event.block);
    } else {
        evict(event.block);
    }
}

void PrefixIndex::forget(const base::ProgramId &program)
{
    m_programs.erase(program);
}

void PrefixIndex::store(BlockHash block)
{
    evict(block);
    m_blocks[block] = m_leastRecentlyUsed.insert(m_leastRecentlyUsed.end(), block);
    while (m_blocks.size() > m_capacity) {
        const BlockHash oldest = m_leastRecentlyUsed.front();
        evict(oldest);
    }
}

void PrefixIndex::evict(BlockHash block)
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_leastRecentlyUsed.erase(found->second);
        m_blocks.erase(found);
    }
}

}
