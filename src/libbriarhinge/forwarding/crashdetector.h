#pragma once

#include "base/units.h"
#include "dispatch/loadbalancer.h"
#include "forwarding/prober.h"
#include "logging/eventlog.h"
#include "metrics/exchangemetrics.h"
#include "placement/suspecttable.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhinge::forwarding
{

/** An attempt whose connection was lost after the request had been sent. */
struct LostAttempt
{
    /** The crash that the loss stands for, if the runner has crashed. */
    placement::CrashId crash;
    placement::CrashedRequest request;
};

/**
 * Decides whether a lost connection means that the request may have crashed its runner. Not thread-safe.
 *
 * It does not if the runner still listens, was leaving, is unreachable, or ended together with its zone; the last does
 * not hold for a request that was running on the other runners, too.
 */
template <Prober ProberType>
class CrashDetector
{
public:
    /** Receives the report of a crash that the requests in it may have caused. */
    using CrashHandler = std::function<void(const placement::CrashReport &)>;

    /**
     * @param prober finds out whether runners still listen
     * @param balancer the known runners
     * @param suspects requests under check are kept on trial here
     * @param log receives the decisions
     * @param metrics counts the decisions
     * @param onCrash receives the crashes
     */
    CrashDetector(ProberType &prober, const dispatch::LoadBalancer &balancer, placement::SuspectTable &suspects,
                  logging::EventLog &log, metrics::ExchangeMetrics &metrics, CrashHandler onCrash)
        : m_prober(prober)
        , m_balancer(balancer)
        , m_suspects(suspects)
        , m_log(log)
        , m_metrics(metrics)
        , m_onCrash(std::move(onCrash))
    {
    }

    /**
     * Checks the runner of a lost attempt. Other requests with the same digest wait until that is done.
     *
     * @param lost the attempt
     */
    void connectionLost(const LostAttempt &lost)
    {
        m_suspects.beginTrial(lost.request, std::chrono::steady_clock::now());
        const auto [found, isNew] = m_checks.try_emplace(lost.crash);
        Check &check = found->second;
        if (!check.lists(lost.request.digest)) {
            check.requests.push_back(lost.request);
        }
        if (!isNew) {
            return;
        }
        check.runner = dispatch::RunnerId(lost.crash.runner);
        const dispatch::RegisteredRunner *registration = m_balancer.registration(check.runner);
        if (registration == nullptr || m_balancer.isLeaving(check.runner)) {
            finish(lost.crash, Result::Leaving);
            return;
        }
        check.neighbours = m_balancer.neighbours(check.runner);
        std::erase_if(check.neighbours, [this](const dispatch::RegisteredRunner &neighbour) {
            return m_suspects.hasCrashed(neighbour.id.value());
        });
        if (check.neighbours.size() > maxNeighbours) {
            check.neighbours.resize(maxNeighbours);
        }
        m_prober.probe(registration->address, socketCloseTime, [this, crash = lost.crash](Reachability reachability) {
            runnerProbed(crash, reachability);
        });
    }

private:
    enum class Result {
        Crashed,
        /** The runner still listens. */
        Alive,
        /** The runner was draining or its registration was gone. */
        Leaving,
        Unreachable,
        /** The runners beside it are down as well. */
        ZoneDown,
    };

    static constexpr std::size_t maxNeighbours = 3;
    /** Runners of one zone that end within this time may have ended for one reason. */
    static constexpr base::Milliseconds simultaneity{1000};
    static constexpr std::size_t maxFinishedChecks = 64;

    struct Check
    {
        dispatch::RunnerId runner;
        std::vector<placement::CrashedRequest> requests;
        std::vector<dispatch::RegisteredRunner> neighbours;
        std::size_t pendingProbes = 0;
        bool isNeighbourAlive = false;

        bool lists(const base::Digest &digest) const
        {
            return std::any_of(requests.begin(), requests.end(), [&digest](const placement::CrashedRequest &request) {
                return request.digest == digest;
            });
        }
    };

    struct FinishedCheck
    {
        Check check;
        std::chrono::steady_clock::time_point finishedAt;
    };

    static std::string_view resultName(Result result)
    {
        switch (result) {
        case Result::Crashed:
            return "crashed";
        case Result::Alive:
            return "alive";
        case Result::Leaving:
            return "leaving";
        case Result::Unreachable:
            return "unreachable";
        case Result::ZoneDown:
            break;
        }
        return "zone-down";
    }

    void runnerProbed(const placement::CrashId &crash, Reachability reachability)
    {
        if (reachability != Reachability::Refused) {
            finish(crash, reachability == Reachability::Reachable ? Result::Alive : Result::Unreachable);
            return;
        }
        Check &check = m_checks.at(crash);
        const bool isRegistered = m_balancer.registration(check.runner) != nullptr;
        if (isRegistered && m_balancer.isLeaving(check.runner)) {
            finish(crash, Result::Leaving);
            return;
        }
        if (check.neighbours.empty()) {
            finish(crash, Result::Crashed);
            return;
        }
        check.pendingProbes = check.neighbours.size();
        for (const dispatch::RegisteredRunner &neighbour : check.neighbours) {
            m_prober.probe(neighbour.address, base::Milliseconds(0), [this, crash](Reachability result) {
                neighbourProbed(crash, result);
            });
        }
    }

    void neighbourProbed(const placement::CrashId &crash, Reachability reachability)
    {
        Check &check = m_checks.at(crash);
        check.isNeighbourAlive = check.isNeighbourAlive || reachability == Reachability::Reachable;
        if (--check.pendingProbes == 0) {
            finish(crash, check.isNeighbourAlive ? Result::Crashed : Result::ZoneDown);
        }
    }

    void finish(const placement::CrashId &crash, Result result)
    {
        Check check = std::move(m_checks.at(crash));
        m_checks.erase(crash);
        m_metrics.runnerChecked(resultName(result));
        m_log.write(logging::events::runnerChecked,
                    {{"runner", crash.runner},
                     {"started", crash.startedAt},
                     {"result", std::string(resultName(result))},
                     {"requests", check.requests.size()}});
        placement::CrashReport report{crash, {}};
        if (result == Result::Crashed) {
            report.requests = check.requests;
        } else if (result == Result::ZoneDown) {
            report.requests = requestsOfNeighbours(check);
        }
        if (!report.requests.empty()) {
            m_onCrash(report);
        }
        for (const placement::CrashedRequest &request : check.requests) {
            m_suspects.endTrial(request.digest, false);
        }
        const auto now = std::chrono::steady_clock::now();
        m_finished.push_back({std::move(check), now});
        while (m_finished.size() > maxFinishedChecks || m_finished.front().finishedAt + simultaneity < now) {
            m_finished.pop_front();
        }
    }

    /** @return the requests of a check that were running on one of the neighbours as well */
    std::vector<placement::CrashedRequest> requestsOfNeighbours(const Check &check) const
    {
        std::vector<placement::CrashedRequest> requests;
        std::copy_if(check.requests.begin(), check.requests.end(), std::back_inserter(requests),
                     [this, &check](const placement::CrashedRequest &request) {
                         return std::any_of(check.neighbours.begin(), check.neighbours.end(),
                                            [this, &request](const dispatch::RegisteredRunner &neighbour) {
                                                return wasRunning(request.digest, neighbour.id);
                                            });
                     });
        return requests;
    }

    bool wasRunning(const base::Digest &digest, const dispatch::RunnerId &runner) const
    {
        const auto matches = [&digest, &runner](const Check &check) {
            return check.runner == runner && check.lists(digest);
        };
        return std::any_of(m_checks.begin(), m_checks.end(),
                           [&matches](const auto &item) {
                               return matches(item.second);
                           })
            || std::any_of(m_finished.begin(), m_finished.end(), [&matches](const FinishedCheck &finished) {
                   return matches(finished.check);
               });
    }

    ProberType &m_prober;
    const dispatch::LoadBalancer &m_balancer;
    placement::SuspectTable &m_suspects;
    logging::EventLog &m_log;
    metrics::ExchangeMetrics &m_metrics;
    const CrashHandler m_onCrash;
    std::map<placement::CrashId, Check> m_checks;
    /** Checks that were finished not long ago, in this order. */
    std::deque<FinishedCheck> m_finished;
};

}
