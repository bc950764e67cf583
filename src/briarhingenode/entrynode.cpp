#include "entrynode.h"

#include "platform/documents.h"
#include "platform/wireformat.h"
#include "turns/groupkeys.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace briarhinge::node
{

namespace
{

using boost::system::error_code;
using Exchange = forwarding::Exchange<platform::WireFormat>;

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
/** The platform stops sending new connections after two failed readiness checks, which are a second apart. */
constexpr base::Milliseconds stopAcceptDelay{2600};
constexpr base::Milliseconds stopPollInterval{50};
/** Interval at which the delay of timers is measured: a few times within the 250 ms in which first answers are due. */
constexpr base::Milliseconds checkInterval{50};
/** Interval at which unresponsive turn stores are probed. */
constexpr base::Milliseconds probeInterval{250};
/** Interval at which callers that were turned away are reported; a crowd would otherwise fill the log. */
constexpr base::Milliseconds callerReportInterval{1000};
/**
 * Time after the start before the deployment is fetched from the seeds. An available platform store answers sooner: the
 * time covers a connection and several calls of 4 ms.
 */
constexpr base::Milliseconds seedDelay{250};
constexpr base::Milliseconds seedTimeout{500};
/** Percentage of the time limit for revoked keys after which the accounts are confirmed again: two reads may be lost. */
constexpr int confirmationShare = 40;
/** Connections for readiness checks or metrics; the platform opens one of each at a time. */
constexpr std::size_t maxCheckConnections = 32;
/** Time before SIGKILL at which requests that are still running are aborted. */
constexpr base::Milliseconds stopMargin{400};
/** Time for the last answers to leave before the process ends. */
constexpr base::Milliseconds answerMargin{100};

/** @return the id of the runner that is registered under a key of the platform's store */
dispatch::RunnerId runnerIdFromKey(const std::string &key)
{
    return dispatch::RunnerId(key.substr(platform::runnerPrefix.size()));
}

}

EntryNode::EntryNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log)
    : m_context(context)
    , m_settings(settings)
    , m_log(log)
    , m_memory(settings.machine.bufferBytes())
    , m_exchangeLog(log, m_metrics)
    , m_store(context, settings.storeAddress)
    , m_watch(context, m_store, log, settings.changeTimeLimit)
    , m_balancer(settings.zone)
    , m_connectionPool(context)
    , m_peers(context)
    , m_turns(context, m_peers, turns::QuorumRule{settings.toleratedDiskLosses}, m_memory, settings.zone, log)
    , m_suspects(placement::SuspectLimits{})
    , m_crashSharing(context, m_peers, m_store, settings.name, m_suspects, log)
    , m_rateSharing(context, m_peers,
                    [this](const dispatch::KnownRate &known) {
                        recordRate(known, "entry");
                    })
    , m_permits(context, m_turns, m_balancer,
                [this](const dispatch::KnownRate &known) {
                    recordRate(known, "turn-store");
                })
    , m_usage(context, m_turns, settings.usageTolerance.permitLifetime(),
              [this] {
                  return m_rateSharing.entryCount() + 1;
              })
    , m_knowledge(settings.revocationLimit)
    , m_secondTries(settings.secondTryShare)
    , m_runnerProbe(context)
    , m_crashDetector(m_runnerProbe, m_balancer, m_suspects, log, m_metrics,
                      [this](const placement::CrashReport &report) {
                          m_crashSharing.publish(report);
                      })
    , m_livenessCheck(m_runnerProbe)
    , m_relayServer(
          context, m_peers,
          [this](const wire::Address &address) {
              return m_turns.isMember(address);
          },
          [this](const wire::MessageUnion &message) {
              auto answer = m_crashSharing.handleMessage(message);
              return answer ? answer : m_rateSharing.handleMessage(message);
          },
          log)
    , m_exchangeContext{context,
                        m_balancer,
                        m_admission,
                        m_connectionPool,
                        m_permits,
                        m_usage,
                        m_secondTries,
                        m_metrics,
                        m_knowledge,
                        m_returns,
                        [this] {
                            return m_rateSharing.entryCount() + 1;
                        },
                        m_turns,
                        m_exchangeLog,
                        m_retryDelay,
                        m_suspects,
                        m_unanswered,
                        m_memory,
                        [this](const forwarding::LostAttempt &lost) {
                            m_crashDetector.connectionLost(lost);
                        },
                        [this](const dispatch::Placement &placement, base::Milliseconds age) {
                            recordLeavingRunner(placement, age);
                        },
                        [this](const dispatch::Placement &placement, const dispatch::RateStatement &statement) {
                            recordStatedRate(placement, statement);
                        },
                        [this](const wire::Address &address, std::function<void(bool)> onResult) {
                            m_livenessCheck.check(address, std::move(onResult));
                        },
                        {[this] {
                             return m_routing;
                         },
                         [this] {
                             return m_watch.isStoreAvailable();
                         },
                         [this] {
                             m_isNewerRoutingWanted = true;
                         }},
                        [this] {
                            return m_isStopping ? std::optional(m_stopDeadline - answerMargin) : std::nullopt;
                        }}
    , m_checkTimer(context)
    , m_stopTimer(context)
{
}

std::string EntryNode::start()
{
    const auto limits = [this] {
        return m_routing ? m_routing->limits() : http::ServerLimits{};
    };
    m_callerListener = std::make_unique<http::Listener>(
        m_context, limits, http::ListenerLimits{m_memory, m_settings.machine.callerConnections()},
        [this](const auto &connection, auto request) {
            std::make_shared<Exchange>(m_exchangeContext, connection)->start(std::move(request));
        });
    const http::ListenerLimits checkResources{m_memory, maxCheckConnections};
    const auto plainLimits = [] {
        return http::ServerLimits{};
    };
    m_readinessListener = std::make_unique<http::Listener>(m_context, plainLimits, checkResources,
                                                           [this](const auto &connection, const auto &) {
                                                               answerReadiness(connection);
                                                           });
    m_metricsListener = std::make_unique<http::Listener>(m_context, plainLimits, checkResources,
                                                         [this](const auto &connection, const auto &) {
                                                             connection->respond({statusOk, {}}, m_metrics.text());
                                                         });
    if (!m_settings.callerAddress || !m_settings.readinessAddress) {
        return "an entry needs listen_addrs.front and listen_addrs.ready";
    }
    std::string error = m_callerListener->listen(*m_settings.callerAddress);
    if (error.empty()) {
        error = m_readinessListener->listen(*m_settings.readinessAddress);
    }
    if (error.empty()) {
        error = m_metricsListener->listen(m_settings.metricsAddress);
    }
    if (error.empty()) {
        const auto listening = m_relayServer.listen({m_settings.ip, m_settings.firstInternalPort});
        if (const auto *failure = std::get_if<wire::ListenError>(&listening)) {
            error = failure->reason;
        }
    }
    if (error.empty()) {
        watchRouting();
        watchRunners();
        watchGroup();
        m_watch.start();
        m_startTime = std::chrono::steady_clock::now();
        scheduleChecks();
    }
    return error;
}

void EntryNode::watchRouting()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        applyRouting(item);
    };
    m_watch.subscribe(std::string(platform::operatorPrefix), std::move(handlers));
}

void EntryNode::applyRouting(const keyvalue::KeyValue &item)
{
    if (item.key != platform::routingKey) {
        return;
    }
    const auto routing = platform::parseRouting(item.value);
    if (!routing) {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
        return;
    }
    if (m_routing && routing->version() <= m_routing->version()) {
        return;
    }
    m_routing = routing;
    const accounts::AccountDirectory *accounts = routing->accounts();
    m_log.write(logging::events::routesInForce,
                {{"version", routing->version().value()},
                 {"routes", routing->routeCount()},
                 {"accounts", accounts == nullptr ? 0 : accounts->size()},
                 {"sharedKeys", accounts == nullptr ? 0 : accounts->sharedKeyCount()}});
    if (accounts != nullptr) {
        watchAccounts();
    }
}

void EntryNode::watchAccounts()
{
    if (m_settings.revocationLimit) {
        m_watch.confirmEvery(*m_settings.revocationLimit * confirmationShare / 100, [this](auto asOf) {
            m_knowledge.confirm(asOf);
        });
    }
}

void EntryNode::watchRunners()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        m_unconfirmedRunners.erase(runnerIdFromKey(item.key));
        applyRunner(item);
    };
    handlers.onRemoved = [this](const std::string &key, base::Milliseconds gracePeriod) {
        scheduleRunnerRemoval(runnerIdFromKey(key), gracePeriod);
    };
    handlers.onListed = [this] {
        for (const dispatch::RunnerId &id : std::exchange(m_unconfirmedRunners, {})) {
            scheduleRunnerRemoval(id, platform::removalGracePeriod);
        }
    };
    m_watch.subscribe(std::string(platform::runnerPrefix), std::move(handlers));
}

void EntryNode::applyRunner(const keyvalue::KeyValue &item)
{
    const dispatch::RunnerId id = runnerIdFromKey(item.key);
    const auto runner = platform::parseRunner(id.value(), item.value);
    if (!runner) {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
        removeRunner(id);
        return;
    }
    m_removalTimers.erase(runner->id);
    if (runner->isDraining) {
        m_unanswered.runnerLeft(runner->id);
    } else {
        m_unanswered.runnerRegistered(*runner, std::chrono::steady_clock::now());
    }
    if (!m_balancer.registerRunner(*runner)) {
        return;
    }
    m_log.write(logging::events::runnerChanged,
                {{"runner", id.value()},
                 {"service", runner->service.value()},
                 {"address", wire::toString(runner->address)},
                 {"state", runner->isDraining ? "draining" : "ready"},
                 {"version", item.version.value()}});
    if (runner->isDraining) {
        m_connectionPool.closeIdle(runner->id);
    }
}

void EntryNode::recordLeavingRunner(const dispatch::Placement &placement, base::Milliseconds age)
{
    if (!m_balancer.runnerLeaves(placement.id, placement.startedAt)) {
        return;
    }
    m_unanswered.runnerLeft(placement.id);
    m_connectionPool.closeIdle(placement.id);
    m_metrics.runnerLeft();
    m_log.write(logging::events::runnerLeaving,
                {{"runner", placement.id.value()},
                 {"started", placement.startedAt},
                 {"source", "answer"},
                 {"age", age.count()}});
}

void EntryNode::recordStatedRate(const dispatch::Placement &placement, const dispatch::RateStatement &statement)
{
    if (!statement.limit && m_balancer.rateStatement(placement.id) == nullptr) {
        return;
    }
    const dispatch::KnownRate known{placement.id, statement};
    if (recordRate(known, "answer")) {
        m_rateSharing.publish(known);
    }
}

bool EntryNode::recordRate(const dispatch::KnownRate &known, std::string_view source)
{
    if (!m_balancer.rateStated(known.runner, known.statement)) {
        return false;
    }
    m_metrics.runnerLimitChanged();
    const auto &limit = known.statement.limit;
    const auto age = std::chrono::steady_clock::now() - known.statement.latest;
    m_log.write(logging::events::runnerLimited,
                {{"runner", known.runner.value()},
                 {"started", known.statement.startedAt},
                 {"limit", limit ? std::to_string(limit->value()) : std::string("none")},
                 {"source", std::string(source)},
                 {"age", std::chrono::duration_cast<base::Milliseconds>(age).count()}});
    return true;
}

void EntryNode::watchGroup()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        if (item.key == turns::groupKey) {
            applyGroup(item);
        } else if (item.key.starts_with(turns::relayPrefix)) {
            applyRelay(item);
        } else if (item.key.starts_with(forwarding::crashPrefix)) {
            m_crashSharing.applyPublished(item.key, item.value);
        }
    };
    handlers.onRemoved = [this](const std::string &key, base::Milliseconds) {
        removeRelay(key);
    };
    handlers.onListed = [this] {
        registerRelay();
    };
    m_watch.subscribe(std::string(turns::keyPrefix), std::move(handlers));
}

void EntryNode::applyRelay(const keyvalue::KeyValue &item)
{
    if (item.key == std::string(turns::relayPrefix) + m_settings.name) {
        m_registeredAddress = item.value;
        m_registrationVersion = item.version;
        return;
    }
    const auto address = wire::parseAddress(item.value);
    if (!address) {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
        return;
    }
    m_relays[item.key] = *address;
    updateRelays();
}

void EntryNode::removeRelay(const std::string &key)
{
    if (m_relays.erase(key) > 0) {
        updateRelays();
    }
}

void EntryNode::updateRelays()
{
    std::vector<wire::Address> relays;
    for (const auto &[key, relay] : m_relays) {
        relays.push_back(relay);
    }
    if (!relays.empty()) {
        // Each entry starts with a different relay, which spreads the load.
        const std::size_t first = std::hash<std::string>{}(m_settings.name) % relays.size();
        std::rotate(relays.begin(), relays.begin() + static_cast<std::ptrdiff_t>(first), relays.end());
    }
    m_crashSharing.setEntries(relays);
    m_rateSharing.setEntries(relays);
    m_peers.setRelays(std::move(relays));
}

void EntryNode::registerRelay()
{
    const std::string registration = wire::toString({m_settings.ip, m_settings.firstInternalPort});
    if (m_registeredAddress == registration) {
        return;
    }
    m_store.write(std::string(turns::relayPrefix) + m_settings.name, registration, m_registrationVersion,
                  [this](const keyvalue::WriteResult &result) {
                      if (!std::holds_alternative<keyvalue::KeyVersion>(result)) {
                          // Retried at the next listing; until then other entries can't relay through this one.
                          m_log.write(logging::events::platformUnavailable,
                                      {{"reason", "failed to register this entry as a relay"}});
                      }
                  });
}

void EntryNode::applyGroup(const keyvalue::KeyValue &item)
{
    if (const auto group = turns::parseStoreGroup(item.value)) {
        m_turns.setGroup(*group);
        std::vector<dispatch::KeeperId> keepers;
        for (const turns::DiskId &disk : m_turns.disks()) {
            keepers.emplace_back(disk.value());
        }
        m_usage.setKeepers(keepers);
        m_balancer.permitSchedule().setKeepers(std::move(keepers));
    } else {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
    }
}

void EntryNode::scheduleChecks()
{
    m_checkTimer.expires_after(checkInterval);
    m_checkTimer.async_wait([this, due = m_checkTimer.expiry()](const error_code &error) {
        if (error) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        m_knowledge.setReadable(m_watch.isStoreAvailable());
        m_overloadDetector.recordTimerDelay(std::chrono::duration_cast<base::Milliseconds>(now - due), now);
        for (const placement::CrashReport &report : m_unanswered.takeReports(now)) {
            m_log.write(logging::events::runnerChecked,
                        {{"runner", report.crash.runner},
                         {"started", report.crash.startedAt},
                         {"result", "crashed-silently"},
                         {"requests", report.requests.size()}});
            m_metrics.runnerChecked("crashed-silently");
            m_crashSharing.publish(report);
        }
        reportTurnedAwayCallers();
        if (now - m_lastProbe > probeInterval) {
            m_lastProbe = now;
            m_turns.probe();
            const bool isRoutingWanted = std::exchange(m_isNewerRoutingWanted, false) && !m_watch.isStoreAvailable();
            if (isRoutingWanted || (!m_routing && now - m_startTime > seedDelay)) {
                fetchDeploymentFromSeeds();
            }
        }
        scheduleChecks();
    });
}

void EntryNode::reportTurnedAwayCallers()
{
    const auto now = std::chrono::steady_clock::now();
    const TurnedAwayCallers callers{m_memory.reclaimedShares(), m_memory.refusedGrowths(), m_callerListener->counts()};
    if (callers == m_reportedCallers || now - m_lastCallerReport < callerReportInterval) {
        return;
    }
    const TurnedAwayCallers before = std::exchange(m_reportedCallers, callers);
    m_lastCallerReport = now;
    const std::size_t reclaimed = callers.reclaimed - before.reclaimed;
    const std::size_t refused = callers.refused - before.refused;
    const std::size_t replaced = callers.connections.givenWay - before.connections.givenWay;
    const std::size_t closed = callers.connections.turnedAway - before.connections.turnedAway;
    m_log.write(logging::events::callersTurnedAway,
                {{"reclaimed", reclaimed},
                 {"refused", refused},
                 {"replaced", replaced},
                 {"closed", closed},
                 {"failedAccepts", callers.connections.failedAccepts - before.connections.failedAccepts},
                 {"used", m_memory.usedBytes()},
                 {"limit", m_memory.limitBytes()},
                 {"connections", m_callerListener->connectionCount()}});
    m_metrics.callersTurnedAway("memory", reclaimed + refused);
    m_metrics.callersTurnedAway("connections", replaced + closed);
}

void EntryNode::fetchDeploymentFromSeeds()
{
    for (const wire::Address &seed : m_settings.seedAddresses) {
        wire::MessageUnion message;
        message.Set(wire::FetchDeploymentT{});
        m_peers.sendRequest(seed, std::move(message), seedTimeout, [this](const wire::ChannelReply &reply) {
            applyDeployment(reply);
        });
    }
}

void EntryNode::applyDeployment(const wire::ChannelReply &reply)
{
    const auto *frame = std::get_if<wire::FrameT>(&reply);
    const auto *state = frame == nullptr ? nullptr : frame->message.AsDeploymentState();
    if (state == nullptr || m_watch.isStoreAvailable() || state->items.empty()) {
        return;
    }
    if (m_routing) {
        // What this entry knows of the rest may be newer.
        for (const auto &stored : state->items) {
            applyRouting({stored->key, stored->value, {}});
        }
        return;
    }
    applyGroup({std::string(turns::groupKey), state->group, {}});
    for (const auto &stored : state->items) {
        const keyvalue::KeyValue item{stored->key, stored->value, {}};
        if (item.key.starts_with(platform::runnerPrefix)) {
            m_unconfirmedRunners.insert(runnerIdFromKey(item.key));
            applyRunner(item);
        } else if (item.key.starts_with(turns::relayPrefix)) {
            applyRelay(item);
        } else {
            applyRouting(item);
        }
    }
    m_log.write(logging::events::deploymentBorrowed, {{"items", state->items.size()}});
}

void EntryNode::scheduleRunnerRemoval(const dispatch::RunnerId &id, base::Milliseconds gracePeriod)
{
    if (gracePeriod.count() == 0) {
        removeRunner(id);
        return;
    }
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context, gracePeriod);
    timer->async_wait([this, id](const error_code &error) {
        if (!error) {
            removeRunner(id);
        }
    });
    m_removalTimers[id] = std::move(timer);
}

void EntryNode::removeRunner(const dispatch::RunnerId &id)
{
    m_removalTimers.erase(id);
    m_connectionPool.closeIdle(id);
    if (m_balancer.removeRunner(id)) {
        m_log.write(logging::events::runnerChanged, {{"runner", id.value()}, {"state", "gone"}});
    }
}

bool EntryNode::isReady() const
{
    return !m_isStopping && m_routing && m_turns.isReady() && m_balancer.size() > 0
        && !m_overloadDetector.isOverloaded(std::chrono::steady_clock::now())
        && !(m_routing->accounts() != nullptr && m_knowledge.isFading(std::chrono::steady_clock::now()));
}

void EntryNode::answerReadiness(const std::shared_ptr<http::ServerConnection> &connection)
{
    const bool isReadyNow = isReady();
    if (isReadyNow != m_wasReady) {
        m_wasReady = isReadyNow;
        if (!isReadyNow && !m_isStopping) {
            // Callers reuse connections for many requests; the next one should reach an entry that can serve it.
            m_callerListener->closeAfterResponses();
        }
        m_log.write(logging::events::readinessChanged,
                    {{"ready", isReadyNow ? "yes" : "no"},
                     {"routing", m_routing ? m_routing->version().value() : 0},
                     {"runners", m_balancer.size()},
                     {"turnStores", m_turns.isReady() ? "answer" : "silent"},
                     {"late", m_overloadDetector.isOverloaded(std::chrono::steady_clock::now()) ? "yes" : "no"},
                     {"accountsAge",
                      m_knowledge.age(std::chrono::steady_clock::now()).value_or(base::Milliseconds(-1)).count()}});
    }
    connection->respond({isReadyNow ? statusOk : statusUnavailable, {}}, {});
}

void EntryNode::reload(const platform::NodeSettings &settings)
{
    m_settings.stopTimeout = settings.stopTimeout;
}

void EntryNode::stop(std::function<void()> onDone)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_onStopped = std::move(onDone);
    m_stopDeadline = std::chrono::steady_clock::now() + m_settings.stopTimeout - stopMargin;
    m_callerListener->drain();
    m_stopTimer.expires_after(std::min(stopAcceptDelay, m_settings.stopTimeout / 2));
    m_stopTimer.async_wait([this](const error_code &) {
        m_callerListener->stopAccepting();
        finishStop();
    });
}

void EntryNode::abort()
{
    m_stopTimer.cancel();
    m_checkTimer.cancel();
    m_relayServer.stop();
    m_crashSharing.stop();
    m_rateSharing.stop();
    m_removalTimers.clear();
    m_watch.stop();
    for (const auto *listener : {&m_callerListener, &m_readinessListener, &m_metricsListener}) {
        (*listener)->close();
    }
    m_store.close();
}

void EntryNode::finishStop()
{
    const std::size_t activeRequests = m_callerListener->busyConnections();
    if (activeRequests == 0 || std::chrono::steady_clock::now() > m_stopDeadline) {
        if (activeRequests > 0) {
            m_log.write(logging::events::stoppedEarly, {{"left", activeRequests}});
        }
        m_onStopped();
        return;
    }
    m_stopTimer.expires_after(stopPollInterval);
    m_stopTimer.async_wait([this](const error_code &) {
        finishStop();
    });
}

}
