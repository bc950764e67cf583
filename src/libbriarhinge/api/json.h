#pragma once

#include "api/clientrequest.h"
#include "core/step.h"

#include <string>
#include <string_view>
#include <variant>

namespace briarhinge::api
{

/** Why the body of a request is refused; nothing changed. */
struct BadRequest
{
    /** Stable code for programs, such as "field-missing". */
    std::string code;
    /** A sentence that names the field. */
    std::string text;
};

/** What a caller is told about a program. */
struct ProgramView
{
    core::ProgramSpec spec;
    base::CallNumber nextCall;
    base::Digest head;
    bool ended = false;
    core::Amounts spent;
    core::Amounts limit;
};

/** What a caller is told about a call that ended. */
struct CallView
{
    base::ProgramId program;
    base::CallNumber number;
    core::Outcome outcome;
    /** Digest of the history after this call; empty when it did not run. */
    base::Digest digest;
    bool committed = false;
};

/** The longest program id. */
inline constexpr std::size_t maxIdBytes = 200;

/** The largest body of a request. */
inline constexpr std::size_t maxBodyBytes = std::size_t{2} * 1024 * 1024;

/** @return whether @p id may name a program: letters, digits, '-', '_' and '.', no empty part between dots */
bool isValidId(std::string_view id);

/** @param body JSON of a program to open @return the program, or why it is refused */
std::variant<core::ProgramSpec, BadRequest> parseProgram(std::string_view body);

/**
 * @param number the call's number, from the path
 * @param body JSON of the call
 * @return the call, or why it is refused
 */
std::variant<core::CallRequest, BadRequest> parseCall(base::CallNumber number, std::string_view body);

/** @return the reply to a bad request */
ClientReply toReply(const BadRequest &bad);

/** @return the reply to a refused request */
ClientReply toReply(const core::Refuse &refuse);

/** @return the reply that shows a program */
ClientReply toReply(const ProgramView &view);

/** @return the reply that gives a call's outcome */
ClientReply toReply(const CallView &view);

}
