#pragma once

#include "frames_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::wire
{

/** Version of the frame format; frames of any other version are rejected. */
inline constexpr std::uint16_t frameVersion = 1;

/** Size of the length prefix of a frame, an unsigned 32-bit little-endian integer. */
inline constexpr std::size_t lengthPrefixBytes = 4;

/** Maximum size of a frame: leaves ample room for a whole history of 160,000 tokens. */
inline constexpr std::size_t maxFrameBytes = std::size_t{8} * 1024 * 1024;

/** Error of bytes that are not a valid frame. */
struct BadFrame
{
    std::string reason;
};

/**
 * Serializes a frame with the current version.
 *
 * @param frame the frame; its version is ignored
 * @return bytes of the frame, including the length prefix
 */
std::vector<std::uint8_t> encodeFrame(const FrameT &frame);

/**
 * @param prefix bytes of a length prefix
 * @return length in bytes of the frame that follows, or an error if it is zero or too large
 */
std::variant<std::size_t, BadFrame> decodeLength(std::span<const std::uint8_t, lengthPrefixBytes> prefix);

/**
 * Verifies and unpacks a frame.
 *
 * @param bytes bytes of a frame, without the length prefix
 * @return the frame, or an error if it is invalid
 */
std::variant<FrameT, BadFrame> decodeFrame(std::span<const std::uint8_t> bytes);

/**
 * Accesses a frame in place without verification. Only for bytes that encodeFrame() wrote and that are known
 * to be unmodified since, for example by a checksum.
 *
 * @param bytes bytes of a frame, without the length prefix, aligned like an allocation
 * @return the frame, valid as long as the bytes; null if it has another version
 */
const Frame *viewTrustedFrame(std::span<const std::uint8_t> bytes);

}
