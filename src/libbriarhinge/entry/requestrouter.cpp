#include "entry/requestrouter.h"

#include "api/json.h"
#include "wire/convert.h"

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::entry
{

namespace
{

constexpr base::Milliseconds retryWhenNoOwner{1000};
/** Time between two looks at who owns a program. */
constexpr base::Milliseconds ownerCheck{50};

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

RequestRouter::RequestRouter(boost::asio::io_context &context, const OwnerMap &owners, base::Milliseconds waitLimit,
                             ChannelFactory makeChannel, api::ClientHandler local)
    : m_context(context)
    , m_owners(owners)
    , m_waitLimit(waitLimit)
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
    auto routed = std::make_shared<Routed>();
    routed->request = std::move(request);
    routed->sink = std::move(sink);
    routed->deadline = SteadyClock::now() + m_waitLimit;
    attempt(routed);
}

void RequestRouter::attempt(const RoutedPtr &routed)
{
    const auto owner = m_owners.ownerOf(core::rootOf(routed->request.program));
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished) {
            return;
        }
        number = ++routed->attempt;
        routed->owner = owner ? std::optional(owner->incarnation) : std::nullopt;
    }
    if (!owner) {
        lost(routed, number, false, "no owner is known yet");
    } else if (owner->incarnation == m_owners.self().incarnation) {
        m_local(routed->request, sinkOf(routed, number));
    } else {
        forward(*owner, routed, number);
        followOwner(routed, number);
    }
}

/** A paused owner answers nothing: the request goes on to the next one as soon as there is one. */
void RequestRouter::followOwner(const RoutedPtr &routed, std::uint64_t attempt)
{
    after(ownerCheck, [this, routed, attempt] {
        const auto owner = m_owners.ownerOf(core::rootOf(routed->request.program));
        bool isSame = false;
        {
            const std::lock_guard lock(routed->mutex);
            if (routed->isFinished || routed->attempt != attempt) {
                return;
            }
            isSame = !owner || owner->incarnation == routed->owner;
        }
        if (isSame) {
            followOwner(routed, attempt);
        } else {
            lost(routed, attempt, true, "another entry owns the program now");
        }
    });
}

api::ClientSink RequestRouter::sinkOf(const RoutedPtr &routed, std::uint64_t attempt)
{
    api::ClientSink sink;
    sink.chunk = [routed, attempt](std::uint64_t offset, const std::string &text) {
        const std::lock_guard lock(routed->mutex);
        if (!routed->isFinished && routed->attempt == attempt) {
            routed->hasChunks = true;
            routed->sink.chunk(offset, text);
        }
    };
    sink.reply = [this, routed, attempt](const api::ClientReply &reply) {
        replied(routed, attempt, reply);
    };
    return sink;
}

void RequestRouter::replied(const RoutedPtr &routed, std::uint64_t attempt, const api::ClientReply &reply)
{
    if (reply.status == api::statusMisdirected) {
        lost(routed, attempt, false, "the program changes its owner");
        return;
    }
    bool isContradicted = false;
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished || routed->attempt != attempt) {
            return;
        }
        // An earlier owner may have run what the present one did not.
        isContradicted = routed->mayHaveRun && reply.status == api::statusNotRun;
    }
    finish(routed, isContradicted ? lostReply(routed->request, "the next owner did not run the call") : reply);
}

void RequestRouter::lost(const RoutedPtr &routed, std::uint64_t attempt, bool mayHaveRun, const std::string &reason)
{
    bool isOver = false;
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished || routed->attempt != attempt) {
            return;
        }
        // The connection and the change of the owner may both tell of one loss: only one attempt follows it.
        ++routed->attempt;
        routed->mayHaveRun = routed->mayHaveRun || mayHaveRun;
        mayHaveRun = routed->mayHaveRun;
        // Another run may word its answer differently: what the caller has already must not be continued by it.
        isOver = routed->hasChunks || SteadyClock::now() + ownerCheck > routed->deadline;
    }
    if (isOver) {
        finish(routed, mayHaveRun ? lostReply(routed->request, reason) : notRun(routed->request, reason));
        return;
    }
    after(ownerCheck, [this, routed] {
        this->attempt(routed);
    });
}

void RequestRouter::finish(const RoutedPtr &routed, const api::ClientReply &reply)
{
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished) {
            return;
        }
        routed->isFinished = true;
    }
    routed->sink.reply(reply);
}

void RequestRouter::after(base::Milliseconds delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &error) {
        if (!error) {
            work();
        }
    });
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

void RequestRouter::forward(const state::EntryInfo &owner, const RoutedPtr &routed, std::uint64_t attempt)
{
    wire::MessageUnion message;
    message.Set(wire::toWire(routed->request));
    const api::ClientSink sink = sinkOf(routed, attempt);
    channelTo(owner.address)
        ->sendRequest(std::move(message), [this, routed, attempt, sink](const wire::ChannelReply &reply) {
            if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
                lost(routed, attempt, error->mayHaveBeenSent, error->reason);
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
