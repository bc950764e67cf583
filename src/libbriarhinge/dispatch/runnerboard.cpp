#include "dispatch/runnerboard.h"

#include <algorithm>
#include <limits>

namespace briarhinge::dispatch
{

namespace
{

/** Age at which a reported load no longer counts; its weight falls linearly until then. Requests take about 200 ms. */
constexpr base::Milliseconds loadFade{1500};
/** How long a runner that refused a request is considered full: a fraction of a request's duration. */
constexpr base::Milliseconds fullPause{60};
/** Assumed cache size of an engine that declares none. */
const base::Tokens assumedCache{50'000};

}

RunnerBoard::RunnerBoard(base::ZoneName zone, const PlaceWeights &weights)
    : m_zone(std::move(zone))
    , m_weights(weights)
{
}

bool RunnerBoard::registered(const RegisteredRunner &entry)
{
    const auto [found, isNew] = m_runners.try_emplace(entry.id);
    Runner &runner = found->second;
    if (isNew) {
        runner.entry = entry;
        return true;
    }
    const bool isOlderStart = entry.startedAt < runner.entry.startedAt;
    const bool isOlder = entry.startedAt == runner.entry.startedAt && entry.sequence < runner.entry.sequence;
    if (isOlderStart || isOlder) {
        return false;
    }
    if (entry.startedAt > runner.entry.startedAt) {
        runner.parts.clear();
        runner.health = {};
        runner.record = {};
        runner.toldAt.reset();
        runner.fullUntil.reset();
    }
    const bool isChanged = entry.isDraining != runner.entry.isDraining || entry.address != runner.entry.address
        || entry.startedAt != runner.entry.startedAt || entry.service != runner.entry.service;
    runner.entry = entry;
    return isChanged;
}

bool RunnerBoard::removed(const RunnerId &id)
{
    return m_runners.erase(id) > 0;
}

double RunnerBoard::busyOf(const Runner &runner, Time now)
{
    const double own = runner.outstanding;
    if (!runner.toldAt) {
        return own;
    }
    const auto age = std::chrono::duration<double>(now - *runner.toldAt) / std::chrono::duration<double>(loadFade);
    const double weight = std::clamp(1.0 - age, 0.0, 1.0);
    const double others = std::max(0.0, static_cast<double>(runner.told) - runner.outstandingThen);
    return own + others * weight;
}

double RunnerBoard::troubleOf(const Runner &runner, const Need &need, Time now) const
{
    const double slowness = runner.record.slowness(now);
    const double late = need.engine ? m_weights.turnMs * std::max(0.0, slowness - m_weights.toleratedOfEngines)
                                    : m_weights.workMs * std::max(0.0, slowness - m_weights.tolerated);
    return late + m_weights.failureMs * runner.record.failureShare(now);
}

double RunnerBoard::costOf(const Runner &runner, const Need &need, Time now) const
{
    const double busy = busyOf(runner, now);
    const double slots = std::max(1U, runner.entry.slots);
    const double waiting = std::max(0.0, busy + 1 - slots);
    double cost = troubleOf(runner, need, now) + (runner.entry.zone == m_zone ? 0 : m_weights.otherZoneMs);
    if (!need.engine) {
        return cost + busy + waiting / slots * m_weights.workMs;
    }
    const std::uint64_t cached = runner.parts.cached(need.promptParts).value();
    const auto prompt = static_cast<double>(need.promptTokens.value());
    double kept = std::min(static_cast<double>(cached), prompt);
    if (runner.entry.id == need.home) {
        kept = std::max(kept, prompt * m_weights.keptAtHome);
    }
    const double unread = prompt - kept;
    cost += unread / m_weights.tokensPerMs;
    cost += std::min(busy, slots) * m_weights.perRunningMs;
    cost += waiting / slots * m_weights.turnMs;
    return cost;
}

std::variant<Choice, NoPlace> RunnerBoard::choose(const Need &need, Time now)
{
    const Runner *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    bool isFull = false;
    std::vector<const Runner *> avoided;
    ++m_turn;
    std::size_t index = 0;
    for (const auto &[id, runner] : m_runners) {
        const bool fits =
            runner.entry.service == need.service && !runner.entry.isDraining && !need.excluded.contains(id);
        if (!fits) {
            continue;
        }
        if (runner.fullUntil && now < *runner.fullUntil) {
            isFull = true;
            continue;
        }
        if (runner.health.isAvoided(now, runner.outstanding)) {
            avoided.push_back(&runner);
            continue;
        }
        // The tie-break rotates between runners of equal cost, so that entries do not all select the first one.
        const double tieBreak = static_cast<double>((index++ * 7 + m_turn) % 16) / 16;
        const double cost = costOf(runner, need, now) + tieBreak;
        if (cost < bestCost) {
            bestCost = cost;
            best = &runner;
        }
    }
    if (best == nullptr && !avoided.empty() && !isFull) {
        best = *std::min_element(avoided.begin(), avoided.end(), [](const Runner *left, const Runner *right) {
            return left->health.avoidedUntil() < right->health.avoidedUntil();
        });
    }
    if (best == nullptr) {
        return NoPlace{isFull};
    }
    return Choice{best->entry.id, best->entry.address, busyOf(*best, now), best->parts.cached(need.promptParts)};
}

void RunnerBoard::sent(const RunnerId &id, const Need &need)
{
    change(id, [&need](Runner &runner) {
        ++runner.outstanding;
        if (need.engine) {
            const base::Tokens declared = need.engine->cacheTokens;
            runner.parts.sent(need.promptParts, declared.value() > 0 ? declared : assumedCache);
        }
    });
}

void RunnerBoard::ended(const RunnerId &id)
{
    change(id, [](Runner &runner) {
        runner.outstanding -= std::min(runner.outstanding, 1U);
    });
}

void RunnerBoard::loadSeen(const RunnerId &id, const forwarding::LoadSeen &load, Time now)
{
    change(id, [&load, now](Runner &runner) {
        runner.told = load.running + load.waiting;
        runner.outstandingThen = runner.outstanding;
        runner.toldAt = now;
    });
}

void RunnerBoard::failed(const RunnerId &id, Time now)
{
    change(id, [now](Runner &runner) {
        runner.health.failed(now);
    });
}

void RunnerBoard::refused(const RunnerId &id, Time now)
{
    change(id, [now](Runner &runner) {
        runner.fullUntil = now + fullPause;
    });
}

void RunnerBoard::progressed(const RunnerId &id)
{
    change(id, [](Runner &runner) {
        runner.health.progressed();
    });
}

void RunnerBoard::answered(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time time, Time now)
{
    change(id, [slowness = m_usual.add(route, time), now](Runner &runner) {
        runner.record.answered(slowness, now);
    });
}

void RunnerBoard::erred(const RunnerId &id, Time now)
{
    change(id, [now](Runner &runner) {
        runner.record.failed(now);
    });
}

void RunnerBoard::stoodStill(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time waited, Time now)
{
    // Only runners with free slots count as slow: on a full runner, a request may wait long in the queue.
    change(id, [slowness = m_usual.multiple(route, waited), now](Runner &runner) {
        if (slowness > 1 && busyOf(runner, now) < runner.entry.slots) {
            runner.record.answered(slowness, now);
        }
    });
}

std::size_t RunnerBoard::size() const
{
    return m_runners.size();
}

}
