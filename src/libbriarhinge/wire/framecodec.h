#pragma once

#include "frames_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::wire
{

/** Version of the frames; a process refuses every other one. */
inline constexpr std::uint16_t frameVersion = 1;

/** Length prefix of a frame: an unsigned 32-bit number, little end first. */
inline constexpr std::size_t lengthPrefixBytes = 4;

/** Largest frame: a whole history of 160,000 tokens with room to spare. */
inline constexpr std::size_t maxFrameBytes = std::size_t{8} * 1024 * 1024;

/** Why bytes are not a frame. */
struct BadFrame
{
    std::string reason;
};

/**
 * @param frame a frame; its version is set to the present one
 * @return its bytes, with the length prefix
 */
std::vector<std::uint8_t> encodeFrame(const FrameT &frame);

/**
 * @param prefix the bytes of a length prefix
 * @return the length of the frame that follows, or why it is refused
 */
std::variant<std::size_t, BadFrame> decodeLength(std::span<const std::uint8_t, lengthPrefixBytes> prefix);

/**
 * @param bytes the bytes of a frame, without the length prefix
 * @return the frame, or why it is refused
 */
std::variant<FrameT, BadFrame> decodeFrame(std::span<const std::uint8_t> bytes);

/**
 * Reads a frame in place and without checks: only for bytes that are known to be as this program wrote them, such as by
 * a checksum.
 *
 * @param bytes the bytes of a frame, without the length prefix, aligned like an allocation
 * @return the frame, valid as long as the bytes; nothing if it is of another version
 */
const Frame *trustedFrame(std::span<const std::uint8_t> bytes);

}
