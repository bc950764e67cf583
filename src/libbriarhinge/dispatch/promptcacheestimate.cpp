#include "dispatch/promptcacheestimate.h"

namespace briarhinge::dispatch
{

base::Tokens PromptCacheEstimate::cachedTokens(const std::vector<requests::PromptBlock> &blocks) const
{
    std::uint64_t tokens = 0;
    for (const requests::PromptBlock &block : blocks) {
        const auto found = m_blocks.find(block.id);
        if (found == m_blocks.end()) {
            break;
        }
        tokens += std::min(block.tokens.value(), found->second.tokens);
    }
    return base::Tokens(tokens);
}

void PromptCacheEstimate::recordPrompt(const std::vector<requests::PromptBlock> &blocks, base::Tokens capacity)
{
    // Blocks are added from last to first, because an engine evicts the end of a prompt before its beginning.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto [found, isNew] = m_blocks.try_emplace(block->id);
        if (!isNew) {
            m_byRecency.erase(found->second.position);
            m_totalTokens -= found->second.tokens;
        }
        m_byRecency.push_front(block->id);
        found->second = {block->tokens.value(), m_byRecency.begin()};
        m_totalTokens += block->tokens.value();
    }
    while (m_totalTokens > capacity.value() && !m_byRecency.empty()) {
        const auto found = m_blocks.find(m_byRecency.back());
        m_totalTokens -= found->second.tokens;
        m_blocks.erase(found);
        m_byRecency.pop_back();
    }
}

void PromptCacheEstimate::clear()
{
    m_byRecency.clear();
    m_blocks.clear();
    m_totalTokens = 0;
}

}
