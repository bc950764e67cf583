#pragma once

#include "api/clientrequest.h"
#include "entry/ownermap.h"
#include "wire/framechannel.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace briarhinge::entry
{

/** Gives each request to the owner of its program: this process or another entry. */
class RequestRouter
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /**
     * @param owners knows the owner of each program
     * @param makeChannel makes the connection to another entry
     * @param local answers the requests of programs that this process owns
     */
    RequestRouter(const OwnerMap &owners, ChannelFactory makeChannel, api::ClientHandler local);

    /** Answers a caller's request, here or at the owner. @param request what it wants @param sink gets the answer */
    void route(api::ClientRequest request, api::ClientSink sink);

    /** Answers a request that another entry forwarded. @param session where from @param frame the request */
    void received(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);

    /** @return requests from other entries that have no final answer yet */
    std::size_t forwardedInProgress() const;

private:
    std::shared_ptr<wire::FrameChannel> channelTo(const wire::Address &address);
    void forward(const state::EntryInfo &owner, const api::ClientRequest &request, const api::ClientSink &sink);

    const OwnerMap &m_owners;
    ChannelFactory m_makeChannel;
    api::ClientHandler m_local;
    std::atomic<std::size_t> m_forwarded{0};
    std::mutex m_mutex;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

}
