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

/** A block was stored in the cache or evicted from it. */
struct CacheChange
{
    std::uint64_t block = 0;
    bool stored = false;
    std::chrono::steady_clock::time_point at;
};

/** LRU cache of prompt prefixes with limited capacity; held blocks are not evicted until their hold ends. */
class PrefixCache
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param capacity maximum number of cached tokens */
    explicit PrefixCache(std::uint64_t capacity);

    /** @return number of tokens in the longest cached prefix of a prompt */
    std::uint64_t cachedTokens(const std::vector<std::uint64_t> &blocks) const;

    /** Adds the blocks of a prompt or marks them as most recently used; evicts others if the cache is full. */
    void touch(const std::vector<std::uint64_t> &blocks);

    /** Holds the blocks of a program until a time; replaces its previous hold. */
    void hold(const std::string &program, const std::vector<std::uint64_t> &blocks, Time until);

    /** Extends the hold of a program until a later time; does nothing if the hold has expired. */
    void renew(const std::string &program, Time now, Time until);

    /** Releases the hold of a program. */
    void release(const std::string &program);

    /** @return held tokens by program, after holds that expired before now are released */
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

    void releaseExpired(Time now);
    void evict();
    void releaseBlocks(const Hold &hold);

    const std::uint64_t m_capacity;
    std::unordered_map<std::uint64_t, Block> m_blocks;
    std::map<std::uint64_t, std::uint64_t> m_blocksByUse;
    std::map<std::string, Hold> m_holds;
    std::vector<CacheChange> m_changes;
    std::uint64_t m_useCounter = 0;
};

}
