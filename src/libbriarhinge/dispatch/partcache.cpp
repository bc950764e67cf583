#include "dispatch/partcache.h"

namespace briarhinge::dispatch
{

base::Tokens PartCache::cached(const std::vector<forwarding::PromptPart> &parts) const
{
    std::uint64_t tokens = 0;
    for (const forwarding::PromptPart &part : parts) {
        const auto found = m_parts.find(part.id);
        if (found == m_parts.end()) {
            break;
        }
        tokens += std::min(part.tokens.value(), found->second.tokens);
    }
    return base::Tokens(tokens);
}

void PartCache::sent(const std::vector<forwarding::PromptPart> &parts, base::Tokens capacity)
{
    // Blocks are added from last to first, because an engine evicts the end of a prompt before its beginning.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const auto [found, isNew] = m_parts.try_emplace(part->id);
        if (!isNew) {
            m_byUse.erase(found->second.place);
            m_tokens -= found->second.tokens;
        }
        m_byUse.push_front(part->id);
        found->second = {part->tokens.value(), m_byUse.begin()};
        m_tokens += part->tokens.value();
    }
    while (m_tokens > capacity.value() && !m_byUse.empty()) {
        const auto found = m_parts.find(m_byUse.back());
        m_tokens -= found->second.tokens;
        m_parts.erase(found);
        m_byUse.pop_back();
    }
}

void PartCache::clear()
{
    m_byUse.clear();
    m_parts.clear();
    m_tokens = 0;
}

}
