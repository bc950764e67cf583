#pragma once

#include "dispatch/loadbalancer.h"
#include "dispatch/overloaddetector.h"
#include "dispatch/retrydelay.h"
#include "forwarding/exchange.h"
#include "forwarding/exchangelog.h"
#include "forwarding/runnerconnectionpool.h"
#include "http/listener.h"
#include "metrics/exchangemetrics.h"
#include "platform/nodesettings.h"
#include "platform/prefixwatch.h"
#include "platform/storeclient.h"
#include "turns/relayserver.h"
#include "turns/turnclient.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::node
{

/** An entry on the users' platform: takes callers' requests and forwards them to runners. */
class EntryNode
{
public:
    /** @param context runs everything, on one thread @param settings the settings @param log gets the events */
    EntryNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log);

    /** Starts to listen. @return why it can't, or an empty text */
    std::string start();

    /** Takes in changed settings. @param settings the settings */
    void reload(const platform::NodeSettings &settings);

    /** Finishes what callers have sent and takes nothing new after a while. @param onDone called when nothing is left */
    void stop(std::function<void()> onDone);

    /** Closes everything at once, as the end of the process would. */
    void abandon();

private:
    void followRouting();
    void followRunners();
    void followGroup();
    void runnerGone(const dispatch::RunnerId &id, base::Milliseconds grace);
    void forgetRunner(const dispatch::RunnerId &id);
    void routingSeen(const keyvalue::KeyValue &item);
    void runnerSeen(const keyvalue::KeyValue &item);
    void groupSeen(const keyvalue::KeyValue &item);
    void relaySeen(const keyvalue::KeyValue &item);
    void registerRelay();
    void watchOver();
    void askSeeds();
    void takeDeployment(const wire::ChannelReply &reply);
    bool isReady() const;
    void answerReadiness(const std::shared_ptr<http::ServerConnection> &connection);
    void finishStop();

    boost::asio::io_context &m_context;
    platform::NodeSettings m_settings;
    logging::EventLog &m_log;
    metrics::ExchangeMetrics m_metrics;
    forwarding::ExchangeLog m_exchangeLog;
    platform::StoreClient m_store;
    dispatch::LoadBalancer m_board;
    forwarding::RunnerConnectionPool m_pool;
    turns::StorePeers m_peers;
    turns::TurnClient m_turns;
    turns::RelayServer m_relay;
    forwarding::ExchangeContext m_exchanges;
    std::unique_ptr<platform::PrefixWatch> m_routingWatch;
    std::unique_ptr<platform::PrefixWatch> m_runnerWatch;
    std::unique_ptr<platform::PrefixWatch> m_groupWatch;
    /** Other entries by the keys of their registrations. */
    std::map<std::string, wire::Address> m_relays;
    /** What this entry is registered with, and since which version. */
    std::string m_registration;
    keyvalue::KeyVersion m_registrationVersion;
    std::shared_ptr<const forwarding::Routing> m_routing;
    /** Runners whose entries are gone, but may come back. */
    std::map<dispatch::RunnerId, std::unique_ptr<boost::asio::steady_timer>> m_missing;
    std::unique_ptr<http::Listener> m_callers;
    std::unique_ptr<http::Listener> m_readiness;
    std::unique_ptr<http::Listener> m_metricsListener;
    /** Runners known from a turn store only, until the platform's store has listed its own. */
    std::set<dispatch::RunnerId> m_borrowed;
    dispatch::RetryDelay m_advice;
    dispatch::OverloadDetector m_gauge;
    boost::asio::steady_timer m_watchTimer;
    std::chrono::steady_clock::time_point m_started;
    std::chrono::steady_clock::time_point m_probed;
    boost::asio::steady_timer m_stopTimer;
    std::function<void()> m_onStopped;
    std::chrono::steady_clock::time_point m_stopEnd;
    bool m_wasReady = false;
    bool m_isStopping = false;
};

}
