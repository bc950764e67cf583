#pragma once

#include "config/configurationnode.h"
#include "config/declaredpolicies.h"
#include "entry/fixedpolicies.h"
#include "entry/ownershipmanager.h"
#include "entry/requestrouter.h"
#include "http/callerendpoint.h"
#include "keyvalue/httpkeyvalue.h"
#include "logging/eventlog.h"
#include "membership/vmlistpoller.h"
#include "metrics/metrics.h"
#include "operators/operatorservice.h"
#include "placement/rundispatcher.h"
#include "service/programservice.h"
#include "settings/settings.h"
#include "state/keyvaluelog.h"
#include "wire/frameserver.h"
#include "wire/iothreads.h"

#include <atomic>
#include <thread>

namespace briarhinge::daemon
{

/** Owns and connects the components of a process with the role entry. */
class EntryProcess
{
public:
    /**
     * Creates the components without starting them.
     *
     * @param settings validated settings; must outlive the process
     * @param log receives the events; must outlive the process
     */
    EntryProcess(const settings::Settings &settings, logging::EventLog &log);
    ~EntryProcess();

    /**
     * Starts listening and the background threads.
     *
     * @return why the process can't listen, or an empty string on success
     */
    std::string start();

    /** Refuses new programs and calls from now on and starts to hand over the owned partitions. */
    void drain();

    /** @return number of requests without a final response, plus one while the handover is pending */
    std::size_t inProgress() const;

private:
    using Policies = config::DeclaredPolicies<entry::FixedPolicies>;
    using RecordLog = state::KeyValueLog<keyvalue::HttpKeyValue>;
    using Service = service::ProgramService<base::SystemClock, RecordLog, placement::RunDispatcher, Policies>;
    using OwnershipManager = entry::OwnershipManager<keyvalue::HttpKeyValue, RecordLog, Service>;

    std::shared_ptr<wire::FrameChannel> makeChannel(const wire::Address &address);
    void handleLocal(const api::ClientRequest &request, const api::ClientSink &sink);
    api::ClientReply handleOperatorRequest(wire::OperatorVerb verb);
    void handleVmList(const membership::VmListResult &result);
    void maintainOwnership(const std::stop_token &stop);
    void sweepPrograms(const std::stop_token &stop);

    const settings::Settings &m_settings;
    logging::EventLog &m_log;
    wire::IoThreads m_threads;
    metrics::Metrics m_metrics;
    base::InvariantMonitor m_invariants;
    base::SystemClock m_clock;
    config::ConfigurationNode m_configuration;
    Policies m_policies;
    operators::OperatorService m_operators;
    /** The log and the ownership manager use separate connections, so that a log write never waits behind a watch. */
    keyvalue::HttpKeyValue m_logKeyValue;
    keyvalue::HttpKeyValue m_ownershipKeyValue;
    entry::OwnerMap m_owners;
    RecordLog m_recordLog;
    placement::RunnerDirectory m_directory;
    placement::RunDispatcher m_dispatcher;
    Service m_service;
    OwnershipManager m_ownershipManager;
    entry::RequestRouter m_router;
    wire::FrameServer m_server;
    http::CallerEndpoint m_endpoint;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_hasVmList{false};
    std::atomic<bool> m_hasPartitionTable{false};
    membership::VmListPoller m_vmList;
    std::jthread m_heartbeatThread;
    std::jthread m_ownershipThread;
    std::jthread m_sweepThread;
};

}
