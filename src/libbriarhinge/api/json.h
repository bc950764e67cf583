#pragma once

#include "api/clientrequest.h"
#include "core/step.h"

#include <string>
#include <string_view>
#include <variant>

namespace briarhinge::api
{

/** Reason for refusing a malformed request. */
struct BadRequest
{
    /** Stable machine-readable code, such as "field-missing". */
    std::string code;
    /** Description of the error that names the field. */
    std::string text;
};

/** State of a program as reported to callers. */
struct ProgramView
{
    core::ProgramSpec spec;
    base::CallNumber nextCall;
    /** Digest of the history of all finished calls. */
    base::Digest head;
    bool ended = false;
    core::Amounts spent;
    core::Amounts limit;
};

/** Finished call as reported to callers. */
struct CallView
{
    base::ProgramId program;
    base::CallNumber number;
    core::Outcome outcome;
    /** Digest of the history up to and including this call; empty if the call is not part of the history. */
    base::Digest digest;
    /** Whether the finished turn is durable. */
    bool committed = false;
};

/** Maximum length of a program id, in bytes. */
inline constexpr std::size_t maxIdBytes = 200;

/** Maximum size of a request body, in bytes. */
inline constexpr std::size_t maxBodyBytes = std::size_t{2} * 1024 * 1024;

/**
 * Checks whether a text is a valid program id: letters, digits, '-', '_' and '.', without empty parts between dots.
 *
 * @param id the text
 * @return whether it is valid
 */
bool isValidId(std::string_view id);

/**
 * @param body the JSON text of a program to open
 * @return the program, or the reason for refusing it
 */
std::variant<core::ProgramSpec, BadRequest> parseProgram(std::string_view body);

/**
 * @param number the call number from the request path
 * @param body the JSON text of the call
 * @return the call, or the reason for refusing it
 */
std::variant<core::CallRequest, BadRequest> parseCall(base::CallNumber number, std::string_view body);

/** @return the reply to a malformed request */
ClientReply toReply(const BadRequest &bad);

/**
 * @param code stable machine-readable code
 * @param text description of what is missing
 * @param retryAfter delay after which a retry makes sense
 * @return the reply to a request that was not run for lack of something
 */
ClientReply unavailableReply(std::string_view code, const std::string &text, base::Milliseconds retryAfter);

/** @return the reply to a refused request */
ClientReply toReply(const core::Refuse &refuse);

/** @return the reply with the state of a program */
ClientReply toReply(const ProgramView &view);

/** @return the reply with the outcome of a call */
ClientReply toReply(const CallView &view);

}
