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

/** Everything that runs in a process with the role entry. */
class EntryProcess
{
public:
    /** @param settings checked settings @param log gets the events */
    EntryProcess(const settings::Settings &settings, logging::EventLog &log);
    ~EntryProcess();

    /** Starts to listen. @return why it can't, or an empty text */
    std::string start();

    /** Takes no new calls from now on. */
    void drain();

    /** @return requests that have no final answer yet, and the handover while it is due */
    std::size_t inProgress() const;

private:
    using Policies = config::DeclaredPolicies<entry::FixedPolicies>;
    using Log = state::KeyValueLog<keyvalue::HttpKeyValue>;
    using Service = service::ProgramService<base::SystemClock, Log, placement::RunDispatcher, Policies>;
    using Keeper = entry::OwnershipManager<keyvalue::HttpKeyValue, Log, Service>;

    std::shared_ptr<wire::FrameChannel> makeChannel(const wire::Address &address);
    void handleLocal(const api::ClientRequest &request, const api::ClientSink &sink);
    api::ClientReply answerOperator(wire::OperatorVerb verb);
    void takeVmList(const membership::VmListResult &result);
    void keepOwnership(const std::stop_token &stop);
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
    /** Connections of their own, so that the log never waits behind a watch. */
    keyvalue::HttpKeyValue m_logService;
    keyvalue::HttpKeyValue m_keeperService;
    entry::OwnerMap m_owners;
    Log m_recordLog;
    placement::RunnerDirectory m_directory;
    placement::RunDispatcher m_dispatcher;
    Service m_service;
    Keeper m_keeper;
    entry::RequestRouter m_router;
    wire::FrameServer m_server;
    http::CallerEndpoint m_endpoint;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_hasVmList{false};
    std::atomic<bool> m_hasTable{false};
    membership::VmListPoller m_vmList;
    std::jthread m_beatThread;
    std::jthread m_keeperThread;
    std::jthread m_sweepThread;
};

}
