#include "base/memorybudget.h"

#include <unordered_set>
#include <utility>

namespace briarhinge::base
{

namespace
{

/** Part of the budget that only small shares may use: one in this many bytes. */
constexpr std::size_t smallSharePart = 5;

}

class MemoryBudget::State
{
public:
    explicit State(std::size_t limitBytes)
        : limit(limitBytes)
    {
    }

    /** @return whether a share may have a size */
    bool hasRoom(const Share &share, std::size_t bytes) const
    {
        const std::size_t allowed = bytes <= smallShareBytes ? limit : limit - limit / smallSharePart;
        return used - share.m_bytes + bytes <= allowed;
    }

    /** Lets another share give way to one that needs a size. @return whether that has freed memory */
    bool reclaimFor(const Share &share, std::size_t bytes, Time now)
    {
        const Share *stalled = nullptr;
        const Share *growing = nullptr;
        const Share *lastResort = nullptr;
        for (const Share *candidate : reclaimable) {
            if (candidate == &share) {
                continue;
            }
            const bool isStalled = now - candidate->m_lastGrowth >= stallTimeout;
            if (candidate->m_reclaim == Reclaim::Anytime) {
                chooseLarger(isStalled ? stalled : growing, candidate);
            } else if (isStalled) {
                chooseLarger(lastResort, candidate);
            }
        }
        const bool mayTakeFromGrowing = bytes <= smallShareBytes && growing != nullptr && growing->m_bytes > bytes;
        const Share *chosen = lastResort;
        if (stalled != nullptr) {
            chosen = stalled;
        } else if (mayTakeFromGrowing) {
            chosen = growing;
        }
        if (chosen == nullptr) {
            return false;
        }
        const std::size_t usedBefore = used;
        // The handler may destroy the share and with it the original of the handler.
        const auto onReclaim = chosen->m_onReclaim;
        onReclaim();
        ++reclaimedShares;
        return used < usedBefore;
    }

    const std::size_t limit;
    std::size_t used = 0;
    std::size_t reclaimedShares = 0;
    std::size_t refusedGrowths = 0;
    std::unordered_set<const Share *> reclaimable;

private:
    static void chooseLarger(const Share *&chosen, const Share *candidate)
    {
        if (chosen == nullptr || candidate->m_bytes > chosen->m_bytes) {
            chosen = candidate;
        }
    }
};

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : m_state(std::make_shared<State>(limitBytes))
{
}

std::size_t MemoryBudget::usedBytes() const
{
    return m_state->used;
}

std::size_t MemoryBudget::reclaimedShares() const
{
    return m_state->reclaimedShares;
}

std::size_t MemoryBudget::refusedGrowths() const
{
    return m_state->refusedGrowths;
}

std::size_t MemoryBudget::limitBytes() const
{
    return m_state->limit;
}

MemoryBudget::Share::Share(const MemoryBudget &budget)
    : m_budget(budget.m_state)
{
}

MemoryBudget::Share::~Share()
{
    clearReclaimHandler();
    clear();
}

bool MemoryBudget::Share::resize(std::size_t bytes)
{
    if (bytes > m_bytes) {
        const Time now = std::chrono::steady_clock::now();
        while (!m_budget->hasRoom(*this, bytes)) {
            if (!m_budget->reclaimFor(*this, bytes, now)) {
                ++m_budget->refusedGrowths;
                return false;
            }
        }
        m_lastGrowth = now;
    }
    m_budget->used = m_budget->used - m_bytes + bytes;
    m_bytes = bytes;
    return true;
}

bool MemoryBudget::Share::grow(std::size_t bytes)
{
    return resize(m_bytes + bytes);
}

void MemoryBudget::Share::clear()
{
    m_budget->used -= std::exchange(m_bytes, 0);
}

std::size_t MemoryBudget::Share::bytes() const
{
    return m_bytes;
}

bool MemoryBudget::Share::isStalled() const
{
    return std::chrono::steady_clock::now() - m_lastGrowth >= stallTimeout;
}

void MemoryBudget::Share::setReclaimHandler(Reclaim reclaim, std::function<void()> onReclaim)
{
    m_reclaim = reclaim;
    m_onReclaim = std::move(onReclaim);
    m_budget->reclaimable.insert(this);
}

void MemoryBudget::Share::clearReclaimHandler()
{
    m_budget->reclaimable.erase(this);
    m_onReclaim = nullptr;
}

}
