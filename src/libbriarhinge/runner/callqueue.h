#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace briarhinge::runner
{

/** What decides the place of a call in the queue. */
struct QueueRank
{
    /** The operators' priority; higher goes first. */
    std::int32_t priority = 0;
    /** Tokens that the program has used so far; less goes first. */
    base::Tokens attained;
};

/** The calls that wait for an upstream, in the order in which they will run. */
template <class Call>
class CallQueue
{
public:
    /** @param rank its place @param call the call */
    void push(const QueueRank &rank, Call call)
    {
        m_calls.emplace(std::tuple(-static_cast<std::int64_t>(rank.priority), rank.attained, ++m_arrivals),
                        std::move(call));
    }

    /** @return the call that goes first, or nothing when none waits */
    std::optional<Call> pop()
    {
        if (m_calls.empty()) {
            return std::nullopt;
        }
        return std::move(m_calls.extract(m_calls.begin()).mapped());
    }

    /** Takes out the calls that a predicate names. @param isWanted called with each @return how many there were */
    std::size_t remove(const std::function<bool(const Call &)> &isWanted)
    {
        return std::erase_if(m_calls, [&](const auto &item) {
            return isWanted(item.second);
        });
    }

    /** @return how many wait */
    std::size_t size() const
    {
        return m_calls.size();
    }

private:
    std::multimap<std::tuple<std::int64_t, base::Tokens, std::uint64_t>, Call> m_calls;
    std::uint64_t m_arrivals = 0;
};

}
