#include "runner/holdtable.h"

#include <algorithm>

namespace briarhinge::runner
{

namespace
{

/** Weight of the latest pause in the moving average. */
constexpr double newestWeight = 0.05;
/** A prefix is held for this many mean pauses. */
constexpr double pausesToWait = 3;

}

HoldTable::HoldTable(const HoldTimes &times)
    : m_times(times)
{
}

void HoldTable::turnStarted(const base::ProgramId &program, base::Timestamp now)
{
    m_ended.erase(program);
    const auto found = m_holds.find(program);
    if (found == m_holds.end()) {
        return;
    }
    const auto pauseMs = static_cast<double>((now - found->second.heldSince).count());
    m_meanPauseMs = m_meanPauseMs == 0 ? pauseMs : m_meanPauseMs + newestWeight * (pauseMs - m_meanPauseMs);
}

std::optional<base::Milliseconds> HoldTable::turnEnded(const base::ProgramId &program, OwnerKey owner,
                                                       base::Milliseconds breakEven, base::Timestamp now)
{
    const base::Milliseconds time = holdTime(breakEven);
    if (time <= base::Milliseconds(0) || m_ended.contains(program)) {
        m_holds.erase(program);
        return std::nullopt;
    }
    m_holds[program] = {owner, now, now + time, now + m_times.renewal};
    return std::min(m_times.lease, time);
}

void HoldTable::programEnded(const base::ProgramId &program, base::Timestamp now)
{
    m_ended[program] = now;
    m_holds.erase(program);
}

void HoldTable::ownerGone(OwnerKey owner)
{
    std::erase_if(m_holds, [&](const auto &item) {
        return item.second.owner == owner;
    });
}

DueHolds HoldTable::due(base::Timestamp now)
{
    std::erase_if(m_ended, [&](const auto &item) {
        return item.second + m_times.keepTime < now;
    });
    DueHolds due;
    for (auto item = m_holds.begin(); item != m_holds.end();) {
        const auto present = item++;
        Hold &hold = present->second;
        if (hold.until <= now) {
            due.release.push_back(present->first);
            m_holds.erase(present);
        } else if (hold.renewAt <= now) {
            due.renew.push_back(present->first);
            hold.renewAt = now + m_times.renewal;
        }
    }
    return due;
}

std::size_t HoldTable::size() const
{
    return m_holds.size();
}

base::Milliseconds HoldTable::holdTime(base::Milliseconds breakEven) const
{
    const base::Milliseconds most = std::min(breakEven, m_times.longest);
    if (m_meanPauseMs == 0) {
        return most;
    }
    const base::Milliseconds expected(static_cast<std::int64_t>(m_meanPauseMs));
    if (expected > most) {
        return base::Milliseconds(0);
    }
    const base::Milliseconds wanted(static_cast<std::int64_t>(m_meanPauseMs * pausesToWait));
    return std::min(most, std::max(m_times.lease, wanted));
}

}
