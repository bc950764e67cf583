#pragma once

#include "base/units.h"
#include "forwarding/messages.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::dispatch
{

/** Which parts of prompts one engine is expected to keep, by what it was sent. Bounded by the engine's memory. */
class PartCache
{
public:
    /** @param parts a prompt @return tokens at its beginning that are expected to be kept */
    base::Tokens cached(const std::vector<forwarding::PromptPart> &parts) const;

    /** Notes a prompt that was sent. @param parts the prompt @param capacity tokens that the engine keeps */
    void sent(const std::vector<forwarding::PromptPart> &parts, base::Tokens capacity);

    /** Forgets everything: the engine has started again. */
    void clear();

private:
    struct Kept
    {
        std::uint64_t tokens = 0;
        std::list<std::string>::iterator place;
    };

    /** Latest use first. */
    std::list<std::string> m_byUse;
    std::unordered_map<std::string, Kept> m_parts;
    std::uint64_t m_tokens = 0;
};

}
