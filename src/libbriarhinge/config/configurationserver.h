#pragma once

#include "config/activeconfiguration.h"
#include "wire/address.h"
#include "wire/framesession.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::config
{

/** Serves configuration requests of peers by long polling: a request waits until a newer revision is active here. */
class ConfigurationServer
{
public:
    /** Called with the revision and address of a peer that has seen a newer revision than this process. */
    using NewerRevisionHandler = std::function<void(base::Revision, const wire::Address &)>;

    /**
     * @param context executes the timers
     * @param activeConfiguration the active configuration of this process
     * @param onNewerRevision called for each peer that has seen a newer revision
     */
    ConfigurationServer(boost::asio::io_context &context, ActiveConfiguration &activeConfiguration,
                        NewerRevisionHandler onNewerRevision);

    /**
     * Handles a configuration request. Replies at once, or when a newer revision becomes active or the wait ends.
     *
     * @param session the session to reply on
     * @param requestId id of the request frame, repeated in the reply
     * @param fetch the highest revision that the peer has seen, and its longest wait in milliseconds
     */
    void handleFetch(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId,
                     const wire::FetchConfigurationT &fetch);

private:
    struct PendingRequest
    {
        std::shared_ptr<wire::FrameSession> session;
        std::uint64_t requestId = 0;
        base::Revision knownRevision;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void enqueue(PendingRequest request, base::Milliseconds wait);
    void complete(std::uint64_t id);
    void completeAll();
    void reply(const PendingRequest &request) const;

    boost::asio::io_context &m_context;
    ActiveConfiguration &m_activeConfiguration;
    NewerRevisionHandler m_onNewerRevision;
    std::mutex m_mutex;
    std::map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::uint64_t m_lastId = 0;
};

}
