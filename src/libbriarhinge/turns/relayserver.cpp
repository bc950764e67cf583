#include "turns/relayserver.h"

#include "base/units.h"

#include <utility>

namespace briarhinge::turns
{

namespace
{

/** Same as the time for which TurnClient waits for a response. */
constexpr base::Milliseconds relayTimeout{600};

/** Whether a message is of a type that entries send to turn stores. */
bool isRelayable(const wire::MessageUnion &message)
{
    return message.AsBeginTurn() != nullptr || message.AsEndTurn() != nullptr || message.AsRequestPermit() != nullptr
        || message.AsRequestUses() != nullptr;
}

}

RelayServer::RelayServer(boost::asio::io_context &context, StorePeers &peers,
                         std::function<bool(const wire::Address &)> isTurnStore, RequestHandler onRequest,
                         logging::EventLog &log)
    : m_peers(peers)
    , m_isTurnStore(std::move(isTurnStore))
    , m_onRequest(std::move(onRequest))
    , m_server(
          context, log,
          [this](const auto &session, wire::FrameT frame) {
              receive(session, std::move(frame));
          },
          [](const auto &, const std::string &) {})
{
}

std::variant<std::uint16_t, wire::ListenError> RelayServer::listen(const wire::Address &address)
{
    return m_server.listen(address);
}

void RelayServer::receive(const std::shared_ptr<wire::FrameSession> &session, wire::FrameT frame)
{
    if (frame.relay_to.empty()) {
        answer(session, frame);
        return;
    }
    const auto store = wire::parseAddress(frame.relay_to);
    if (!store || !m_isTurnStore(*store) || !isRelayable(frame.message)) {
        session->close("a message that is not relayed");
        return;
    }
    const std::weak_ptr<wire::FrameSession> weak = session;
    m_peers.sendRequest(*store, std::move(frame.message), relayTimeout,
                        [weak, requestId = frame.request_id](wire::ChannelReply reply) {
                            wire::FrameT answer;
                            if (auto *relayed = std::get_if<wire::FrameT>(&reply)) {
                                answer.message = std::move(relayed->message);
                            } else {
                                wire::RelayFailedT failed;
                                failed.reason = std::get<wire::ChannelError>(reply).reason;
                                answer.message.Set(std::move(failed));
                            }
                            answer.request_id = requestId;
                            answer.last = true;
                            if (const auto open = weak.lock()) {
                                open->send(answer);
                            }
                        });
}

void RelayServer::answer(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    auto message = m_onRequest(frame.message);
    if (!message) {
        session->close("a message that is not for this process");
        return;
    }
    wire::FrameT reply;
    reply.message = std::move(*message);
    reply.request_id = frame.request_id;
    reply.last = true;
    session->send(reply);
}

void RelayServer::stop()
{
    m_server.stop();
}

}
