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

/** What decides the place of a call in the queue. */
struct QueueRank
{
    /** The operators' priority; higher goes first. */
    std::int32_t priority = 0;
    /** Whether a parent program waits for it; such calls go first within their priority. */
    bool subProgram = false;
    /** Tokens that the whole program has used so far; less goes first. */
    base::Tokens attained;
    /** Tokens of its prompt that the upstream has cached. */
    base::Tokens resident;
};

/** How the order of the queue is weighed. */
struct QueueWeights
{
    /** Attained tokens that one resident token makes good: resident prefixes go a little earlier. */
    double tokensPerResidentToken = 0.25;
    /** Attained tokens that a millisecond of waiting makes good. */
    double tokensPerMillisecond = 2.0;
    /** A call that has waited longer is overdue. */
    base::Milliseconds overdueAfter{20'000};
    /** One of so many calls taken out is the oldest overdue one, whatever its priority. */
    std::uint32_t overdueShare = 8;
};

/**
 * The calls that wait for an upstream, in the order in which they will run. Free of clocks and locks.
 *
 * The operators' priority goes first, then calls of sub-programs, then the program with least attained service. Waiting
 * makes good for attained service; since it does so at the same rate for all, the order of two waiting calls never
 * changes and a sorted map is enough. Nothing starves: a share of the calls taken out are the oldest overdue ones.
 */
template <class Call>
class CallQueue
{
public:
    /** @param weights how the order is weighed */
    explicit CallQueue(const QueueWeights &weights = {})
        : m_weights(weights)
    {
    }

    /** @param rank its place @param call the call @param now the time */
    void push(const QueueRank &rank, Call call, base::Timestamp now)
    {
        const Place place = placeOf(rank, now);
        ++m_arrivals;
        m_byAge.insert({now, place});
        m_calls.emplace(place, std::pair(now, std::move(call)));
    }

    /** @return the call that goes first, or nothing when none waits; it stays in the queue @param now the time */
    const Call *first(base::Timestamp now) const
    {
        const auto next = nextPlace(now);
        return next == m_calls.end() ? nullptr : &next->second.second;
    }

    /** Takes out the call that goes first. @param now the time @return the call, or nothing when none waits */
    std::optional<Call> pop(base::Timestamp now)
    {
        const auto next = nextPlace(now);
        if (next == m_calls.end()) {
            return std::nullopt;
        }
        ++m_taken;
        return take(next);
    }

    /** Takes out the call that would go last. @return the call, or nothing when none waits */
    std::optional<Call> popLast()
    {
        if (m_calls.empty()) {
            return std::nullopt;
        }
        return take(std::prev(m_calls.end()));
    }

    /** @param rank place of a call that is not in the queue @param now the time @return whether it would go last */
    bool wouldBeLast(const QueueRank &rank, base::Timestamp now) const
    {
        return m_calls.empty() || std::prev(m_calls.end())->first < placeOf(rank, now);
    }

    /** @param rank place of a call that is not in the queue @param now the time @return how many would go before it */
    std::size_t ahead(const QueueRank &rank, base::Timestamp now) const
    {
        return static_cast<std::size_t>(std::distance(m_calls.begin(), m_calls.lower_bound(placeOf(rank, now))));
    }

    /** Takes out the calls that a predicate names. @param isWanted called with each @return them, in their order */
    std::vector<Call> remove(const std::function<bool(const Call &)> &isWanted)
    {
        std::vector<Call> removed;
        for (auto item = m_calls.begin(); item != m_calls.end();) {
            const auto present = item++;
            if (isWanted(present->second.second)) {
                removed.push_back(take(present));
            }
        }
        return removed;
    }

    /** @return how many wait */
    std::size_t size() const
    {
        return m_calls.size();
    }

private:
    /** Sorts the calls; the number of the arrival makes each place unique. */
    struct Place
    {
        std::int64_t priority = 0;
        bool ownTurn = false;
        std::int64_t service = 0;
        std::uint64_t arrival = 0;

        auto operator<=>(const Place &) const = default;
    };

    using Calls = std::map<Place, std::pair<base::Timestamp, Call>>;

    Place placeOf(const QueueRank &rank, base::Timestamp now) const
    {
        const double resident = m_weights.tokensPerResidentToken * static_cast<double>(rank.resident.value());
        const double age = m_weights.tokensPerMillisecond * static_cast<double>(now.time_since_epoch().count());
        const auto service = static_cast<std::int64_t>(rank.attained.value()) - static_cast<std::int64_t>(resident)
            + static_cast<std::int64_t>(age);
        return {-static_cast<std::int64_t>(rank.priority), !rank.subProgram, service, m_arrivals};
    }

    typename Calls::const_iterator nextPlace(base::Timestamp now) const
    {
        const bool overdueTurn = m_taken % m_weights.overdueShare == m_weights.overdueShare - 1;
        if (overdueTurn && !m_byAge.empty() && m_byAge.begin()->first + m_weights.overdueAfter < now) {
            return m_calls.find(m_byAge.begin()->second);
        }
        return m_calls.begin();
    }

    Call take(typename Calls::const_iterator item)
    {
        m_byAge.erase({item->second.first, item->first});
        return std::move(m_calls.extract(item).mapped().second);
    }

    const QueueWeights m_weights;
    Calls m_calls;
    std::set<std::pair<base::Timestamp, Place>> m_byAge;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_taken = 0;
};

}
