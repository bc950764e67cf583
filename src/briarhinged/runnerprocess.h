#pragma once

#include "config/configurationnode.h"
#include "http/callerendpoint.h"
#include "logging/eventlog.h"
#include "membership/vmlistpoller.h"
#include "metrics/metrics.h"
#include "operators/localanswers.h"
#include "operators/operatorservice.h"
#include "runner/runnerservice.h"
#include "settings/settings.h"
#include "wire/frameserver.h"
#include "wire/iothreads.h"

#include <atomic>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::daemon
{

/**
 * Owns and connects the components of a process with the role runner.
 *
 * @tparam UpstreamT upstream that runs the calls: a model engine or a tool service
 */
template <runner::Upstream UpstreamT>
class RunnerProcess
{
public:
    /**
     * Creates the components without starting them.
     *
     * @param settings validated settings; must outlive the process
     * @param log receives the events; must outlive the process
     * @param upstream runs the calls
     */
    RunnerProcess(const settings::Settings &settings, logging::EventLog &log, std::unique_ptr<UpstreamT> upstream)
        : m_settings(settings)
        , m_log(log)
        , m_threads(settings.ioThreads)
        , m_configuration(
              {settings.name, settings.zone, settings.listen}, m_threads.context(), settings.keyValueUrl,
              [this](const wire::Address &address) {
                  return makeChannel(address);
              },
              log)
        , m_vmList(settings.vmListUrl, settings.vmListInterval * vmListIntervalFactor,
                   [this](const membership::VmListResult &result) {
                       if (const auto *vms = std::get_if<std::vector<membership::Vm>>(&result)) {
                           m_configuration.updatePeers(*vms);
                       }
                   })
        , m_service(*upstream, m_clock, log, makeRunnerPolicy(settings))
        , m_upstream(std::move(upstream))
        , m_tickTimer(m_threads.context())
        , m_server(
              m_threads.context(), log,
              [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
                  if (!m_configuration.handleFrame(session, frame)
                      && !operators::handleOperatorRequest(session, frame, [this](wire::OperatorVerb verb) {
                             return handleOperatorRequest(verb);
                         })) {
                      m_service.handleFrame(session, frame);
                  }
              },
              [this](const std::shared_ptr<wire::FrameSession> &session, const std::string &) {
                  m_service.handleSessionClosed(session);
              })
        , m_endpoint(settings.httpListen, {settings.httpThreads, settings.machine},
                     {[this] {
                          return !m_draining;
                      },
                      [this] {
                          return m_metrics.text();
                      }},
                     nullptr)
    {
    }

    ~RunnerProcess()
    {
        m_endpoint.stop();
        m_vmList.stop();
        m_configuration.stop();
        m_server.stop();
        m_threads.stop();
    }

    RunnerProcess(const RunnerProcess &) = delete;
    RunnerProcess &operator=(const RunnerProcess &) = delete;

    /**
     * Starts listening and the periodic tick.
     *
     * @return why the process can't listen, or an empty string on success
     */
    std::string start()
    {
        const auto listening = m_server.listen(m_settings.listen);
        if (const auto *error = std::get_if<wire::ListenError>(&listening)) {
            return error->reason;
        }
        m_configuration.start();
        m_vmList.start();
        scheduleTick();
        return m_endpoint.start();
    }

    /** Refuses new calls from now on. */
    void drain()
    {
        m_draining = true;
        m_service.drain();
    }

    /** @return number of queued and running calls, plus responses that have not been sent yet */
    std::size_t inProgress() const
    {
        return m_service.inProgress() + m_server.unsentFrames();
    }

    /** @return whether a draining process no longer receives calls that it must refuse */
    bool isQuiescent() const
    {
        return m_service.isQuiescent();
    }

    /** Logs the calls that are aborted by the stop. */
    void logUnfinishedCalls() const
    {
        m_service.logUnfinishedCalls();
    }

private:
    /** Factor on the VM list interval: a runner needs the list only for its peers and polls it less often. */
    static constexpr int vmListIntervalFactor = 10;

    std::shared_ptr<wire::FrameChannel> makeChannel(const wire::Address &address)
    {
        return std::make_shared<wire::FrameChannel>(m_threads.context(), address, [this](wire::FrameT &frame) {
            m_configuration.stamp(frame);
        });
    }

    api::ClientReply handleOperatorRequest(wire::OperatorVerb verb)
    {
        if (verb == wire::OperatorVerb::Drain) {
            m_log.write(logging::events::operatorDrain, {{"inProgress", inProgress()}});
            drain();
        }
        return operators::statusReply(m_configuration.activeConfiguration(), {m_draining, inProgress()});
    }

    static constexpr base::Milliseconds tickInterval{20};

    static runner::RunnerPolicy makeRunnerPolicy(const settings::Settings &settings)
    {
        runner::RunnerPolicy policy;
        policy.concurrency.maxCalls = settings.concurrency;
        policy.concurrency.tokenGapTarget = settings.tokenGapTarget;
        policy.maxQueueWait = settings.queueWaitLimit;
        policy.callTimeout = settings.callTimeout;
        policy.toolTimeouts = settings.toolTimeouts;
        policy.orphanGracePeriod = settings.orphanGrace;
        policy.holds.maxHoldTime = settings.holdLimit;
        policy.engineCacheTokens = settings.engineCacheTokens;
        return policy;
    }

    void scheduleTick()
    {
        m_tickTimer.expires_after(tickInterval);
        m_tickTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_service.tick();
                scheduleTick();
            }
        });
    }

    const settings::Settings &m_settings;
    logging::EventLog &m_log;
    wire::IoThreads m_threads;
    config::ConfigurationNode m_configuration;
    membership::VmListPoller m_vmList;
    metrics::Metrics m_metrics;
    base::MonotonicClock m_clock;
    runner::RunnerService<UpstreamT> m_service;
    /** Ends before the service that it calls back, and before the threads of the sessions that its running calls hold. */
    std::unique_ptr<UpstreamT> m_upstream;
    boost::asio::steady_timer m_tickTimer;
    wire::FrameServer m_server;
    http::CallerEndpoint m_endpoint;
    std::atomic<bool> m_draining{false};
};

}
