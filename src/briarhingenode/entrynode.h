#pragma once

#include "base/memorybudget.h"
#include "dispatch/loadbalancer.h"
#include "dispatch/overloaddetector.h"
#include "dispatch/retrydelay.h"
#include "forwarding/crashdetector.h"
#include "forwarding/crashsharing.h"
#include "forwarding/exchange.h"
#include "forwarding/exchangelog.h"
#include "forwarding/livenesscheck.h"
#include "forwarding/permitclient.h"
#include "forwarding/ratesharing.h"
#include "forwarding/runnerconnectionpool.h"
#include "forwarding/runnerprobe.h"
#include "forwarding/unansweredattempts.h"
#include "forwarding/usageclient.h"
#include "http/listener.h"
#include "metrics/exchangemetrics.h"
#include "platform/nodesettings.h"
#include "platform/storeclient.h"
#include "platform/storewatch.h"
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

/** Callers without room for their connection or request, since the start. */
struct TurnedAwayCallers
{
    std::size_t reclaimed = 0;
    std::size_t refused = 0;
    http::ListenerCounts connections;

    bool operator==(const TurnedAwayCallers &) const = default;
};

/** An entry on the users' platform: accepts callers' requests and forwards them to runners. */
class EntryNode
{
public:
    /**
     * @param context runs all handlers on one thread
     * @param settings the settings of this process
     * @param log receives the events
     */
    EntryNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log);

    /**
     * Starts to listen and to watch the platform's store.
     *
     * @return the error, or an empty string
     */
    std::string start();

    /**
     * Applies changed settings; only the stop timeout can change at run time.
     *
     * @param settings the new settings
     */
    void reload(const platform::NodeSettings &settings);

    /**
     * Stops gracefully: asks callers to leave, stops accepting connections after a delay and waits for running requests
     * until shortly before the platform kills the process.
     *
     * @param onDone called when no request is left or time is up
     */
    void stop(std::function<void()> onDone);

    /** Closes all connections at once, as if the process had been killed. */
    void abort();

private:
    void watchRouting();
    void watchRunners();
    void watchGroup();
    void scheduleRunnerRemoval(const dispatch::RunnerId &id, base::Milliseconds gracePeriod);
    void removeRunner(const dispatch::RunnerId &id);
    /**
     * Records that a runner has said in an answer that it leaves.
     *
     * @param placement the runner of the attempt that was answered
     * @param age maximum age of that knowledge, in milliseconds
     */
    void recordLeavingRunner(const dispatch::Placement &placement, base::Milliseconds age);
    /**
     * Records what a runner has said in an answer of the rate at which it takes requests.
     *
     * @param placement the runner of the attempt that was answered
     * @param statement what it said
     */
    void recordStatedRate(const dispatch::Placement &placement, const dispatch::RateStatement &statement);
    /**
     * Records what is known of the rate at which a runner takes requests.
     *
     * @param known the runner and its rate
     * @param source where that is known from, for the log
     * @return whether its limit is another one since
     */
    bool recordRate(const dispatch::KnownRate &known, std::string_view source);
    void applyRouting(const keyvalue::KeyValue &item);
    void watchAccounts();
    void applyRunner(const keyvalue::KeyValue &item);
    void applyGroup(const keyvalue::KeyValue &item);
    void applyRelay(const keyvalue::KeyValue &item);
    void removeRelay(const std::string &key);
    void updateRelays();
    void registerRelay();
    void scheduleChecks();
    void fetchDeploymentFromSeeds();
    void applyDeployment(const wire::ChannelReply &reply);
    bool isReady() const;
    void answerReadiness(const std::shared_ptr<http::ServerConnection> &connection);
    void finishStop();
    /** Logs and counts the callers that were turned away since the last time. */
    void reportTurnedAwayCallers();

    boost::asio::io_context &m_context;
    platform::NodeSettings m_settings;
    logging::EventLog &m_log;
    metrics::ExchangeMetrics m_metrics;
    const base::MemoryBudget m_memory;
    forwarding::ExchangeLog m_exchangeLog;
    platform::StoreClient m_store;
    platform::StoreWatch m_watch;
    dispatch::LoadBalancer m_balancer;
    const dispatch::ProgramAdmission m_admission;
    forwarding::RunnerConnectionPool m_connectionPool;
    turns::StorePeers m_peers;
    turns::TurnClient m_turns;
    placement::SuspectTable m_suspects;
    forwarding::CrashSharing<platform::StoreClient> m_crashSharing;
    forwarding::RateSharing m_rateSharing;
    forwarding::PermitClient m_permits;
    forwarding::UsageClient m_usage;
    accounts::AccountKnowledge m_knowledge;
    dispatch::SecondTries m_secondTries;
    dispatch::ReturnSchedule<requests::ServiceName> m_returns;
    forwarding::RunnerProbe m_runnerProbe;
    forwarding::CrashDetector<forwarding::RunnerProbe> m_crashDetector;
    forwarding::LivenessCheck<forwarding::RunnerProbe> m_livenessCheck;
    forwarding::UnansweredAttempts m_unanswered;
    turns::RelayServer m_relayServer;
    forwarding::ExchangeContext m_exchangeContext;
    /** Relay addresses of other entries by the keys of their registrations. */
    std::map<std::string, wire::Address> m_relays;
    /** The address registered for this entry's relay in the platform's store, and the version of that key. */
    std::string m_registeredAddress;
    keyvalue::KeyVersion m_registrationVersion;
    std::shared_ptr<const requests::Routing> m_routing;
    /** Timers of runners whose registration is gone, but may reappear before the timer expires. */
    std::map<dispatch::RunnerId, std::unique_ptr<boost::asio::steady_timer>> m_removalTimers;
    std::unique_ptr<http::Listener> m_callerListener;
    std::unique_ptr<http::Listener> m_readinessListener;
    std::unique_ptr<http::Listener> m_metricsListener;
    /** Runners known only from a turn store, until a listing of the platform's store confirms them. */
    std::set<dispatch::RunnerId> m_unconfirmedRunners;
    dispatch::RetryDelay m_retryDelay;
    dispatch::OverloadDetector m_overloadDetector;
    boost::asio::steady_timer m_checkTimer;
    std::chrono::steady_clock::time_point m_startTime;
    std::chrono::steady_clock::time_point m_lastProbe;
    /** What was reported of callers that were turned away. */
    TurnedAwayCallers m_reportedCallers;
    std::chrono::steady_clock::time_point m_lastCallerReport;
    boost::asio::steady_timer m_stopTimer;
    std::function<void()> m_onStopped;
    std::chrono::steady_clock::time_point m_stopDeadline;
    bool m_wasReady = false;
    bool m_isStopping = false;
    /** Whether a request has asked for a route that is not known. */
    bool m_isNewerRoutingWanted = false;
};

}
