#include "entry/requestrouter.h"

#include "api/json.h"
#include "wire/convert.h"

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::entry
{

namespace
{

constexpr base::Milliseconds noOwnerRetryDelay{1000};
/** Interval between two lookups of the owner of a program. */
constexpr base::Milliseconds ownerPollInterval{50};

/** Sets the program of a request that opens one, which is named in the body. Returns a reply if the body is invalid. */
std::optional<api::ClientReply> resolveProgram(api::ClientRequest &request)
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

api::ClientReply notRunReply(const api::ClientRequest &request, const std::string &reason)
{
    return api::toReply(
        api::CallView{request.program, request.number, core::NotRun{reason, noOwnerRetryDelay}, {}, false});
}

/** Returns the reply to a request whose owner was lost after the request had been sent. */
api::ClientReply ownerLostReply(const api::ClientRequest &request, const std::string &reason)
{
    if (request.verb == api::Verb::MakeCall) {
        return api::toReply(api::CallView{
            request.program,
            request.number,
            core::Unknown{"the owner of the program was lost: " + reason + "; ask again with the same call number"},
            {},
            false});
    }
    return notRunReply(request, reason);
}

}

RequestRouter::RequestRouter(boost::asio::io_context &context, const OwnerMap &owners, base::Milliseconds ownerTimeout,
                             ChannelFactory makeChannel, api::ClientHandler local)
    : m_context(context)
    , m_owners(owners)
    , m_ownerTimeout(ownerTimeout)
    , m_makeChannel(std::move(makeChannel))
    , m_local(std::move(local))
{
}

void RequestRouter::route(api::ClientRequest request, api::ClientSink sink)
{
    if (const auto refusal = resolveProgram(request)) {
        sink.reply(*refusal);
        return;
    }
    auto routed = std::make_shared<RoutedRequest>();
    routed->request = std::move(request);
    routed->sink = std::move(sink);
    routed->deadline = SteadyClock::now() + m_ownerTimeout;
    startAttempt(routed);
}

void RequestRouter::startAttempt(const RoutedRequestPtr &routed)
{
    const auto owner = m_owners.owner(core::rootProgramId(routed->request.program));
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
        handleOwnerLoss(routed, number, false, "no owner is known yet");
    } else if (owner->incarnation == m_owners.self().incarnation) {
        m_local(routed->request, makeSink(routed, number));
    } else {
        forward(*owner, routed, number);
        watchOwner(routed, number);
    }
}

/** Resends the request as soon as the program has another owner, because a paused owner does not reply. */
void RequestRouter::watchOwner(const RoutedRequestPtr &routed, std::uint64_t attempt)
{
    runAfter(ownerPollInterval, [this, routed, attempt] {
        const auto owner = m_owners.owner(core::rootProgramId(routed->request.program));
        bool isSame = false;
        {
            const std::lock_guard lock(routed->mutex);
            if (routed->isFinished || routed->attempt != attempt) {
                return;
            }
            isSame = !owner || owner->incarnation == routed->owner;
        }
        if (isSame) {
            watchOwner(routed, attempt);
        } else {
            handleOwnerLoss(routed, attempt, true, "another entry owns the program now");
        }
    });
}

api::ClientSink RequestRouter::makeSink(const RoutedRequestPtr &routed, std::uint64_t attempt)
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
        handleReply(routed, attempt, reply);
    };
    return sink;
}

void RequestRouter::handleReply(const RoutedRequestPtr &routed, std::uint64_t attempt, const api::ClientReply &reply)
{
    if (reply.status == api::statusMisdirected) {
        handleOwnerLoss(routed, attempt, false, "the program changes its owner");
        return;
    }
    bool isContradicted = false;
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished || routed->attempt != attempt) {
            return;
        }
        // An earlier owner may have run the call that the current owner did not run.
        isContradicted = routed->mayHaveRun && reply.status == api::statusNotRun;
    }
    finish(routed, isContradicted ? ownerLostReply(routed->request, "the next owner did not run the call") : reply);
}

void RequestRouter::handleOwnerLoss(const RoutedRequestPtr &routed, std::uint64_t attempt, bool mayHaveRun,
                                    const std::string &reason)
{
    bool mustFinish = false;
    {
        const std::lock_guard lock(routed->mutex);
        if (routed->isFinished || routed->attempt != attempt) {
            return;
        }
        // A lost connection and a change of owner may both report the same loss, which must cause only one new attempt.
        ++routed->attempt;
        routed->mayHaveRun = routed->mayHaveRun || mayHaveRun;
        mayHaveRun = routed->mayHaveRun;
        // Another run may produce a different answer, which must not continue the chunks that the caller already has.
        mustFinish = routed->hasChunks || SteadyClock::now() + ownerPollInterval > routed->deadline;
    }
    if (mustFinish) {
        finish(routed, mayHaveRun ? ownerLostReply(routed->request, reason) : notRunReply(routed->request, reason));
        return;
    }
    runAfter(ownerPollInterval, [this, routed] {
        this->startAttempt(routed);
    });
}

void RequestRouter::finish(const RoutedRequestPtr &routed, const api::ClientReply &reply)
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

void RequestRouter::runAfter(base::Milliseconds delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &error) {
        if (!error) {
            work();
        }
    });
}

void RequestRouter::handleFrame(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    if (frame.message.AsHello() != nullptr) {
        return;
    }
    const auto *forwarded = frame.message.AsClientRequest();
    if (forwarded == nullptr) {
        session->close("bad frame: unexpected message for an entry");
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

void RequestRouter::forward(const state::EntryInfo &owner, const RoutedRequestPtr &routed, std::uint64_t attempt)
{
    wire::MessageUnion message;
    message.Set(wire::toWire(routed->request));
    const api::ClientSink sink = makeSink(routed, attempt);
    channelTo(owner.address)
        ->sendRequest(std::move(message), [this, routed, attempt, sink](const wire::ChannelReply &reply) {
            if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
                handleOwnerLoss(routed, attempt, error->mayHaveBeenSent, error->reason);
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
