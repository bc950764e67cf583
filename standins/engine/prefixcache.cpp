#include "engine/prefixcache.h"

namespace standins::engine
{

PrefixCache::PrefixCache(std::uint64_t capacity)
    : m_capacity(capacity / tokensPerBlock)
{
}

std::uint64_t PrefixCache::cachedTokens(const std::vector<std::uint64_t> &blocks) const
{
    std::uint64_t cached = 0;
    for (const std::uint64_t block : blocks) {
        if (!m_blocks.contains(block)) {
            break;
        }
        cached += tokensPerBlock;
    }
    return cached;
}

void PrefixCache::touch(const std::vector<std::uint64_t> &blocks)
{
    // Blocks are touched from the end of the prefix, so that its beginning is evicted last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        if (!m_blocks.contains(*block)) {
            m_changes.push_back({*block, true, std::chrono::steady_clock::now()});
        }
        Block &entry = m_blocks[*block];
        m_blocksByUse.erase(entry.lastUse);
        entry.lastUse = ++m_useCounter;
        m_blocksByUse[entry.lastUse] = *block;
    }
    evict();
}

void PrefixCache::hold(const std::string &program, const std::vector<std::uint64_t> &blocks, Time until)
{
    release(program);
    for (const std::uint64_t block : blocks) {
        const auto found = m_blocks.find(block);
        if (found != m_blocks.end()) {
            ++found->second.holds;
        }
    }
    m_holds[program] = {blocks, until};
}

void PrefixCache::release(const std::string &program)
{
    const auto found = m_holds.find(program);
    if (found != m_holds.end()) {
        releaseBlocks(found->second);
        m_holds.erase(found);
    }
}

void PrefixCache::renew(const std::string &program, Time now, Time until)
{
    releaseExpired(now);
    const auto found = m_holds.find(program);
    if (found != m_holds.end()) {
        found->second.until = until;
    }
}

std::map<std::string, std::uint64_t> PrefixCache::held(Time now)
{
    releaseExpired(now);
    std::map<std::string, std::uint64_t> tokens;
    for (const auto &[program, hold] : m_holds) {
        tokens[program] = hold.blocks.size() * tokensPerBlock;
    }
    return tokens;
}

void PrefixCache::releaseExpired(Time now)
{
    for (auto hold = m_holds.begin(); hold != m_holds.end();) {
        if (hold->second.until <= now) {
            releaseBlocks(hold->second);
            hold = m_holds.erase(hold);
        } else {
            ++hold;
        }
    }
}

const std::vector<CacheChange> &PrefixCache::changes() const
{
    return m_changes;
}

void PrefixCache::evict()
{
    auto oldest = m_blocksByUse.begin();
    while (m_blocks.size() > m_capacity && oldest != m_blocksByUse.end()) {
        const auto found = m_blocks.find(oldest->second);
        if (found->second.holds > 0) {
            ++oldest;
            continue;
        }
        m_changes.push_back({found->first, false, std::chrono::steady_clock::now()});
        m_blocks.erase(found);
        oldest = m_blocksByUse.erase(oldest);
    }
}

void PrefixCache::releaseBlocks(const Hold &hold)
{
    for (const std::uint64_t block : hold.blocks) {
        const auto found = m_blocks.find(block);
        if (found != m_blocks.end() && found->second.holds > 0) {
            --found->second.holds;
        }
    }
}

}
