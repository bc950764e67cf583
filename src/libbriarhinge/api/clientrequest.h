#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace briarhinge::api
{

/** What a caller wants. */
enum class Verb {
    OpenProgram,
    MakeCall,
    ReadCall,
    ReadProgram,
    EndProgram,
};

/** A caller's request, before its body is looked at. */
struct ClientRequest
{
    Verb verb = Verb::ReadProgram;
    base::ProgramId program;
    /** The call, for MakeCall and ReadCall. */
    base::CallNumber number;
    /** First byte of the answer that the caller still needs. */
    std::uint64_t offset = 0;
    /** JSON, for OpenProgram and MakeCall. */
    std::string body;
};

/** HTTP status of a call that was not run. */
inline constexpr std::uint16_t statusNotRun = 503;
/** Between entries only: the receiver does not own the program now, and did nothing. */
inline constexpr std::uint16_t statusMisdirected = 421;

/** The final answer to a request. */
struct ClientReply
{
    /** HTTP status. */
    std::uint16_t status = 0;
    /** JSON. */
    std::string body;
    /** When asking again is worth while. */
    std::optional<base::Milliseconds> retryAfter;
};

/** Where the answer to a request goes: chunks in order, then one reply. */
struct ClientSink
{
    std::function<void(std::uint64_t offset, const std::string &text)> chunk;
    std::function<void(const ClientReply &reply)> reply;
};

/** Something that answers requests. */
using ClientHandler = std::function<void(ClientRequest, ClientSink)>;

}
