#include "entry/requestrouter.h"

#include "api/json.h"
#include "wire/convert.h"

namespace briarhinge::entry
{

namespace
{

constexpr base::Milliseconds retryWhenNoOwner{1000};

/** Finds the program of a request: of one that opens a program it stands in the body. */
std::optional<api::ClientReply> identify(api::ClientRequest &request)
{
    if (request.verb != api::Verb::OpenProgram) {
        return std::nullopt;
    }
    const auto parsed = api::parseProgram(request.body);
    if (const auto *bad = std::get_if<api::BadRequest>(&parsed)) {
        return api::toReply(*bad);
    }
    request.program = std::get<core::ProgramSpec>(parsed).id;
    return std::nullopt;
}

api::ClientReply notRun(const api::ClientRequest &request, const std::string &reason)
{
    return api::toReply(
        api::CallView{request.program, request.number, core::NotRun{reason, retryWhenNoOwner}, {}, false});
}

/** What to say when the owner was lost after the request was sent. */
api::ClientReply lostReply(const api::ClientRequest &request, const std::string &reason)
{
    if (request.verb == api::Verb::MakeCall) {
        return api::toReply(api::CallView{
            request.program,
            request.number,
            core::Unknown{"the owner of the program was lost: " + reason + "; ask again with the same call number"},
            {},
            false});
    }
    return notRun(request, reason);
}

}

RequestRouter::RequestRouter(const OwnerMap &owners, ChannelFactory makeChannel, api::ClientHandler local)
    : m_owners(owners)
    , m_makeChannel(std::move(makeChannel))
    , m_local(std::move(local))
{
}

void RequestRouter::route(api::ClientRequest request, api::ClientSink sink)
{
    if (const auto refusal = identify(request)) {
        sink.reply(*refusal);
        return;
    }
    const auto owner = m_owners.ownerOf(core::rootOf(request.program));
    if (!owner) {
        sink.reply(notRun(request, "no entry is known yet"));
        return;
    }
    if (owner->incarnation == m_owners.self().incarnation) {
        m_local(std::move(request), std::move(sink));
        return;
    }
    forward(*owner, request, sink);
}

void RequestRouter::received(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    if (frame.message.AsHello() != nullptr) {
        return;
    }
    const auto *forwarded = frame.message.AsClientRequest();
    if (forwarded == nullptr) {
        session->close("bad frame: a message that an entry does not take");
        return;
    }
    api::ClientSink sink;
    sink.chunk = [session, id = frame.request_id](std::uint64_t offset, const std::string &text) {
        wire::CallChunkT chunk;
        chunk.offset = offset;
        chunk.text = text;
        wire::FrameT answer;
        answer.request_id = id;
        answer.message.Set(std::move(chunk));
        session->send(answer);
    };
    ++m_forwarded;
    sink.reply = [this, session, id = frame.request_id](const api::ClientReply &reply) {
        --m_forwarded;
        wire::FrameT answer;
        answer.request_id = id;
        answer.last = true;
        answer.message.Set(wire::toWire(reply));
        session->send(answer);
    };
    m_local(wire::fromWire(*forwarded), std::move(sink));
}

std::size_t RequestRouter::forwardedInProgress() const
{
    return m_forwarded;
}

std::shared_ptr<wire::FrameChannel> RequestRouter::channelTo(const wire::Address &address)
{
    const std::lock_guard lock(m_mutex);
    auto &channel = m_channels[address];
    if (!channel) {
        channel = m_makeChannel(address);
    }
    return channel;
}

void RequestRouter::forward(const state::EntryInfo &owner, const api::ClientRequest &request,
                            const api::ClientSink &sink)
{
    wire::MessageUnion message;
    message.Set(wire::toWire(request));
    channelTo(owner.address)->ask(std::move(message), [request, sink](const wire::ChannelReply &reply) {
        if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
            sink.reply(error->mayHaveLeft ? lostReply(request, error->reason) : notRun(request, error->reason));
            return;
        }
        const wire::MessageUnion &answer = std::get<wire::FrameT>(reply).message;
        if (const auto *chunk = answer.AsCallChunk()) {
            sink.chunk(chunk->offset, chunk->text);
        } else if (const auto *last = answer.AsClientReply()) {
            sink.reply(wire::fromWire(*last));
        }
    });
}

}
