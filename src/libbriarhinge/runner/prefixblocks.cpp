#include "runner/prefixblocks.h"

#include "base/digest.h"

namespace briarhinge::runner
{

namespace
{

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t bytesPerBlock = tokensPerBlock * bytesPerToken;
constexpr std::uint64_t hashMultiplier = 0x9e3779b97f4a7c15ULL;

}

std::vector<BlockHash> promptBlocks(const std::string &prompt)
{
    std::vector<BlockHash> blocks;
    BlockHash prefix = 0;
    for (std::size_t at = 0; at + bytesPerBlock <= prompt.size(); at += bytesPerBlock) {
        prefix = (prefix ^ base::stableHash({prompt.data() + at, bytesPerBlock})) * hashMultiplier + 1;
        blocks.push_back(prefix);
    }
    return blocks;
}

std::uint64_t estimateTokens(std::size_t bytes)
{
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

}
