#include "wire/convert.h"
#include "wire/framechannel.h"
#include "wire/framecodec.h"
#include "wire/iothreads.h"

#include <future>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

core::Outcome anyOutcome()
{
    const auto text = *rc::gen::arbitrary<std::string>();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return core::Completed{text,
                               {base::Tokens(*rc::gen::arbitrary<std::uint64_t>()),
                                base::Tokens(*rc::gen::arbitrary<std::uint64_t>()),
                                base::Tokens(*rc::gen::arbitrary<std::uint64_t>()),
                                base::MicroMoney(*rc::gen::arbitrary<std::uint64_t>())}};
    case 1: {
        core::NotRun notRun{text, std::nullopt};
        if (*rc::gen::arbitrary<bool>()) {
            notRun.retryAfter = base::Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000));
        }
        return notRun;
    }
    case 2:
        return core::Failed{text};
    default:
        return core::Unknown{text};
    }
}

/** Encodes a message into a frame and decodes it again. */
template <class MessageT>
wire::FrameT roundTrip(MessageT message)
{
    wire::FrameT frame;
    frame.request_id = 9;
    frame.message.Set(std::move(message));
    const auto bytes = wire::encodeFrame(frame);
    const auto body = std::span(bytes).subspan(wire::lengthPrefixBytes);
    const auto length = wire::decodeLength(std::span(bytes).template first<wire::lengthPrefixBytes>());
    RC_ASSERT(std::get<std::size_t>(length) == body.size());
    const auto decoded = wire::decodeFrame(body);
    RC_ASSERT(std::holds_alternative<wire::FrameT>(decoded));
    return std::get<wire::FrameT>(decoded);
}

}

TEST_GROUP(Wire){};

TEST(Wire, OutcomeSurvivesEncodingAndDecoding)
{
    CHECK(rc::check("outcome round trip", [] {
        const core::Outcome outcome = anyOutcome();
        const auto frame = roundTrip(wire::toWire(outcome));
        RC_ASSERT(wire::fromWire(*frame.message.AsCallResult()) == outcome);
    }));
}

TEST(Wire, RequestSurvivesEncodingAndDecoding)
{
    CHECK(rc::check("request round trip", [] {
        api::ClientRequest request;
        request.verb = static_cast<api::Verb>(*rc::gen::inRange(0, 5));
        request.program = base::ProgramId(*rc::gen::arbitrary<std::string>());
        request.number = base::CallNumber(*rc::gen::arbitrary<std::uint32_t>());
        request.offset = *rc::gen::arbitrary<std::uint64_t>();
        request.body = *rc::gen::arbitrary<std::string>();
        const auto frame = roundTrip(wire::toWire(request));
        const api::ClientRequest back = wire::fromWire(*frame.message.AsClientRequest());
        RC_ASSERT(back.verb == request.verb);
        RC_ASSERT(back.program == request.program);
        RC_ASSERT(back.number == request.number);
        RC_ASSERT(back.offset == request.offset);
        RC_ASSERT(back.body == request.body);
    }));
}

TEST(Wire, ReplySurvivesEncodingAndDecoding)
{
    CHECK(rc::check("reply round trip", [] {
        api::ClientReply reply{*rc::gen::arbitrary<std::uint16_t>(), *rc::gen::arbitrary<std::string>(), std::nullopt};
        if (*rc::gen::arbitrary<bool>()) {
            reply.retryAfter = base::Milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000));
        }
        const auto frame = roundTrip(wire::toWire(reply));
        const api::ClientReply back = wire::fromWire(*frame.message.AsClientReply());
        RC_ASSERT(back.status == reply.status);
        RC_ASSERT(back.body == reply.body);
        RC_ASSERT(back.retryAfter == reply.retryAfter);
    }));
}

TEST(Wire, CallSurvivesEncodingAndDecoding)
{
    CHECK(rc::check("call round trip", [] {
        core::DispatchCall call;
        call.program = base::ProgramId(*rc::gen::arbitrary<std::string>());
        call.request.number = base::CallNumber(*rc::gen::arbitrary<std::uint32_t>());
        call.request.kind = *rc::gen::element(core::CallKind::Model, core::CallKind::Tool);
        call.request.target = base::TargetName(*rc::gen::arbitrary<std::string>());
        call.request.idempotent = *rc::gen::arbitrary<bool>();
        call.request.maxTokens = base::Tokens(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
        call.prompt = *rc::gen::arbitrary<std::string>();
        call.priority = *rc::gen::arbitrary<std::int32_t>();
        call.attained = base::Tokens(*rc::gen::arbitrary<std::uint64_t>());
        const auto frame = roundTrip(wire::toWire(call));
        const core::DispatchCall back = wire::fromWire(*frame.message.AsExecuteCall());
        RC_ASSERT(back.program == call.program);
        RC_ASSERT(back.request == call.request);
        RC_ASSERT(back.prompt == call.prompt);
        RC_ASSERT(back.priority == call.priority);
        RC_ASSERT(back.attained == call.attained);
    }));
}

TEST(Wire, FrameWithAMessageOfALaterVersionIsRefused)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto done = wire::CreateDone(builder);
    const auto unknown = static_cast<wire::Message>(200);
    builder.Finish(wire::CreateFrame(builder, wire::frameVersion, 1, false, 0, unknown, done.Union()));
    const auto decoded = wire::decodeFrame({builder.GetBufferPointer(), builder.GetSize()});
    CHECK(std::holds_alternative<wire::BadFrame>(decoded));
}

TEST(Wire, RequestThatDoesNotFitIntoAFrameIsNotSent)
{
    wire::IoThreads threads(1);
    const auto channel =
        std::make_shared<wire::FrameChannel>(threads.context(), wire::Address{"127.0.0.1", 9}, [](wire::FrameT &) {});
    wire::ExecuteCallT execute;
    execute.prompt = std::string(wire::maxFrameBytes, 'x');
    wire::MessageUnion message;
    message.Set(std::move(execute));
    std::promise<wire::ChannelReply> replied;
    channel->sendRequest(std::move(message), [&](const wire::ChannelReply &reply) {
        replied.set_value(reply);
    });
    const auto reply = replied.get_future().get();
    CHECK_FALSE(std::get<wire::ChannelError>(reply).mayHaveBeenSent);
    STRCMP_CONTAINS("does not fit into a frame", std::get<wire::ChannelError>(reply).reason.c_str());
    threads.stop();
}
