#include "forwarding/unansweredattempts.h"

#include <algorithm>
#include <utility>

namespace briarhinge::forwarding
{

namespace
{

void addTo(std::vector<placement::CrashReport> &reports, const UnansweredAttempt &attempt)
{
    auto report = std::find_if(reports.begin(), reports.end(), [&attempt](const auto &candidate) {
        return candidate.crash == attempt.crash;
    });
    if (report == reports.end()) {
        report = reports.insert(reports.end(), {attempt.crash, {}});
    }
    const bool isListed =
        std::any_of(report->requests.begin(), report->requests.end(), [&attempt](const auto &request) {
            return request.digest == attempt.request.digest;
        });
    if (!isListed) {
        report->requests.push_back(attempt.request);
    }
}

}

void UnansweredAttempts::record(UnansweredAttempt attempt, Time now)
{
    if (attempt.crash.startedAt == 0) {
        // Without the start of its incarnation, a later one can't be told from it.
        return;
    }
    expire(now);
    if (m_pending.size() == maxAttempts) {
        m_pending.pop_front();
    }
    m_pending.push_back({std::move(attempt), now, 0, {}, {}});
}

void UnansweredAttempts::runnerAnswered(const dispatch::RunnerId &runner, std::uint64_t startedAt, Time sentAt)
{
    if (m_pending.empty()) {
        return;
    }
    std::erase_if(m_pending, [&](const Pending &pending) {
        const placement::CrashId &crash = pending.attempt.crash;
        return crash.runner == runner.value() && crash.startedAt == startedAt && sentAt >= pending.endedAt;
    });
}

void UnansweredAttempts::runnerLeft(const dispatch::RunnerId &runner)
{
    std::erase_if(m_pending, [&runner](const Pending &pending) {
        return pending.attempt.crash.runner == runner.value() && pending.successorStart == 0;
    });
}

void UnansweredAttempts::runnerRegistered(const dispatch::RegisteredRunner &registration, Time now)
{
    const bool isListed = std::any_of(m_restarts.begin(), m_restarts.end(), [&registration](const Restart &restart) {
        return restart.address == registration.address && restart.startedAt == registration.startedAt;
    });
    if (isListed || registration.startedAt == 0) {
        return;
    }
    if (m_restarts.size() == maxRestarts) {
        m_restarts.pop_front();
    }
    m_restarts.push_back({registration.address, registration.zone, registration.startedAt, now});
    for (Pending &pending : m_pending) {
        const UnansweredAttempt &attempt = pending.attempt;
        const bool isInItsPlace =
            attempt.crash.runner == registration.id.value() || attempt.address == registration.address;
        if (isInItsPlace && pending.successorStart == 0 && registration.startedAt > attempt.crash.startedAt) {
            pending.successorStart = registration.startedAt;
            pending.zone = registration.zone;
            pending.foundAt = now;
        }
    }
}

std::vector<placement::CrashReport> UnansweredAttempts::takeReports(Time now)
{
    std::vector<placement::CrashReport> reports;
    for (const Pending &pending : m_pending) {
        if (isDue(pending, now) && !isExplainedByZone(pending)) {
            addTo(reports, pending.attempt);
        }
    }
    std::erase_if(m_pending, [now](const Pending &pending) {
        return isDue(pending, now);
    });
    expire(now);
    return reports;
}

bool UnansweredAttempts::isDue(const Pending &pending, Time now)
{
    return pending.successorStart > 0 && now - pending.foundAt >= simultaneity;
}

bool UnansweredAttempts::isExplainedByZone(const Pending &pending) const
{
    const auto distance = [](std::uint64_t left, std::uint64_t right) {
        return left > right ? left - right : right - left;
    };
    const bool isAlone = std::none_of(m_restarts.begin(), m_restarts.end(), [&](const Restart &restart) {
        return restart.zone == pending.zone && restart.address != pending.attempt.address
            && distance(restart.startedAt, pending.successorStart) <= static_cast<std::uint64_t>(simultaneity.count());
    });
    if (isAlone) {
        return false;
    }
    // A request that was running on several runners of the zone may have ended all of them.
    return std::none_of(m_pending.begin(), m_pending.end(), [&pending](const Pending &other) {
        return other.attempt.request.digest == pending.attempt.request.digest
            && other.attempt.address != pending.attempt.address && other.successorStart > 0;
    });
}

void UnansweredAttempts::expire(Time now)
{
    while (!m_pending.empty() && now - m_pending.front().endedAt > retention) {
        m_pending.pop_front();
    }
    while (!m_restarts.empty() && now - m_restarts.front().foundAt > retention) {
        m_restarts.pop_front();
    }
}

std::size_t UnansweredAttempts::size() const
{
    return m_pending.size();
}

}
