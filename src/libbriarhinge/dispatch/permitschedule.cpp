#include "dispatch/permitschedule.h"

#include <algorithm>
#include <utility>

namespace briarhinge::dispatch
{

namespace
{

/** A keeper that did not answer is replaced, or back, after some seconds; a request to it costs its caller 100 ms. */
constexpr base::Milliseconds silenceBackoff{500};
/** Without keepers there are no permits; a group of turn stores is known within this time after the start. */
constexpr base::Milliseconds noKeeperDelay{500};

}

void PermitSchedule::setKeepers(std::vector<KeeperId> keepers)
{
    const auto isGone = [&keepers](const auto &entry) {
        return std::find(keepers.begin(), keepers.end(), entry.first) == keepers.end();
    };
    for (auto &[runner, next] : m_next) {
        std::erase_if(next, isGone);
    }
    std::erase_if(m_silentUntil, isGone);
    m_keepers = std::move(keepers);
}

PermitSchedule::Time PermitSchedule::nextPermit(const RunnerId &runner, const KeeperId &keeper, Time now) const
{
    Time next = now;
    if (const auto silent = m_silentUntil.find(keeper); silent != m_silentUntil.end()) {
        next = std::max(next, silent->second);
    }
    const auto known = m_next.find(runner);
    if (known == m_next.end()) {
        return next;
    }
    const auto found = known->second.find(keeper);
    return found == known->second.end() ? next : std::max(next, found->second);
}

PermitSchedule::Time PermitSchedule::nextPermit(const RunnerId &runner, Time now) const
{
    Time earliest = Time::max();
    for (const KeeperId &keeper : m_keepers) {
        earliest = std::min(earliest, nextPermit(runner, keeper, now));
    }
    return m_keepers.empty() ? now + noKeeperDelay : earliest;
}

std::optional<KeeperId> PermitSchedule::chooseKeeper(const std::vector<RunnerId> &runners, Time now,
                                                     base::Milliseconds maxWait)
{
    const KeeperId *chosen = nullptr;
    Time earliest = now + maxWait;
    ++m_rotation;
    for (std::size_t i = 0; i < m_keepers.size(); ++i) {
        const KeeperId &keeper = m_keepers[(m_rotation + i) % m_keepers.size()];
        Time next = Time::max();
        for (const RunnerId &runner : runners) {
            next = std::min(next, nextPermit(runner, keeper, now));
        }
        if (next < earliest || (chosen == nullptr && next == earliest)) {
            earliest = next;
            chosen = &keeper;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

void PermitSchedule::recordNext(const RunnerId &runner, const KeeperId &keeper, Time next)
{
    m_next[runner][keeper] = next;
}

void PermitSchedule::recordSilence(const KeeperId &keeper, Time now)
{
    m_silentUntil[keeper] = now + silenceBackoff;
}

void PermitSchedule::forget(const RunnerId &runner)
{
    m_next.erase(runner);
}

}
