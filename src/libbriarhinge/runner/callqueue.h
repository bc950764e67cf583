#pragma once

#include "base/units.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace briarhinge::runner
{

/** The properties of a call that determine its position in the queue. */
struct QueueRank
{
    /** Priority set by the operators; higher values run first. */
    std::int32_t priority = 0;
    /** Whether a parent program waits for the call; such calls run first within their priority. */
    bool subProgram = false;
    /** Tokens that the whole program has used so far; programs that have used fewer run first. */
    base::Tokens attainedTokens;
    /** Tokens of the call's prompt that are in the upstream's prefix cache. */
    base::Tokens cachedTokens;
};

/** Weights that determine the order of the queue. */
struct QueueWeights
{
    /** Attained tokens offset by each cached prompt token, so calls with a cached prefix run slightly earlier. */
    double attainedPerCachedToken = 0.25;
    /** Attained tokens offset by each millisecond of waiting. */
    double attainedPerMillisecond = 2.0;
    /** A call that has waited longer than this is overdue. */
    base::Milliseconds overdueAfter{20'000};
    /** One in this many pops returns the oldest overdue call, regardless of its priority. */
    std::uint32_t popsPerOverdueCall = 8;
};

/**
 * Priority queue of the calls that wait for an upstream. Uses no clock and no locks.
 *
 * Calls are ordered by operator priority, then calls of sub-programs before others, then by least attained service of
 * their program. Waiting offsets attained service. All calls age at the same rate, so the relative order of two queued
 * calls never changes and a sorted map is sufficient. A fixed share of the pops returns the oldest overdue call, which
 * prevents starvation.
 */
template <class Call>
class CallQueue
{
public:
    /** @param weights weights that determine the order */
    explicit CallQueue(const QueueWeights &weights = {})
        : m_weights(weights)
    {
    }

    /**
     * Adds a call to the queue.
     *
     * @param rank properties that determine its position
     * @param call the call
     * @param now current time
     */
    void push(const QueueRank &rank, Call call, base::Timestamp now)
    {
        const SortKey key = makeSortKey(rank, now);
        ++m_pushCount;
        m_keysByAge.insert({now, key});
        m_calls.emplace(key, std::pair(now, std::move(call)));
    }

    /**
     * Returns the next call without removing it.
     *
     * @param now current time
     * @return the call that pop() would return, or null if the queue is empty
     */
    const Call *first(base::Timestamp now) const
    {
        const auto next = findNext(now);
        return next == m_calls.end() ? nullptr : &next->second.second;
    }

    /**
     * Removes the next call from the queue.
     *
     * @param now current time
     * @return the call, or nothing if the queue is empty
     */
    std::optional<Call> pop(base::Timestamp now)
    {
        const auto next = findNext(now);
        if (next == m_calls.end()) {
            return std::nullopt;
        }
        ++m_popCount;
        return extractCall(next);
    }

    /** Removes the call of lowest rank. @return the call, or nothing if the queue is empty */
    std::optional<Call> popLast()
    {
        if (m_calls.empty()) {
            return std::nullopt;
        }
        return extractCall(std::prev(m_calls.end()));
    }

    /**
     * @param rank rank of a call that is not in the queue
     * @param now current time
     * @return whether the call would be the last one in the queue
     */
    bool wouldBeLast(const QueueRank &rank, base::Timestamp now) const
    {
        return m_calls.empty() || std::prev(m_calls.end())->first < makeSortKey(rank, now);
    }

    /**
     * @param rank rank of a call that is not in the queue
     * @param now current time
     * @return number of queued calls that would run before it
     */
    std::size_t countAhead(const QueueRank &rank, base::Timestamp now) const
    {
        return static_cast<std::size_t>(std::distance(m_calls.begin(), m_calls.lower_bound(makeSortKey(rank, now))));
    }

    /**
     * Removes all calls that match a predicate.
     *
     * @param shouldRemove predicate that returns whether to remove a call
     * @return the removed calls, in queue order
     */
    std::vector<Call> remove(const std::function<bool(const Call &)> &shouldRemove)
    {
        std::vector<Call> removed;
        for (auto item = m_calls.begin(); item != m_calls.end();) {
            const auto current = item++;
            if (shouldRemove(current->second.second)) {
                removed.push_back(extractCall(current));
            }
        }
        return removed;
    }

    /** @return number of queued calls */
    std::size_t size() const
    {
        return m_calls.size();
    }

private:
    /** Sort key of a call, in which smaller values run first; the sequence number makes each key unique. */
    struct SortKey
    {
        std::int64_t priority = 0;
        bool isTopLevel = false;
        /** Attained service, offset by the cached prompt tokens and the time of arrival. */
        std::int64_t service = 0;
        std::uint64_t sequence = 0;

        auto operator<=>(const SortKey &) const = default;
    };

    using Calls = std::map<SortKey, std::pair<base::Timestamp, Call>>;

    SortKey makeSortKey(const QueueRank &rank, base::Timestamp now) const
    {
        const double cacheBonus = m_weights.attainedPerCachedToken * static_cast<double>(rank.cachedTokens.value());
        const double age = m_weights.attainedPerMillisecond * static_cast<double>(now.time_since_epoch().count());
        const auto service = static_cast<std::int64_t>(rank.attainedTokens.value())
            - static_cast<std::int64_t>(cacheBonus) + static_cast<std::int64_t>(age);
        return {-static_cast<std::int64_t>(rank.priority), !rank.subProgram, service, m_pushCount};
    }

    typename Calls::const_iterator findNext(base::Timestamp now) const
    {
        const bool isOverduePop = m_popCount % m_weights.popsPerOverdueCall == m_weights.popsPerOverdueCall - 1;
        if (isOverduePop && !m_keysByAge.empty() && m_keysByAge.begin()->first + m_weights.overdueAfter < now) {
            return m_calls.find(m_keysByAge.begin()->second);
        }
        return m_calls.begin();
    }

    Call extractCall(typename Calls::const_iterator item)
    {
        m_keysByAge.erase({item->second.first, item->first});
        return std::move(m_calls.extract(item).mapped().second);
    }

    const QueueWeights m_weights;
    Calls m_calls;
    std::set<std::pair<base::Timestamp, SortKey>> m_keysByAge;
    std::uint64_t m_pushCount = 0;
    std::uint64_t m_popCount = 0;
};

}
