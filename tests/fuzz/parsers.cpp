#include "fuzz/parsers.h"

#include "api/json.h"
#include "runner/sseparser.h"
#include "wire/convert.h"
#include "wire/framecodec.h"

#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace briarhinge::fuzz
{

namespace
{

/** Aborts the process unless a property holds, so that a fuzzer reports the input. */
void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

bool feedProgram(std::string_view body)
{
    const auto parsed = api::parseProgram(body);
    if (const auto *bad = std::get_if<api::BadRequest>(&parsed)) {
        require(!bad->code.empty() && !bad->text.empty());
        require(!api::toReply(*bad).body.empty());
        return false;
    }
    const auto &spec = std::get<core::ProgramSpec>(parsed);
    require(api::isValidId(spec.id.value()));
    require(!spec.kind.value().empty() && !spec.account.value().empty());
    return true;
}

bool feedCall(std::string_view body)
{
    const auto parsed = api::parseCall(base::CallNumber(1), body);
    if (const auto *bad = std::get_if<api::BadRequest>(&parsed)) {
        require(!bad->code.empty() && !bad->text.empty());
        require(!api::toReply(*bad).body.empty());
        return false;
    }
    const auto &request = std::get<core::CallRequest>(parsed);
    require(!request.target.value().empty() && !request.input.empty());
    return true;
}

/** Converts the message of a frame as the receiving process would, and back. */
void convert(const wire::MessageUnion &message)
{
    if (const auto *execute = message.AsExecuteCall()) {
        wire::toWire(wire::fromWire(*execute));
    } else if (const auto *result = message.AsCallResult()) {
        wire::toWire(wire::fromWire(*result));
    } else if (const auto *request = message.AsClientRequest()) {
        wire::toWire(wire::fromWire(*request));
    } else if (const auto *reply = message.AsClientReply()) {
        wire::toWire(wire::fromWire(*reply));
    }
}

bool feedFrame(std::span<const std::uint8_t> bytes)
{
    // A copy of the exact size lets the sanitizer detect every read beyond the end.
    const std::vector<std::uint8_t> exact(bytes.begin(), bytes.end());
    const auto decoded = wire::decodeFrame(exact);
    if (const auto *bad = std::get_if<wire::BadFrame>(&decoded)) {
        require(!bad->reason.empty());
        return false;
    }
    const auto &frame = std::get<wire::FrameT>(decoded);
    convert(frame.message);
    const auto reencoded = wire::encodeFrame(frame);
    require(
        std::holds_alternative<wire::FrameT>(wire::decodeFrame(std::span(reencoded).subspan(wire::lengthPrefixBytes))));
    return true;
}

bool feedLength(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < wire::lengthPrefixBytes) {
        return false;
    }
    const auto decoded = wire::decodeLength(bytes.first<wire::lengthPrefixBytes>());
    const auto *length = std::get_if<std::size_t>(&decoded);
    require(length == nullptr || (*length > 0 && *length <= wire::maxFrameBytes));
    return length != nullptr;
}

bool feedEvents(std::string_view text)
{
    bool any = false;
    runner::SseParser parser([&](std::string_view data) {
        any = true;
        require(data.size() <= text.size());
    });
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        parser.processLine(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return any;
}

}

bool feed(std::span<const std::uint8_t> input)
{
    if (input.empty()) {
        return false;
    }
    constexpr std::uint8_t parsers = 5;
    const std::span<const std::uint8_t> bytes = input.subspan(1);
    const std::string text(bytes.begin(), bytes.end());
    switch (input.front() % parsers) {
    case 0:
        return feedProgram(text);
    case 1:
        return feedCall(text);
    case 2:
        return feedFrame(bytes);
    case 3:
        return feedLength(bytes);
    default:
        return feedEvents(text);
    }
}

}
