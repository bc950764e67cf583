#pragma once

#include "http/callerendpoint.h"
#include "logging/eventlog.h"
#include "metrics/metrics.h"
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
        , m_threads(settings.ioThreads)
        , m_service(upstream, m_clock, log, policyOf(settings))
        , m_ticker(m_threads.context())
        , m_server(
              m_threads.context(), log,
              [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
                  m_service.received(session, frame);
              },
              [this](const std::shared_ptr<wire::FrameSession> &session, const std::string &) {
                  m_service.sessionClosed(session);
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
        return m_service.inProgress() + m_server.unsent();
    }

    /** @return whether a draining process gets no calls to refuse any more */
    bool isQuiet() const
    {
        return m_service.isQuiet();
    }

    /** Logs what a stop cuts off. */
    void logLeft() const
    {
        m_service.logLeft();
    }

private:
    static constexpr base::Milliseconds tickInterval{20};

    static runner::RunnerPolicy policyOf(const settings::Settings &settings)
    {
        runner::RunnerPolicy policy;
        policy.concurrency.most = settings.concurrency;
        policy.queueWaitLimit = settings.queueWaitLimit;
        policy.callTimeout = settings.callTimeout;
        policy.toolTimeouts = settings.toolTimeouts;
        policy.orphanGrace = settings.orphanGrace;
        policy.holds.longest = settings.holdLimit;
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
    wire::IoThreads m_threads;
    metrics::Metrics m_metrics;
    base::MonotonicClock m_clock;
    runner::RunnerService<UpstreamT> m_service;
    boost::asio::steady_timer m_ticker;
    wire::FrameServer m_server;
    http::CallerEndpoint m_endpoint;
    std::atomic<bool> m_draining{false};
};

}
