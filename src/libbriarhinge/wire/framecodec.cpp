#include "wire/framecodec.h"

#include <fmt/format.h>

namespace briarhinge::wire
{

std::vector<std::uint8_t> encodeFrame(const FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto message = frame.message.Pack(builder);
    const auto relayTo = frame.relay_to.empty() ? 0 : builder.CreateString(frame.relay_to);
    builder.Finish(CreateFrame(builder, frameVersion, frame.request_id, frame.last, frame.revision, frame.message.type,
                               message, relayTo));
    const std::size_t size = builder.GetSize();
    std::vector<std::uint8_t> bytes(lengthPrefixBytes + size);
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i) {
        bytes[i] = static_cast<std::uint8_t>(size >> (8 * i));
    }
    std::copy_n(builder.GetBufferPointer(), size, bytes.begin() + lengthPrefixBytes);
    return bytes;
}

std::variant<std::size_t, BadFrame> decodeLength(std::span<const std::uint8_t, lengthPrefixBytes> prefix)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i) {
        length |= static_cast<std::size_t>(prefix[i]) << (8 * i);
    }
    if (length == 0 || length > maxFrameBytes) {
        return BadFrame{fmt::format("frame of {} bytes, must be 1 to {}", length, maxFrameBytes)};
    }
    return length;
}

const Frame *viewTrustedFrame(std::span<const std::uint8_t> bytes)
{
    const Frame *frame = GetFrame(bytes.data());
    return frame->version() == frameVersion ? frame : nullptr;
}

std::variant<FrameT, BadFrame> decodeFrame(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!VerifyFrameBuffer(verifier)) {
        return BadFrame{fmt::format("{} bytes that are not a frame", bytes.size())};
    }
    const Frame *frame = GetFrame(bytes.data());
    if (frame->version() != frameVersion) {
        return BadFrame{fmt::format("frame of version {}, must be {}", frame->version(), frameVersion)};
    }
    if (frame->message() == nullptr) {
        return BadFrame{"frame without a message"};
    }
    FrameT unpacked;
    frame->UnPackTo(&unpacked);
    if (unpacked.message.value == nullptr) {
        return BadFrame{fmt::format("frame with message {}, which is not known",
                                    static_cast<std::uint32_t>(frame->message_type()))};
    }
    return unpacked;
}

}
