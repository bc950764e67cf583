#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace briarhinge::api
{

/** Operation that a caller requests. */
enum class Verb {
    OpenProgram,
    MakeCall,
    ReadCall,
    ReadProgram,
    EndProgram,
};

/** Request of a caller, with the body not parsed yet. */
struct ClientRequest
{
    Verb verb = Verb::ReadProgram;
    base::ProgramId program;
    /** Call number, for MakeCall and ReadCall. */
    base::CallNumber number;
    /** Offset of the first byte of the answer that the caller needs. */
    std::uint64_t offset = 0;
    /** JSON text, for OpenProgram and MakeCall. */
    std::string body;
};

/** HTTP status of a call that was not run. */
inline constexpr std::uint16_t statusNotRun = 503;
/** HTTP status between entries: the receiver does not own the program and has not processed the request. */
inline constexpr std::uint16_t statusMisdirected = 421;

/** Final reply to a request. */
struct ClientReply
{
    /** HTTP status. */
    std::uint16_t status = 0;
    /** JSON text. */
    std::string body;
    /** Delay after which a retry makes sense. */
    std::optional<base::Milliseconds> retryAfter;
};

/** Receives the answer to a request: any number of chunks in order, then one reply. */
struct ClientSink
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    std::function<void(const ClientReply &reply)> reply;
};

/** Handles client requests. */
using ClientHandler = std::function<void(ClientRequest, ClientSink)>;

}
