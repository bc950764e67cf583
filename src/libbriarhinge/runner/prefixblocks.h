#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/** Tokens in a block of an engine's prefix cache. */
inline constexpr std::uint64_t tokensPerBlock = 16;

/** Names a block: the hash of the whole prefix up to its end, as the engine publishes it. */
using BlockHash = std::uint64_t;

/** @param prompt a text @return its whole blocks, first to last */
std::vector<BlockHash> blocksOf(const std::string &prompt);

/** @param bytes length of a text @return its tokens, four bytes each */
std::uint64_t tokensOf(std::size_t bytes);

}
