#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/** Number of tokens in a block of an engine's prefix cache. */
inline constexpr std::uint64_t tokensPerBlock = 16;

/** Identifies a block by the hash of the whole prefix up to its end, as published by the engine. */
using BlockHash = std::uint64_t;

/** @param prompt text of a prompt @return hashes of its complete blocks, in order */
std::vector<BlockHash> promptBlocks(const std::string &prompt);

/** @param bytes length of a text @return estimated number of tokens, at four bytes per token */
std::uint64_t estimateTokens(std::size_t bytes);

}
