#pragma once

#include "config/configurationnode.h"
#include "http/callerendpoint.h"
#include "logging/eventlog.h"
#include "membership/vmlistfollower.h"
#include "metrics/metrics.h"
#include "operators/localanswers.h"
#include "operators/operatorservice.h"
#include "runner/runnerservice.h"
#include "settings/settings.h"
#include "wire/frameserver.h"
#include "wire/iothreads.h"

#include <atomic>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::daemon
{

/** Everything that runs in a process with the role runner. */
template <runner::Upstream UpstreamT>
class RunnerProcess
{
public:
    /** @param settings checked settings @param log gets the events @param upstream what the process stands beside */
    RunnerProcess(const settings::Settings &settings, logging::EventLog &log, UpstreamT &upstream)
        : m_settings(settings)
        , m_log(log)
        , m_threads(settings.ioThreads)
        , m_configuration(
              {settings.name, settings.zone, settings.listen}, m_threads.context(), settings.keyValueUrl,
              [this](const wire::Address &address) {
                  return makeChannel(address);
              },
              log)
        , m_vmList(settings.vmListUrl, settings.vmListInterval * vmListSlowdown,
                   [this](const membership::VmListResult &result) {
                       if (const auto *vms = std::get_if<std::vector<membership::Vm>>(&result)) {
                           m_configuration.updatePeers(*vms);
                       }
                   })
        , m_service(upstream, m_clock, log, policyOf(settings))
        , m_ticker(m_threads.context())
        , m_server(
              m_threads.context(), log,
              [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
                  if (!m_configuration.received(session, frame)
                      && !operators::answerOperator(session, frame, [this](wire::OperatorVerb verb) {
                             return answerOperator(verb);
                         })) {
                      m_service.handleFrame(session, frame);
                  }
              },
              [this](const std::shared_ptr<wire::FrameSession> &session, const std::string &) {
                  m_service.handleSessionClosed(session);
              })
        , m_endpoint(settings.httpListen,
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

    /** Starts to listen. @return why it can't, or an empty text */
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

    /** Takes no new calls from now on. */
    void drain()
    {
        m_draining = true;
        m_service.drain();
    }

    /** @return calls that wait or run, and answers that have not left yet */
    std::size_t inProgress() const
    {
        return m_service.inProgress() + m_server.unsentFrames();
    }

    /** @return whether a draining process gets no calls to refuse any more */
    bool isQuiescent() const
    {
        return m_service.isQuiescent();
    }

    /** Logs what a stop cuts off. */
    void logUnfinishedCalls() const
    {
        m_service.logUnfinishedCalls();
    }

private:
    /** A runner needs the VM list only to know its peers: it reads it less often than an entry. */
    static constexpr int vmListSlowdown = 10;

    std::shared_ptr<wire::FrameChannel> makeChannel(const wire::Address &address)
    {
        return std::make_shared<wire::FrameChannel>(m_threads.context(), address, [this](wire::FrameT &frame) {
            m_configuration.stamp(frame);
        });
    }

    api::ClientReply answerOperator(wire::OperatorVerb verb)
    {
        if (verb == wire::OperatorVerb::Drain) {
            m_log.write(logging::events::operatorDrain, {{"inProgress", inProgress()}});
            drain();
        }
        return operators::statusReply(m_configuration.inForce(), {m_draining, inProgress()});
    }

    static constexpr base::Milliseconds tickInterval{20};

    static runner::RunnerPolicy policyOf(const settings::Settings &settings)
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
        m_ticker.expires_after(tickInterval);
        m_ticker.async_wait([this](const boost::system::error_code &error) {
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
    membership::VmListFollower m_vmList;
    metrics::Metrics m_metrics;
    base::MonotonicClock m_clock;
    runner::RunnerService<UpstreamT> m_service;
    boost::asio::steady_timer m_ticker;
    wire::FrameServer m_server;
    http::CallerEndpoint m_endpoint;
    std::atomic<bool> m_draining{false};
};

}
