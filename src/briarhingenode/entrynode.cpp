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
/** The platform sends no new connections two missed checks, a second each, after readiness has ended. */
constexpr base::Milliseconds acceptAfterStop{2600};
constexpr base::Milliseconds stopPoll{50};
/** How often the lateness of timers is measured: a few times within the 250 ms in which first answers are due. */
constexpr base::Milliseconds watchInterval{50};
/** How often turn stores that did not answer are asked whether they do again. */
constexpr base::Milliseconds probeInterval{250};
/** The platform's store answers within this when it is there at all: a connection and a few of its 4 ms. */
constexpr base::Milliseconds seedPatience{250};
constexpr base::Milliseconds seedTimeout{500};
/** Left of the time to SIGKILL when requests that still run are broken off. */
constexpr base::Milliseconds stopMargin{400};

/** @param key the key of a runner's entry in the platform's store @return the runner */
dispatch::RunnerId runnerIdOf(const std::string &key)
{
    return dispatch::RunnerId(key.substr(platform::runnerPrefix.size()));
}

}

EntryNode::EntryNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log)
    : m_context(context)
    , m_settings(settings)
    , m_log(log)
    , m_exchangeLog(log, m_metrics)
    , m_store(context, settings.store)
    , m_board(settings.zone)
    , m_pool(context)
    , m_peers(context)
    , m_turns(context, m_peers, turns::QuorumRule{settings.toleratedLosses}, settings.zone, log)
    , m_relay(
          context, m_peers,
          [this](const wire::Address &address) {
              return m_turns.isMember(address);
          },
          log)
    , m_exchanges{context,
                  m_board,
                  m_pool,
                  m_turns,
                  m_exchangeLog,
                  m_advice,
                  [this] {
                      return m_routing;
                  }}
    , m_watchTimer(context)
    , m_stopTimer(context)
{
}

std::string EntryNode::start()
{
    const auto limits = [this] {
        return m_routing ? m_routing->limits() : http::ServerLimits{};
    };
    m_callers = std::make_unique<http::Listener>(m_context, limits, [this](const auto &connection, auto request) {
        std::make_shared<Exchange>(m_exchanges, connection)->start(std::move(request));
    });
    const auto plainLimits = [] {
        return http::ServerLimits{};
    };
    m_readiness =
        std::make_unique<http::Listener>(m_context, plainLimits, [this](const auto &connection, const auto &) {
            answerReadiness(connection);
        });
    m_metricsListener =
        std::make_unique<http::Listener>(m_context, plainLimits, [this](const auto &connection, const auto &) {
            connection->respond({statusOk, {}}, m_metrics.text());
        });
    if (!m_settings.callers || !m_settings.readiness) {
        return "an entry needs listen_addrs.front and listen_addrs.ready";
    }
    std::string error = m_callers->listen(*m_settings.callers);
    if (error.empty()) {
        error = m_readiness->listen(*m_settings.readiness);
    }
    if (error.empty()) {
        error = m_metricsListener->listen(m_settings.metrics);
    }
    if (error.empty()) {
        const auto listening = m_relay.listen({m_settings.ip, m_settings.firstPort});
        if (const auto *failure = std::get_if<wire::ListenError>(&listening)) {
            error = failure->reason;
        }
    }
    if (error.empty()) {
        followRouting();
        followRunners();
        followGroup();
        m_started = std::chrono::steady_clock::now();
        watchOver();
    }
    return error;
}

void EntryNode::followRouting()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        routingSeen(item);
    };
    m_routingWatch = std::make_unique<platform::PrefixWatch>(m_context, m_store, std::string(platform::operatorPrefix),
                                                             std::move(handlers), m_log);
    m_routingWatch->start();
}

void EntryNode::routingSeen(const keyvalue::KeyValue &item)
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
    m_log.write(logging::events::routesInForce,
                {{"version", routing->version().value()}, {"routes", routing->routeCount()}});
}

void EntryNode::followRunners()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        m_borrowed.erase(runnerIdOf(item.key));
        runnerSeen(item);
    };
    handlers.onRemoved = [this](const std::string &key, base::Milliseconds grace) {
        runnerGone(runnerIdOf(key), grace);
    };
    handlers.onListed = [this] {
        for (const dispatch::RunnerId &id : std::exchange(m_borrowed, {})) {
            runnerGone(id, platform::returnTime);
        }
    };
    m_runnerWatch = std::make_unique<platform::PrefixWatch>(m_context, m_store, std::string(platform::runnerPrefix),
                                                            std::move(handlers), m_log);
    m_runnerWatch->start();
}

void EntryNode::runnerSeen(const keyvalue::KeyValue &item)
{
    const dispatch::RunnerId id = runnerIdOf(item.key);
    const auto runner = platform::parseRunner(id.value(), item.value);
    if (!runner) {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
        forgetRunner(id);
        return;
    }
    m_missing.erase(runner->id);
    if (!m_board.registerRunner(*runner)) {
        return;
    }
    m_log.write(logging::events::runnerChanged,
                {{"runner", id.value()},
                 {"service", runner->service.value()},
                 {"address", wire::toString(runner->address)},
                 {"state", runner->isDraining ? "draining" : "ready"},
                 {"version", item.version.value()}});
    if (runner->isDraining) {
        m_pool.closeIdle(runner->id);
    }
}

void EntryNode::followGroup()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        if (item.key == turns::groupKey) {
            groupSeen(item);
        } else if (item.key.starts_with(turns::relayPrefix)) {
            relaySeen(item);
        }
    };
    handlers.onListed = [this] {
        registerRelay();
    };
    m_groupWatch = std::make_unique<platform::PrefixWatch>(m_context, m_store, std::string(turns::keyPrefix),
                                                           std::move(handlers), m_log);
    m_groupWatch->start();
}

void EntryNode::relaySeen(const keyvalue::KeyValue &item)
{
    if (item.key == std::string(turns::relayPrefix) + m_settings.name) {
        m_registration = item.value;
        m_registrationVersion = item.version;
        return;
    }
    const auto address = wire::parseAddress(item.value);
    if (!address) {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
        return;
    }
    m_relays[item.key] = *address;
    std::vector<wire::Address> relays;
    for (const auto &[key, relay] : m_relays) {
        relays.push_back(relay);
    }
    // Each entry begins with another one.
    const std::size_t first = std::hash<std::string>{}(m_settings.name) % relays.size();
    std::rotate(relays.begin(), relays.begin() + static_cast<std::ptrdiff_t>(first), relays.end());
    m_peers.setRelays(std::move(relays));
}

void EntryNode::registerRelay()
{
    const std::string registration = wire::toString({m_settings.ip, m_settings.firstPort});
    if (m_registration == registration) {
        return;
    }
    m_store.write(std::string(turns::relayPrefix) + m_settings.name, registration, m_registrationVersion,
                  [this](const keyvalue::WriteResult &result) {
                      if (!std::holds_alternative<keyvalue::KeyVersion>(result)) {
                          // Other entries can't use this one as a relay until the next listing.
                          m_log.write(logging::events::platformUnavailable,
                                      {{"reason", "this entry could not be registered as a relay"}});
                      }
                  });
}

void EntryNode::groupSeen(const keyvalue::KeyValue &item)
{
    if (const auto group = turns::parseStoreGroup(item.value)) {
        m_turns.setGroup(*group);
    } else {
        m_log.write(logging::events::badEntry, {{"key", item.key}});
    }
}

void EntryNode::watchOver()
{
    m_watchTimer.expires_after(watchInterval);
    m_watchTimer.async_wait([this, due = m_watchTimer.expiry()](const error_code &error) {
        if (error) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        m_gauge.recordTimerDelay(std::chrono::duration_cast<base::Milliseconds>(now - due), now);
        if (now - m_probed > probeInterval) {
            m_probed = now;
            m_turns.probe();
            if (!m_routing && now - m_started > seedPatience) {
                askSeeds();
            }
        }
        watchOver();
    });
}

void EntryNode::askSeeds()
{
    for (const wire::Address &seed : m_settings.seeds) {
        wire::MessageUnion message;
        message.Set(wire::FetchDeploymentT{});
        m_peers.ask(seed, std::move(message), seedTimeout, [this](const wire::ChannelReply &reply) {
            takeDeployment(reply);
        });
    }
}

void EntryNode::takeDeployment(const wire::ChannelReply &reply)
{
    const auto *frame = std::get_if<wire::FrameT>(&reply);
    const auto *state = frame == nullptr ? nullptr : frame->message.AsDeploymentState();
    if (state == nullptr || m_routing || state->items.empty()) {
        return;
    }
    groupSeen({std::string(turns::groupKey), state->group, {}});
    for (const auto &stored : state->items) {
        const keyvalue::KeyValue item{stored->key, stored->value, {}};
        if (item.key.starts_with(platform::runnerPrefix)) {
            m_borrowed.insert(runnerIdOf(item.key));
            runnerSeen(item);
        } else {
            routingSeen(item);
        }
    }
    m_log.write(logging::events::deploymentBorrowed, {{"items", state->items.size()}});
}

void EntryNode::runnerGone(const dispatch::RunnerId &id, base::Milliseconds grace)
{
    if (grace.count() == 0) {
        forgetRunner(id);
        return;
    }
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context, grace);
    timer->async_wait([this, id](const error_code &error) {
        if (!error) {
            forgetRunner(id);
        }
    });
    m_missing[id] = std::move(timer);
}

void EntryNode::forgetRunner(const dispatch::RunnerId &id)
{
    m_missing.erase(id);
    m_pool.closeIdle(id);
    if (m_board.removeRunner(id)) {
        m_log.write(logging::events::runnerChanged, {{"runner", id.value()}, {"state", "gone"}});
    }
}

bool EntryNode::isReady() const
{
    return !m_isStopping && m_routing && m_turns.isReady() && m_board.size() > 0
        && !m_gauge.isOverloaded(std::chrono::steady_clock::now());
}

void EntryNode::answerReadiness(const std::shared_ptr<http::ServerConnection> &connection)
{
    const bool isReadyNow = isReady();
    if (isReadyNow != m_wasReady) {
        m_wasReady = isReadyNow;
        if (!isReadyNow && !m_isStopping) {
            // Callers keep their connections for many requests; the next one should meet an entry that can serve it.
            m_callers->closeAfterResponses();
        }
        m_log.write(logging::events::readinessChanged,
                    {{"ready", isReadyNow ? "yes" : "no"},
                     {"routing", m_routing ? m_routing->version().value() : 0},
                     {"runners", m_board.size()},
                     {"turnStores", m_turns.isReady() ? "answer" : "silent"},
                     {"late", m_gauge.isOverloaded(std::chrono::steady_clock::now()) ? "yes" : "no"}});
    }
    connection->respond({isReadyNow ? statusOk : statusUnavailable, {}}, {});
}

void EntryNode::reload(const platform::NodeSettings &settings)
{
    m_settings.stopLimit = settings.stopLimit;
}

void EntryNode::stop(std::function<void()> onDone)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_onStopped = std::move(onDone);
    m_stopEnd = std::chrono::steady_clock::now() + m_settings.stopLimit - stopMargin;
    m_callers->drain();
    m_stopTimer.expires_after(std::min(acceptAfterStop, m_settings.stopLimit / 2));
    m_stopTimer.async_wait([this](const error_code &) {
        m_callers->stopAccepting();
        finishStop();
    });
}

void EntryNode::abandon()
{
    m_stopTimer.cancel();
    m_watchTimer.cancel();
    m_relay.stop();
    m_missing.clear();
    for (const auto *watch : {&m_routingWatch, &m_runnerWatch, &m_groupWatch}) {
        (*watch)->stop();
    }
    for (const auto *listener : {&m_callers, &m_readiness, &m_metricsListener}) {
        (*listener)->close();
    }
    m_store.close();
}

void EntryNode::finishStop()
{
    const std::size_t busy = m_callers->busyConnections();
    if (busy == 0 || std::chrono::steady_clock::now() > m_stopEnd) {
        if (busy > 0) {
            m_log.write(logging::events::stoppedEarly, {{"left", busy}});
        }
        m_onStopped();
        return;
    }
    m_stopTimer.expires_after(stopPoll);
    m_stopTimer.async_wait([this](const error_code &) {
        finishStop();
    });
}

}
