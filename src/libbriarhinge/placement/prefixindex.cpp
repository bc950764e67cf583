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
constexpr std::size_t growthBlocks = 4;
constexpr std::size_t leastBlocks = 16;

}

PrefixChain prefixChain(std::string_view prompt)
{
    PrefixChain chain;
    chain.reserve(prompt.size() / bytesPerBlock);
    std::uint64_t prefix = 0;
    for (std::size_t at = 0; at + bytesPerBlock <= prompt.size(); at += bytesPerBlock) {
        prefix = (prefix ^ base::stableHash(prompt.substr(at, bytesPerBlock))) * hashMultiplier + 1;
        chain.push_back(prefix);
    }
    return chain;
}

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

base::Tokens PrefixIndex::cached(const std::string &runner, const PrefixChain &chain) const
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end()) {
        return {};
    }
    std::uint64_t blocks = 0;
    while (blocks < chain.size() && found->second.places.contains(chain[blocks])) {
        ++blocks;
    }
    return base::Tokens(blocks * tokensPerBlock);
}

void PrefixIndex::sent(const std::string &runner, const PrefixChain &chain)
{
    const auto [place, isNew] = m_runners.try_emplace(runner);
    Blocks &blocks = place->second;
    if (isNew) {
        blocks.limit = m_maxBlocks;
    }
    // Blocks are touched from the end of the prompt to its start, so that the start is evicted last.
    for (auto block = chain.rbegin(); block != chain.rend(); ++block) {
        const auto known = blocks.places.find(*block);
        if (known != blocks.places.end()) {
            blocks.byUse.splice(blocks.byUse.begin(), blocks.byUse, known->second);
            continue;
        }
        blocks.byUse.push_front(*block);
        blocks.places[*block] = blocks.byUse.begin();
    }
    trim(blocks);
}

void PrefixIndex::observed(const std::string &runner, base::Tokens expected, base::Tokens found)
{
    const auto known = m_runners.find(runner);
    if (known == m_runners.end()) {
        return;
    }
    Blocks &blocks = known->second;
    if (found.value() + tokensPerBlock <= expected.value()) {
        blocks.limit = std::max<std::size_t>(leastBlocks, blocks.byUse.size() * shrinkTenths / 10);
    } else {
        blocks.limit = std::min(m_maxBlocks, blocks.limit + growthBlocks);
    }
    trim(blocks);
}

void PrefixIndex::forget(const std::string &runner)
{
    m_runners.erase(runner);
}

void PrefixIndex::trim(Blocks &blocks)
{
    while (blocks.byUse.size() > blocks.limit) {
        blocks.places.erase(blocks.byUse.back());
        blocks.byUse.pop_back();
    }
}

}
