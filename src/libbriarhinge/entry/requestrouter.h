#pragma once

#include "api/clientrequest.h"
#include "entry/ownermap.h"
#include "wire/framechannel.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace briarhinge::entry
{

/**
 * Routes each request to the owner of its program: this process or another entry.
 *
 * While a program changes its owner its requests wait here. A request whose owner was lost is sent again to the next
 * owner. That is safe because a call with a known number joins the running call or gets its stored outcome.
 */
class RequestRouter
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /**
     * @param context runs the timers
     * @param owners provides the owner of each program
     * @param ownerTimeout maximum wait for an owner, in milliseconds
     * @param makeChannel creates the connection to another entry
     * @param local handles the requests of programs that this process owns
     */
    RequestRouter(boost::asio::io_context &context, const OwnerMap &owners, base::Milliseconds ownerTimeout,
                  ChannelFactory makeChannel, api::ClientHandler local);

    /**
     * Handles the request of a caller, locally or by forwarding it to the owner.
     *
     * @param request the request
     * @param sink receives the chunks and the reply
     */
    void route(api::ClientRequest request, api::ClientSink sink);

    /**
     * Handles a request that another entry forwarded.
     *
     * @param session the connection that the frame came from
     * @param frame the frame with the request
     */
    void handleFrame(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);

    /** @return the number of requests from other entries that have no final reply yet */
    std::size_t forwardedInProgress() const;

private:
    using SteadyClock = std::chrono::steady_clock;

    /** A request with the state of its attempts to reach the owner. */
    struct RoutedRequest
    {
        api::ClientRequest request;
        api::ClientSink sink;
        SteadyClock::time_point deadline;
        std::mutex mutex;
        /** Number of the current attempt; replies to earlier ones are ignored. */
        std::uint64_t attempt = 0;
        std::optional<base::ProcessId> owner;
        bool mayHaveRun = false;
        bool hasChunks = false;
        bool isFinished = false;
    };

    using RoutedRequestPtr = std::shared_ptr<RoutedRequest>;

    std::shared_ptr<wire::FrameChannel> channelTo(const wire::Address &address);
    void startAttempt(const RoutedRequestPtr &routed);
    void forward(const state::EntryInfo &owner, const RoutedRequestPtr &routed, std::uint64_t attempt);
    void watchOwner(const RoutedRequestPtr &routed, std::uint64_t attempt);
    api::ClientSink makeSink(const RoutedRequestPtr &routed, std::uint64_t attempt);
    void handleReply(const RoutedRequestPtr &routed, std::uint64_t attempt, const api::ClientReply &reply);
    void handleOwnerLoss(const RoutedRequestPtr &routed, std::uint64_t attempt, bool mayHaveRun,
                         const std::string &reason);
    void runAfter(base::Milliseconds delay, std::function<void()> work);
    static void finish(const RoutedRequestPtr &routed, const api::ClientReply &reply);

    boost::asio::io_context &m_context;
    const OwnerMap &m_owners;
    const base::Milliseconds m_ownerTimeout;
    ChannelFactory m_makeChannel;
    api::ClientHandler m_local;
    std::atomic<std::size_t> m_forwarded{0};
    std::mutex m_mutex;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

}
