#include "dispatch/permitkeeper.h"

#include "dispatch/permitwait.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Requests a second that a runner with a limit of 0 gets: its answers are all that tells the end of the limit. */
constexpr double minRate = 0.25;
/** An entry asks again after this time if the keeper has no share, or remembers too many other runners. */
constexpr base::Milliseconds noPermitDelay{250};

std::chrono::steady_clock::duration permitInterval(requests::RequestRate limit, std::size_t keepers)
{
    const std::chrono::duration<double> interval(static_cast<double>(keepers) / std::max(limit.value(), minRate));
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval);
}

}

PermitKeeper::PermitKeeper(Time startTime, std::size_t maxRunners)
    : m_startTime(startTime)
    , m_maxRunners(maxRunners)
    , m_rates(maxRunners)
{
}

PermitKeeper::Decision PermitKeeper::decide(const PermitRequest &request, std::size_t keepers, Time now)
{
    PermitDenied denied;
    std::size_t first = 0;
    for (const KnownRate &runner : request.runners) {
        const auto runnerDelay = delay(runner, keepers, now);
        if (!runnerDelay) {
            return PermitGranted{runner.runner};
        }
        denied.delays.push_back(*runnerDelay);
        if (denied.delays.back() < denied.delays[first]) {
            first = denied.delays.size() - 1;
        }
    }
    if (denied.delays.empty() || denied.delays[first] > std::min(request.maxWait, longestPermitWait)) {
        return denied;
    }
    const RunnerId &id = request.runners[first].runner;
    const auto bucket = m_buckets.find(id);
    if (keepers == 0 || bucket == m_buckets.end()) {
        return denied;
    }
    bucket->second.last = now + denied.delays[first];
    return PermitGranted{id, denied.delays[first]};
}

std::optional<std::chrono::steady_clock::duration> PermitKeeper::delay(const KnownRate &runner, std::size_t keepers,
                                                                       Time now)
{
    m_rates.record(runner.runner, runner.statement);
    const RateStatement *rate = m_rates.statement(runner.runner);
    const bool isForgotten = rate == nullptr && runner.statement.limit;
    if (keepers == 0 || isForgotten) {
        return noPermitDelay;
    }
    if (rate == nullptr || !rate->limit) {
        if (const auto bucket = m_buckets.find(runner.runner); bucket != m_buckets.end()) {
            bucket->second.hasEnded = true;
        }
        return std::nullopt;
    }
    const Bucket &bucket = updateBucket(runner.runner, *rate, now);
    return std::max(bucket.last + permitInterval(*rate->limit, keepers), now) - now;
}

const PermitKeeper::Bucket &PermitKeeper::updateBucket(const RunnerId &id, const RateStatement &rate, Time now)
{
    const auto [found, isNew] = m_buckets.try_emplace(id);
    Bucket &bucket = found->second;
    if (isNew || bucket.hasEnded || bucket.startedAt != rate.startedAt) {
        const Time previous = isNew ? m_startTime + longestPermitWait : bucket.last;
        bucket = {rate.startedAt, false, std::max(previous, now)};
        if (m_buckets.size() > m_maxRunners) {
            std::erase_if(m_buckets, [this, &id](const auto &other) {
                return other.first != id && m_rates.statement(other.first) == nullptr;
            });
        }
    }
    return bucket;
}

const RateStatement *PermitKeeper::statement(const RunnerId &id) const
{
    return m_rates.statement(id);
}

}
