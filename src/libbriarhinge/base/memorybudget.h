#pragma once

#include "base/units.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace briarhinge::base
{

/**
 * The memory in which one process buffers what its peers send and what they are sent. Every owner of such a buffer holds
 * a share, which may outlive the budget. Must be used on one thread.
 *
 * The last part of the budget is kept for small shares, so that large ones can't keep ordinary requests out. When memory
 * runs out, the owner of a reclaimable share gives its own back: the largest one that has stalled, that is, has stopped
 * growing; for a small share also a larger one that grows. A share for which none gives way does not grow.
 */
class MemoryBudget
{
    class State;

public:
    using Time = std::chrono::steady_clock::time_point;

    /** A share of up to this many bytes may use the whole budget. */
    static constexpr std::size_t smallShareBytes = std::size_t{64} * 1024;
    /** Time without growth after which a reclaimable share gives way to any other. */
    static constexpr Milliseconds stallTimeout{1000};

    /** @param limitBytes maximum number of bytes of all shares together */
    explicit MemoryBudget(std::size_t limitBytes);

    /** When the memory of a share may be taken back. */
    enum class Reclaim {
        /** When it has stalled; while it grows, by small shares. */
        Anytime,
        /** When it has stalled and no other share gives way. */
        OnlyStalled,
    };

    /** The bytes of one owner; gives them back when it is destroyed. */
    class Share
    {
    public:
        /** @param budget the budget of the process */
        explicit Share(const MemoryBudget &budget);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * Changes the size of the share. Shrinking always succeeds.
         *
         * @param bytes the new size in bytes
         * @return whether the share has that size now; otherwise it is unchanged
         */
        bool resize(std::size_t bytes);

        /**
         * @param bytes number of further bytes that are needed
         * @return whether they may be used
         */
        bool grow(std::size_t bytes);

        /** Gives all bytes back. */
        void clear();

        /** @return whether the share has not grown for the stall timeout */
        bool isStalled() const;

        /** @return size in bytes */
        std::size_t bytes() const;

        /**
         * Allows the budget to take the memory back, until clearReclaimHandler() is called.
         *
         * @param reclaim when it may do so
         * @param onReclaim called when others need the memory; must shrink the share
         */
        void setReclaimHandler(Reclaim reclaim, std::function<void()> onReclaim);

        /** Keeps the budget from taking the memory back. */
        void clearReclaimHandler();

    private:
        friend class MemoryBudget;

        const std::shared_ptr<State> m_budget;
        Reclaim m_reclaim = Reclaim::Anytime;
        std::function<void()> m_onReclaim;
        std::size_t m_bytes = 0;
        Time m_lastGrowth;
    };

    /** @return number of bytes of all shares together */
    std::size_t usedBytes() const;

    /** @return number of shares so far that gave way to others */
    std::size_t reclaimedShares() const;

    /** @return number of times so far that a share did not grow */
    std::size_t refusedGrowths() const;

    /** @return maximum number of bytes of all shares together */
    std::size_t limitBytes() const;

private:
    std::shared_ptr<State> m_state;
};

}
