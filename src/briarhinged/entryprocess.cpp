#include "entryprocess.h"

#include "operators/localanswers.h"

#include <condition_variable>
#include <mutex>
#include <random>

#include <fmt/format.h>

namespace briarhinge::daemon
{

namespace
{

constexpr base::Milliseconds platformTimeout{2000};
constexpr base::Milliseconds drainingRetryDelay{200};
constexpr base::Milliseconds noConfigurationRetryDelay{500};
constexpr base::Milliseconds platformRetryDelay{200};
constexpr base::Milliseconds sweepInterval{10'000};
/** Number of lease renewals within one lease time. */
constexpr int renewalsPerLease = 3;
/** Number of liveness heartbeats of the process within one lease time. */
constexpr int heartbeatsPerLease = 30;
/**
 * Number of lease times that a request waits for the next owner. A takeover takes until the lease of the last owner has
 * lapsed and its log has been replayed.
 */
constexpr int ownerWaitLeases = 2;

placement::ConfiguredPolicy makePlacementPolicy(const settings::Settings &settings)
{
    switch (settings.placement) {
    case settings::Placement::RoundRobin:
        return placement::RoundRobin{};
    case settings::Placement::LeastOutstanding:
        return placement::LeastOutstanding{};
    case settings::Placement::Sticky:
        return placement::Sticky{};
    case settings::Placement::Expected:
        break;
    }
    return placement::ExpectedTime{};
}

placement::DispatchSettings makeDispatchSettings(const settings::Settings &settings)
{
    constexpr double percent = 100;
    placement::DispatchSettings dispatch;
    dispatch.zone = settings.zone;
    dispatch.entryName = settings.name;
    dispatch.probeCount = settings.placementProbes;
    dispatch.retriesPerCall = static_cast<double>(settings.retryPercent) / percent;
    dispatch.stallTimeout = settings.stallLimit;
    dispatch.callTimeout = settings.callTimeLimit;
    dispatch.maxNewProgramWait = settings.newProgramWait;
    dispatch.ordersByService = settings.callOrder == settings::CallOrder::Service;
    dispatch.callBounds = {settings.accountCalls, settings.programCalls, settings.entryCalls};
    return dispatch;
}

bool startsWork(api::Verb verb)
{
    return verb == api::Verb::OpenProgram || verb == api::Verb::MakeCall;
}

/** Returns an id that is unique to this start of the entry: its name, the time in milliseconds and a random number. */
base::ProcessId makeIncarnation(const std::string &name)
{
    std::random_device random;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return base::ProcessId(
        fmt::format("{}.{}.{:08x}", name, std::chrono::duration_cast<base::Milliseconds>(now).count(), random()));
}

}

EntryProcess::EntryProcess(const settings::Settings &settings, logging::EventLog &log)
    : m_settings(settings)
    , m_log(log)
    , m_threads(settings.ioThreads)
    , m_invariants([this](const std::string &violation) {
        m_metrics.invariantViolated();
        m_log.write(logging::events::invariantViolated, {{"violation", violation}});
    })
    , m_configuration(
          {settings.name, settings.zone, settings.listen}, m_threads.context(), settings.keyValueUrl,
          [this](const wire::Address &address) {
              return makeChannel(address);
          },
          log)
    , m_policies(m_configuration.activeConfiguration())
    , m_operators(m_threads.context(),
                  [this](const wire::Address &address) {
                      return makeChannel(address);
                  })
    , m_logKeyValue(settings.keyValueUrl, platformTimeout)
    , m_ownershipKeyValue(settings.keyValueUrl, platformTimeout)
    , m_owners({makeIncarnation(settings.name), settings.name, settings.listen}, settings.leaseTime / renewalsPerLease)
    , m_recordLog(
          m_logKeyValue, m_owners.self().incarnation, {.flushInterval = settings.flushInterval},
          [this](std::function<void()> work) {
              boost::asio::post(m_threads.context(), std::move(work));
          },
          [this] {
              m_ownershipManager.handleLogSealed();
          })
    , m_directory([this](const wire::Address &address) {
        return makeChannel(address);
    })
    , m_dispatcher(m_threads.context(), m_directory, log, makePlacementPolicy(settings), makeDispatchSettings(settings))
    , m_service(m_clock, m_recordLog, m_dispatcher, m_policies, m_invariants,
                [this](const base::ProgramId &root) {
                    return m_owners.serves(root);
                })
    , m_ownershipManager(m_ownershipKeyValue, m_recordLog, m_service, m_owners, log, settings.leaseTime,
                         [name = settings.name] {
                             return makeIncarnation(name);
                         })
    , m_router(
          m_threads.context(), m_owners, ownerWaitLeases * settings.leaseTime,
          [this](const wire::Address &address) {
              return makeChannel(address);
          },
          [this](const api::ClientRequest &request, const api::ClientSink &sink) {
              handleLocal(request, sink);
          })
    , m_server(
          m_threads.context(), log,
          [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
              if (!m_configuration.handleFrame(session, frame)
                  && !operators::handleOperatorRequest(session, frame, [this](wire::OperatorVerb verb) {
                         return handleOperatorRequest(verb);
                     })) {
                  m_router.handleFrame(session, frame);
              }
          },
          [](const std::shared_ptr<wire::FrameSession> &, const std::string &) {})
    , m_endpoint(
          settings.httpListen, {settings.httpThreads, settings.machine},
          {[this] {
               return m_hasVmList && m_hasPartitionTable && !m_draining
                   && m_configuration.activeConfiguration().current() != nullptr;
           },
           [this] {
               return m_metrics.text();
           }},
          [this](api::ClientRequest request, api::ClientSink sink) {
              if (m_draining && startsWork(request.verb)) {
                  sink.reply(api::toReply(api::CallView{request.program,
                                                        request.number,
                                                        core::NotRun{"the entry is stopping", drainingRetryDelay},
                                                        {},
                                                        false}));
                  return;
              }
              auto counted = sink;
              counted.reply = [this, reply = std::move(sink.reply)](const api::ClientReply &answer) {
                  m_metrics.requestAnswered(answer.status);
                  reply(answer);
              };
              m_router.route(std::move(request), std::move(counted));
          },
          [this](const http::OperatorRequest &request, const auto &reply) {
              m_operators.handle(request, reply);
          })
    , m_vmList(settings.vmListUrl, settings.vmListInterval, [this](const membership::VmListResult &result) {
        handleVmList(result);
    })
{
}

EntryProcess::~EntryProcess()
{
    m_vmList.stop();
    m_sweepThread.request_stop();
    m_heartbeatThread.request_stop();
    m_ownershipThread.request_stop();
    m_ownershipThread = {};
    m_endpoint.stop();
    m_configuration.stop();
    m_server.stop();
    m_threads.stop();
}

std::string EntryProcess::start()
{
    const auto listening = m_server.listen(m_settings.listen);
    if (const auto *error = std::get_if<wire::ListenError>(&listening)) {
        return error->reason;
    }
    m_configuration.start();
    m_vmList.start();
    m_heartbeatThread = std::jthread([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            m_owners.recordHeartbeat();
            std::this_thread::sleep_for(m_settings.leaseTime / heartbeatsPerLease);
        }
    });
    m_sweepThread = std::jthread([this](const std::stop_token &stop) {
        sweepPrograms(stop);
    });
    m_ownershipThread = std::jthread([this](const std::stop_token &stop) {
        maintainOwnership(stop);
    });
    return m_endpoint.start();
}

void EntryProcess::drain()
{
    m_draining = true;
    m_ownershipManager.resign();
}

std::size_t EntryProcess::inProgress() const
{
    return m_endpoint.inProgress() + m_router.forwardedInProgress() + (m_ownershipManager.hasToHandOver() ? 1 : 0);
}

std::shared_ptr<wire::FrameChannel> EntryProcess::makeChannel(const wire::Address &address)
{
    return std::make_shared<wire::FrameChannel>(m_threads.context(), address, [this](wire::FrameT &frame) {
        m_configuration.stamp(frame);
    });
}

void EntryProcess::handleLocal(const api::ClientRequest &request, const api::ClientSink &sink)
{
    if (request.verb == api::Verb::OpenProgram && !m_configuration.activeConfiguration().current()) {
        sink.reply(api::toReply(
            api::CallView{request.program,
                          request.number,
                          core::NotRun{"the entry does not know the configuration yet", noConfigurationRetryDelay},
                          {},
                          false}));
        return;
    }
    m_service.handle(request, sink);
}

api::ClientReply EntryProcess::handleOperatorRequest(wire::OperatorVerb verb)
{
    if (verb == wire::OperatorVerb::Programs) {
        operators::ProgramList programs;
        m_service.visit([&programs](const base::ProgramId &, const core::ProgramTree &tree) {
            programs.add(tree);
        });
        return programs.reply();
    }
    if (verb == wire::OperatorVerb::Drain) {
        m_log.write(logging::events::operatorDrain, {{"inProgress", inProgress()}});
        drain();
    }
    return operators::statusReply(m_configuration.activeConfiguration(), {m_draining, inProgress()});
}

void EntryProcess::handleVmList(const membership::VmListResult &result)
{
    if (const auto *vms = std::get_if<std::vector<membership::Vm>>(&result)) {
        m_directory.update(*vms);
        m_configuration.updatePeers(*vms);
        m_operators.update(*vms);
        m_hasVmList = m_hasVmList || !vms->empty();
        return;
    }
    m_log.write(logging::events::platformUnavailable,
                {{"service", "vm-list"}, {"reason", std::get<keyvalue::PlatformUnavailable>(result).reason}});
}

void EntryProcess::maintainOwnership(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (m_ownershipManager.runPass()) {
            m_hasPartitionTable = true;
            m_ownershipManager.waitForTableChange(m_settings.leaseTime / renewalsPerLease);
        } else {
            std::this_thread::sleep_for(platformRetryDelay);
        }
    }
    m_ownershipManager.unregister();
}

void EntryProcess::sweepPrograms(const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
        m_service.sweep(m_settings.retention);
        wake.wait_for(lock, stop, sweepInterval, [] {
            return false;
        });
    }
}

}
