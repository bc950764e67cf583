#pragma once

#include "runner/prefixblocks.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins::engine
{

using briarhinge::runner::estimateTokens;
using briarhinge::runner::promptBlocks;
using briarhinge::runner::tokensPerBlock;

/** A block came into the cache or was evicted. */
struct CacheChange
{
    std::uint64_t block = 0;
    bool stored = false;
    std::chrono::steady_clock::time_point at;
};

/** A limited cache of prompt prefixes, least recently used goes first; held blocks stay until the hold ends. */
class PrefixCache
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param capacity tokens that fit */
    explicit PrefixCache(std::uint64_t capacity);

    /** @return tokens of a prompt's prefix that are cached */
    std::uint64_t cachedTokens(const std::vector<std::uint64_t> &blocks) const;

    /** Uses and adds the blocks of a prompt. */
    void touch(const std::vector<std::uint64_t> &blocks);

    /** Keeps the blocks of a program until a time. */
    void hold(const std::string &program, const std::vector<std::uint64_t> &blocks, Time until);

    /** Keeps what is held for a program until a later time; does nothing when nothing is held any more. */
    void renew(const std::string &program, Time now, Time until);

    /** Ends the hold of a program. */
    void release(const std::string &program);

    /** @return held tokens by program, at a time */
    std::map<std::string, std::uint64_t> held(Time now);

    /** @return every change of the cache so far, in order */
    const std::vector<CacheChange> &changes() const;

private:
    struct Block
    {
        std::uint64_t lastUse = 0;
        std::uint32_t holds = 0;
    };

    struct Hold
    {
        std::vector<std::uint64_t> blocks;
        Time until;
    };

    void dropExpired(Time now);
    void evict();
    void dropHold(const Hold &hold);

    const std::uint64_t m_capacity;
    std::unordered_map<std::uint64_t, Block> m_blocks;
    std::map<std::uint64_t, std::uint64_t> m_byUse;
    std::map<std::string, Hold> m_holds;
    std::vector<CacheChange> m_changes;
    std::uint64_t m_uses = 0;
};

}
