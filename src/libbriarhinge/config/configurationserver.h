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

/** Answers the processes that ask this one for a higher configuration; holds their requests until there is one. */
class ConfigurationServer
{
public:
    /** Called when a peer has seen a higher revision than this process. */
    using HigherHandler = std::function<void(base::Revision, const wire::Address &)>;

    /**
     * @param context runs the timers
     * @param inForce the configuration of this process
     * @param onHigher told of peers that have a higher one
     */
    ConfigurationServer(boost::asio::io_context &context, InForce &inForce, HigherHandler onHigher);

    /** Answers a request, now or later. @param session where from @param requestId its id @param fetch the request */
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
