#pragma once

#include "config/inforce.h"
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
    using HigherHandler = std::function<void(base::Revision, const wire::Address &)>;

    /**
     * @param context executes the timers
     * @param inForce the active configuration of this process
     * @param onHigher called for each peer that has seen a newer revision
     */
    ConfigurationServer(boost::asio::io_context &context, InForce &inForce, HigherHandler onHigher);

    /**
     * Handles a configuration request. Replies at once, or when a newer revision becomes active or the wait ends.
     *
     * @param session the session to reply on
     * @param requestId id of the request frame, repeated in the reply
     * @param fetch the highest revision that the peer has seen, and its longest wait in milliseconds
     */
    void received(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId,
                  const wire::FetchConfigurationT &fetch);

private:
    struct Held
    {
        std::shared_ptr<wire::FrameSession> session;
        std::uint64_t requestId = 0;
        base::Revision asked;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void hold(Held held, base::Milliseconds wait);
    void release(std::uint64_t id);
    void releaseAll();
    void answer(const Held &held) const;

    boost::asio::io_context &m_context;
    InForce &m_inForce;
    HigherHandler m_onHigher;
    std::mutex m_mutex;
    std::map<std::uint64_t, Held> m_held;
    std::uint64_t m_lastId = 0;
};

}
