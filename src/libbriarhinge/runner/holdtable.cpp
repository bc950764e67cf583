#include "runner/holdtable.h"

#include <algorithm>

namespace briarhinge::runner
{

namespace
{

/** Weight of the latest pause in the moving average. */
constexpr double newestWeight = 0.05;
/** A prefix is held for this many mean pauses. */
constexpr double meanPausesPerHold = 3;

}

HoldTable::HoldTable(const HoldTimes &times)
    : m_times(times)
{
}

void HoldTable::turnStarted(const base::ProgramId &program, base::Timestamp now)
{
    m_endedPrograms.erase(program);
    const auto found = m_holds.find(program);
    if (found == m_holds.end()) {
        return;
    }
    const auto pauseMs = static_cast<double>((now - found->second.startedAt).count());
    m_meanPauseMs = m_meanPauseMs == 0 ? pauseMs : m_meanPauseMs + newestWeight * (pauseMs - m_meanPauseMs);
}

std::optional<base::Milliseconds> HoldTable::turnEnded(const base::ProgramId &program, OwnerKey owner,
                                                       base::Milliseconds breakEven, base::Timestamp now)
{
    const base::Milliseconds time = computeHoldTime(breakEven);
    if (time <= base::Milliseconds(0) || m_endedPrograms.contains(program)) {
        m_holds.erase(program);
        return std::nullopt;
    }
    m_holds[program] = {owner, now, now + time, now + m_times.renewInterval};
    return std::min(m_times.lease, time);
}

void HoldTable::programEnded(const base::ProgramId &program, base::Timestamp now)
{
    m_endedPrograms[program] = now;
    m_holds.erase(program);
}

void HoldTable::removeOwner(OwnerKey owner)
{
    std::erase_if(m_holds, [&](const auto &item) {
        return item.second.owner == owner;
    });
}

DueHolds HoldTable::takeDue(base::Timestamp now)
{
    std::erase_if(m_endedPrograms, [&](const auto &item) {
        return item.second + m_times.endedProgramRetention < now;
    });
    DueHolds due;
    for (auto item = m_holds.begin(); item != m_holds.end();) {
        const auto current = item++;
        Hold &hold = current->second;
        if (hold.expiresAt <= now) {
            due.release.push_back(current->first);
            m_holds.erase(current);
        } else if (hold.renewAt <= now) {
            due.renew.push_back(current->first);
            hold.renewAt = now + m_times.renewInterval;
        }
    }
    return due;
}

std::size_t HoldTable::size() const
{
    return m_holds.size();
}

base::Milliseconds HoldTable::computeHoldTime(base::Milliseconds breakEven) const
{
    const base::Milliseconds maxTime = std::min(breakEven, m_times.maxHoldTime);
    if (m_meanPauseMs == 0) {
        return maxTime;
    }
    const base::Milliseconds expected(static_cast<std::int64_t>(m_meanPauseMs));
    if (expected > maxTime) {
        return base::Milliseconds(0);
    }
    const base::Milliseconds waitTime(static_cast<std::int64_t>(m_meanPauseMs * meanPausesPerHold));
    return std::min(maxTime, std::max(m_times.lease, waitTime));
}

}
