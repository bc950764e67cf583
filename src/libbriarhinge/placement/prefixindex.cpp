#include "placement/prefixindex.h"

#include "base/digest.h"

#include <algorithm>

namespace briarhinge::placement
{

namespace
{

constexpr std::size_t bytesPerBlock = tokensPerBlock * bytesPerToken;
constexpr std::uint64_t hashMultiplier = 0x9e3779b97f4a7c15ULL;
/** Tenths of the tracked blocks that are retained when an engine had fewer tokens cached than expected. */
constexpr std::size_t shrinkTenths = 9;
constexpr std::size_t growthStep = 4;
constexpr std::size_t minBlocks = 16;

}

PrefixChain prefixChain(std::string_view prompt)
{
    PrefixChain chain;
    chain.reserve(prompt.size() / bytesPerBlock);
    std::uint64_t prefix = 0;
    for (std::size_t offset = 0; offset + bytesPerBlock <= prompt.size(); offset += bytesPerBlock) {
        prefix = (prefix ^ base::stableHash(prompt.substr(offset, bytesPerBlock))) * hashMultiplier + 1;
        chain.push_back(prefix);
    }
    return chain;
}

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

base::Tokens PrefixIndex::cachedTokens(const std::string &runner, const PrefixChain &chain) const
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end()) {
        return {};
    }
    std::uint64_t blocks = 0;
    while (blocks < chain.size() && found->second.positions.contains(chain[blocks])) {
        ++blocks;
    }
    return base::Tokens(blocks * tokensPerBlock);
}

void PrefixIndex::recordSent(const std::string &runner, const PrefixChain &chain)
{
    const auto [position, isNew] = m_runners.try_emplace(runner);
    Blocks &blocks = position->second;
    if (isNew) {
        blocks.maxCount = m_maxBlocks;
    }
    // Blocks are touched from the end of the prompt to its start, so that the start is evicted last.
    for (auto block = chain.rbegin(); block != chain.rend(); ++block) {
        const auto known = blocks.positions.find(*block);
        if (known != blocks.positions.end()) {
            blocks.lruOrder.splice(blocks.lruOrder.begin(), blocks.lruOrder, known->second);
            continue;
        }
        blocks.lruOrder.push_front(*block);
        blocks.positions[*block] = blocks.lruOrder.begin();
    }
    evict(blocks);
}

void PrefixIndex::recordCachedTokens(const std::string &runner, base::Tokens expected, base::Tokens found)
{
    const auto known = m_runners.find(runner);
    if (known == m_runners.end()) {
        return;
    }
    Blocks &blocks = known->second;
    if (found.value() + tokensPerBlock <= expected.value()) {
        blocks.maxCount = std::max<std::size_t>(minBlocks, blocks.lruOrder.size() * shrinkTenths / 10);
    } else {
        blocks.maxCount = std::min(m_maxBlocks, blocks.maxCount + growthStep);
    }
    evict(blocks);
}

void PrefixIndex::removeRunner(const std::string &runner)
{
    m_runners.erase(runner);
}

void PrefixIndex::evict(Blocks &blocks)
{
    while (blocks.lruOrder.size() > blocks.maxCount) {
        blocks.positions.erase(blocks.lruOrder.back());
        blocks.lruOrder.pop_back();
    }
}

}
