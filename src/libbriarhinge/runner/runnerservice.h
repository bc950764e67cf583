#pragma once

#include "logging/eventlog.h"
#include "runner/callqueue.h"
#include "runner/upstream.h"
#include "wire/convert.h"
#include "wire/framesession.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace briarhinge::runner
{

/**
 * Stands beside one upstream: takes calls from entries, queues them, and gives them to the upstream a few at a time.
 *
 * It is the one place that sees all that happens to its upstream, and so the authority on draining and on calls that
 * may run only once.
 */
template <Upstream UpstreamT>
class RunnerService
{
public:
    /**
     * @param upstream the upstream
     * @param log gets the events
     * @param concurrency calls given to the upstream at once
     */
    RunnerService(UpstreamT &upstream, logging::EventLog &log, std::size_t concurrency)
        : m_upstream(upstream)
        , m_log(log)
        , m_concurrency(concurrency)
    {
    }

    /** Takes in a frame. @param session where it came from @param frame the frame */
    void received(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
    {
        const wire::MessageUnion &message = frame.message;
        if (const auto *execute = message.AsExecuteCall()) {
            accept(session, frame.request_id, *execute);
        } else if (message.AsProbe() != nullptr) {
            reply(session, frame.request_id, loadReport());
        } else if (message.AsCancelCall() != nullptr) {
            cancel(session, frame.request_id);
        } else if (const auto *release = message.AsReleaseProgram()) {
            m_upstream.release(base::ProgramId(release->program));
            reply(session, frame.request_id, wire::DoneT{});
        } else if (message.AsHello() == nullptr) {
            session->close("bad frame: a message that a runner does not take");
        }
    }

    /** Drops what waits for an entry whose connection is gone. @param session the connection */
    void sessionClosed(const std::shared_ptr<wire::FrameSession> &session)
    {
        const std::lock_guard lock(m_mutex);
        m_queue.remove([&](const std::shared_ptr<Job> &job) {
            return job->session == session;
        });
    }

    /** Takes no new calls from now on. */
    void drain()
    {
        m_log.write(logging::events::upstreamDraining, {});
        const std::lock_guard lock(m_mutex);
        m_draining = true;
    }

    /** @return calls that wait or run */
    std::size_t inProgress() const
    {
        const std::lock_guard lock(m_mutex);
        return m_queue.size() + m_running.size();
    }

private:
    static constexpr base::Milliseconds retryWhenDraining{200};

    struct Job
    {
        std::shared_ptr<wire::FrameSession> session;
        std::uint64_t requestId = 0;
        UpstreamCall call;
        std::shared_ptr<Cancellation> cancellation;
    };

    using OnceKey = std::pair<base::ProgramId, base::CallNumber>;

    void accept(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId,
                const wire::ExecuteCallT &execute)
    {
        auto job = std::make_shared<Job>();
        job->session = session;
        job->requestId = requestId;
        job->call = {wire::fromWire(execute), execute.partial};
        {
            const std::lock_guard lock(m_mutex);
            const auto refusal = refuse(job->call.call);
            if (refusal) {
                replyResult(*job, *refusal);
                return;
            }
            m_queue.push({job->call.call.priority, job->call.call.attained}, job);
        }
        startWaiting();
    }

    /** Decides under the lock whether a call is refused. */
    std::optional<core::Outcome> refuse(const core::DispatchCall &call)
    {
        if (m_draining) {
            return core::NotRun{"the runner is draining", retryWhenDraining};
        }
        if (!call.request.idempotent && !m_ranOnce.insert({call.program, call.request.number}).second) {
            return core::Unknown{"the runner was given this call before"};
        }
        return std::nullopt;
    }

    void startWaiting()
    {
        while (true) {
            std::shared_ptr<Job> job;
            {
                const std::lock_guard lock(m_mutex);
                if (m_running.size() >= m_concurrency) {
                    return;
                }
                auto next = m_queue.pop();
                if (!next) {
                    return;
                }
                job = std::move(*next);
                m_running.insert(job);
            }
            start(job);
        }
    }

    void start(const std::shared_ptr<Job> &job)
    {
        UpstreamObserver observer;
        observer.chunk = [this, job](std::uint64_t offset, const std::string &text) {
            wire::CallChunkT chunk;
            chunk.offset = offset;
            chunk.text = text;
            reply(job->session, job->requestId, std::move(chunk), false);
        };
        observer.ended = [this, job](const core::Outcome &outcome) {
            {
                const std::lock_guard lock(m_mutex);
                m_running.erase(job);
                replyResult(*job, outcome);
            }
            startWaiting();
        };
        auto cancellation = m_upstream.execute(job->call, observer);
        const std::lock_guard lock(m_mutex);
        job->cancellation = std::move(cancellation);
    }

    void cancel(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId)
    {
        std::shared_ptr<Cancellation> cancellation;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &job : m_running) {
                if (job->session == session && job->requestId == requestId) {
                    cancellation = job->cancellation;
                }
            }
        }
        if (cancellation) {
            cancellation->cancel();
        }
    }

    /** Ends a call towards its entry, under the lock. */
    void replyResult(const Job &job, const core::Outcome &outcome)
    {
        wire::CallResultT result = wire::toWire(outcome);
        result.load = std::make_unique<wire::LoadReportT>(loadReportLocked());
        reply(job.session, job.requestId, std::move(result));
    }

    wire::LoadReportT loadReport() const
    {
        const std::lock_guard lock(m_mutex);
        return loadReportLocked();
    }

    wire::LoadReportT loadReportLocked() const
    {
        wire::LoadReportT report;
        report.running = static_cast<std::uint32_t>(m_running.size());
        report.queued = static_cast<std::uint32_t>(m_queue.size());
        report.limit = static_cast<std::uint32_t>(m_concurrency);
        report.draining = m_draining;
        return report;
    }

    template <class MessageT>
    void reply(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId, MessageT message,
               bool last = true)
    {
        wire::FrameT frame;
        frame.request_id = requestId;
        frame.last = last;
        frame.message.Set(std::move(message));
        session->send(frame);
    }

    UpstreamT &m_upstream;
    logging::EventLog &m_log;
    const std::size_t m_concurrency;
    mutable std::mutex m_mutex;
    CallQueue<std::shared_ptr<Job>> m_queue;
    std::set<std::shared_ptr<Job>> m_running;
    std::set<OnceKey> m_ranOnce;
    bool m_draining = false;
};

}
