#include "dispatch/loadbalancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace briarhinge::dispatch
{

namespace
{

/** Age at which a reported load no longer counts; its weight falls linearly until then. Requests take about 200 ms. */
constexpr base::Milliseconds maxLoadReportAge{1500};
/** Age up to which reports show the load of a service as a whole: bursts change it within a second. */
constexpr base::Milliseconds maxServiceReportAge{700};
/** Fewer reports may come from the busiest runners by chance. */
constexpr int minServiceReports = 5;
/**
 * The same while runners of the service have limits: each entry hears less of the others. Reports then count up to
 * maxLoadReportAge.
 */
constexpr int minReportsWithLimits = 3;
/** How long a runner that refused a request is considered full: a fraction of a request's duration. */
constexpr base::Milliseconds fullBackoff{60};
/** More runners than leave while the platform's store is away and lists them as sound. */
constexpr std::size_t maxGoneLeavingRunners = 1024;
/** Runners for which one permit request asks; more seldom help, and each costs some 100 bytes. */
constexpr std::size_t maxPermitCandidates = 8;
/** Assumed cache size of an engine that declares none. */
const base::Tokens defaultCacheTokens{50'000};

}

LoadBalancer::LoadBalancer(base::ZoneName zone, const PlacementWeights &weights)
    : m_zone(std::move(zone))
    , m_weights(weights)
    , m_leaving(maxGoneLeavingRunners)
{
}

bool LoadBalancer::registerRunner(const RegisteredRunner &registration)
{
    const auto [found, isNew] = m_runners.try_emplace(registration.id);
    Runner &runner = found->second;
    if (isNew) {
        runner.registration = registration;
        m_leaving.recordRegistration(registration.id, registration.startedAt);
        m_rateLimits.recordRegistration(registration.id, registration.startedAt);
        return true;
    }
    const bool isOlderStart = registration.startedAt < runner.registration.startedAt;
    const bool isOlder =
        registration.startedAt == runner.registration.startedAt && registration.sequence < runner.registration.sequence;
    if (isOlderStart || isOlder) {
        return false;
    }
    m_leaving.recordRegistration(registration.id, registration.startedAt);
    m_rateLimits.recordRegistration(registration.id, registration.startedAt);
    if (registration.startedAt > runner.registration.startedAt) {
        runner.promptCache.clear();
        runner.health = {};
        runner.performance = {};
        runner.loadReportedAt.reset();
        runner.fullUntil.reset();
    }
    const bool isChanged = registration.isDraining != runner.registration.isDraining
        || registration.address != runner.registration.address
        || registration.startedAt != runner.registration.startedAt
        || registration.service != runner.registration.service;
    runner.registration = registration;
    return isChanged;
}

bool LoadBalancer::removeRunner(const RunnerId &id)
{
    m_leaving.recordRemoval(id);
    m_permitSchedule.forget(id);
    return m_runners.erase(id) > 0;
}

double LoadBalancer::estimatedLoad(const Runner &runner, double usualLoad, Time now)
{
    const double own = runner.outstanding;
    const double usual = usualLoad * runner.registration.slots;
    if (!runner.loadReportedAt) {
        return own + usual;
    }
    const auto age =
        std::chrono::duration<double>(now - *runner.loadReportedAt) / std::chrono::duration<double>(maxLoadReportAge);
    const double weight = std::clamp(1.0 - age, 0.0, 1.0);
    const double others = std::max(0.0, static_cast<double>(runner.reportedLoad) - runner.outstandingAtReport);
    return own + others * weight + usual * (1 - weight);
}

double LoadBalancer::usualLoad(const requests::ServiceName &service, Time now) const
{
    // Without limits all runners are alike. With them, those without are full, and one of many entries hears of each of
    // them too seldom to tell it from an idle one.
    return hasLimits(service) ? loadPerSlot(service, now).value_or(0) : 0;
}

double LoadBalancer::penalty(const Runner &runner, const PlacementRequest &request, Time now) const
{
    const double slowness = runner.performance.slowness(now);
    const double slownessPenalty = request.engine
        ? m_weights.turnDurationMs * std::max(0.0, slowness - m_weights.toleratedEngineSlowness)
        : m_weights.plainRequestDurationMs * std::max(0.0, slowness - m_weights.toleratedSlowness);
    return slownessPenalty + m_weights.failureMs * runner.performance.failureRate(now);
}

double LoadBalancer::placementCost(const Runner &runner, const PlacementRequest &request, double load, Time now) const
{
    const double slots = std::max(1U, runner.registration.slots);
    const double waiting = std::max(0.0, load + 1 - slots);
    double cost = penalty(runner, request, now) + (runner.registration.zone == m_zone ? 0 : m_weights.crossZoneMs);
    if (!request.engine) {
        return cost + load + waiting / slots * m_weights.plainRequestDurationMs;
    }
    const std::uint64_t cachedTokens = runner.promptCache.cachedTokens(request.promptBlocks).value();
    const auto promptTokens = static_cast<double>(request.promptTokens.value());
    double reusedTokens = std::min(static_cast<double>(cachedTokens), promptTokens);
    if (runner.registration.id == request.previousRunner) {
        reusedTokens = std::max(reusedTokens, promptTokens * m_weights.expectedCachedShare);
    }
    const double prefillTokens = promptTokens - reusedTokens;
    cost += prefillTokens / m_weights.prefillTokensPerMs;
    cost += std::min(load, slots) * m_weights.delayPerRequestMs;
    cost += waiting / slots * m_weights.turnDurationMs;
    return cost;
}

std::variant<Placement, NoCapacity> LoadBalancer::selectRunner(const PlacementRequest &request, Time now)
{
    const Runner *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    NoCapacity noCapacity;
    const double usual = usualLoad(request.service, now);
    std::vector<const Runner *> avoided;
    std::vector<std::pair<double, RunnerId>> limited;
    double bestUnlimitedCost = std::numeric_limits<double>::max();
    ++m_rotation;
    std::size_t index = 0;
    for (const auto &[id, runner] : m_runners) {
        const bool isEligible =
            runner.registration.service == request.service && !isLeaving(runner) && !request.excluded.contains(id);
        if (!isEligible) {
            continue;
        }
        if (runner.fullUntil && now < *runner.fullUntil) {
            noCapacity.hasFullRunners = true;
            continue;
        }
        const bool isLimited = m_rateLimits.limit(id).has_value();
        double permitDelayMs = 0;
        if (isLimited) {
            const Time next = m_permitSchedule.nextPermit(id, now);
            noCapacity.nextPermit = std::min(next, noCapacity.nextPermit.value_or(Time::max()));
            if (next - now > request.permitWait) {
                continue;
            }
            permitDelayMs = std::chrono::duration<double, std::milli>(next - now).count();
        }
        if (runner.health.isAvoided(now, runner.outstanding)) {
            avoided.push_back(&runner);
            continue;
        }
        // The tie-break rotates between runners of equal cost, so that entries do not all select the first one.
        const double tieBreak = static_cast<double>((index++ * 7 + m_rotation) % 16) / 16;
        const double load = estimatedLoad(runner, isLimited ? 0 : usual, now);
        double cost = (request.isSuspect ? load : placementCost(runner, request, load, now)) + tieBreak;
        if (isLimited) {
            cost += m_weights.limitedRunnerMs + permitDelayMs;
            limited.emplace_back(cost, id);
        } else {
            bestUnlimitedCost = std::min(bestUnlimitedCost, cost);
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = &runner;
        }
    }
    if (best == nullptr && !avoided.empty() && !noCapacity.hasFullRunners) {
        best = *std::min_element(avoided.begin(), avoided.end(), [](const Runner *left, const Runner *right) {
            return left->health.backoffEnd() < right->health.backoffEnd();
        });
    }
    if (best == nullptr) {
        return noCapacity;
    }
    Placement placement = makePlacement(*best, request, usual, now);
    if (m_rateLimits.limit(best->registration.id)) {
        std::sort(limited.begin(), limited.end());
        for (const auto &[cost, id] : limited) {
            if (cost > bestUnlimitedCost || placement.permitCandidates.size() == maxPermitCandidates) {
                break;
            }
            placement.permitCandidates.push_back(id);
        }
        if (placement.permitCandidates.empty()) {
            // All others are avoided.
            placement.permitCandidates.push_back(placement.id);
        }
    }
    return placement;
}

Placement LoadBalancer::makePlacement(const Runner &runner, const PlacementRequest &request, double usualLoad,
                                      Time now) const
{
    const double usual = m_rateLimits.limit(runner.registration.id) ? 0 : usualLoad;
    return {runner.registration.id, runner.registration.address, estimatedLoad(runner, usual, now),
            runner.promptCache.cachedTokens(request.promptBlocks), runner.registration.startedAt};
}

std::optional<Placement> LoadBalancer::placementOn(const RunnerId &id, const PlacementRequest &request, Time now) const
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end() || isLeaving(found->second)) {
        return std::nullopt;
    }
    return makePlacement(found->second, request, 0, now);
}

void LoadBalancer::requestSent(const RunnerId &id, const PlacementRequest &request)
{
    updateRunner(id, [&request](Runner &runner) {
        ++runner.outstanding;
        if (request.engine) {
            const base::Tokens declared = request.engine->cacheTokens;
            runner.promptCache.recordPrompt(request.promptBlocks, declared.value() > 0 ? declared : defaultCacheTokens);
        }
    });
}

void LoadBalancer::requestEnded(const RunnerId &id)
{
    updateRunner(id, [](Runner &runner) {
        runner.outstanding -= std::min(runner.outstanding, 1U);
    });
}

void LoadBalancer::loadReported(const RunnerId &id, const requests::ReportedLoad &load, Time now)
{
    updateRunner(id, [&load, now](Runner &runner) {
        runner.reportedLoad = load.running + load.waiting;
        runner.outstandingAtReport = runner.outstanding;
        runner.loadReportedAt = now;
    });
}

void LoadBalancer::connectionFailed(const RunnerId &id, Time now)
{
    updateRunner(id, [now](Runner &runner) {
        runner.health.recordFailure(now);
    });
}

void LoadBalancer::requestRefused(const RunnerId &id, Time now)
{
    updateRunner(id, [now](Runner &runner) {
        runner.fullUntil = now + fullBackoff;
    });
}

void LoadBalancer::responseStarted(const RunnerId &id)
{
    updateRunner(id, [](Runner &runner) {
        runner.health.recordProgress();
    });
}

void LoadBalancer::requestAnswered(const RunnerId &id, const requests::RouteName &route,
                                   TypicalDurations::Duration duration, Time now)
{
    updateRunner(id, [slowness = m_typicalDurations.add(route, duration), now](Runner &runner) {
        runner.performance.recordResponse(slowness, now);
    });
}

void LoadBalancer::requestFailed(const RunnerId &id, Time now)
{
    updateRunner(id, [now](Runner &runner) {
        runner.performance.recordFailure(now);
    });
}

void LoadBalancer::requestStalled(const RunnerId &id, const requests::RouteName &route,
                                  TypicalDurations::Duration waited, Time now)
{
    // Only runners with free slots count as slow: on a full runner, a request may wait long in the queue.
    updateRunner(id, [slowness = m_typicalDurations.ratioToMean(route, waited), now](Runner &runner) {
        if (slowness > 1 && estimatedLoad(runner, 0, now) < runner.registration.slots) {
            runner.performance.recordResponse(slowness, now);
        }
    });
}

bool LoadBalancer::runnerLeaves(const RunnerId &id, std::uint64_t startedAt)
{
    return m_leaving.add(id, startedAt, m_runners.contains(id));
}

bool LoadBalancer::rateStated(const RunnerId &id, const RateStatement &statement)
{
    const RegisteredRunner *runner = registration(id);
    if (runner != nullptr && statement.startedAt < runner->startedAt) {
        return false;
    }
    const bool isChanged = m_rateLimits.record(id, statement);
    if (isChanged && !m_rateLimits.limit(id)) {
        m_permitSchedule.forget(id);
    }
    return isChanged;
}

const RateStatement *LoadBalancer::rateStatement(const RunnerId &id) const
{
    return m_rateLimits.statement(id);
}

PermitSchedule<RunnerId> &LoadBalancer::permitSchedule()
{
    return m_permitSchedule;
}

requests::RequestRate LoadBalancer::totalLimit(const requests::ServiceName &service) const
{
    double total = 0;
    for (const auto &[id, statement] : m_rateLimits.statements()) {
        const RegisteredRunner *runner = registration(id);
        if (runner != nullptr && runner->service == service && statement.limit) {
            total += statement.limit->value();
        }
    }
    return requests::RequestRate(total);
}

bool LoadBalancer::isLeaving(const RunnerId &id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() || isLeaving(found->second);
}

bool LoadBalancer::isLeaving(const Runner &runner) const
{
    return runner.registration.isDraining || m_leaving.contains(runner.registration.id, runner.registration.startedAt);
}

std::optional<double> LoadBalancer::loadPerSlot(const requests::ServiceName &service, Time now) const
{
    const bool isLimited = hasLimits(service);
    const base::Milliseconds maxAge = isLimited ? maxLoadReportAge : maxServiceReportAge;
    double sum = 0;
    int reports = 0;
    for (const auto &[id, runner] : m_runners) {
        const bool isRecent = runner.loadReportedAt && now - *runner.loadReportedAt < maxAge;
        // The free slots of a runner at its limit can't be used.
        const bool isAtLimit = isLimited && m_rateLimits.limit(id) && m_permitSchedule.nextPermit(id, now) > now;
        if (runner.registration.service != service || !isRecent || isAtLimit) {
            continue;
        }
        const double others = std::max(0.0, static_cast<double>(runner.reportedLoad) - runner.outstandingAtReport);
        sum += (others + runner.outstanding) / std::max(1U, runner.registration.slots);
        ++reports;
    }
    const int enough = isLimited ? minReportsWithLimits : minServiceReports;
    return reports < enough ? std::nullopt : std::optional(sum / reports);
}

bool LoadBalancer::hasLimits(const requests::ServiceName &service) const
{
    const auto &statements = m_rateLimits.statements();
    return std::any_of(statements.begin(), statements.end(), [this, &service](const auto &entry) {
        const RegisteredRunner *runner = registration(entry.first);
        return entry.second.limit && runner != nullptr && runner->service == service;
    });
}

std::size_t LoadBalancer::size() const
{
    return m_runners.size();
}

const RegisteredRunner *LoadBalancer::registration(const RunnerId &id) const
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second.registration;
}

std::vector<RegisteredRunner> LoadBalancer::neighbours(const RunnerId &id) const
{
    std::vector<RegisteredRunner> found;
    const RegisteredRunner *self = registration(id);
    if (self == nullptr) {
        return found;
    }
    for (const auto &[otherId, other] : m_runners) {
        if (otherId != id && other.registration.service == self->service && other.registration.zone == self->zone
            && !isLeaving(other)) {
            found.push_back(other.registration);
        }
    }
    return found;
}

}
