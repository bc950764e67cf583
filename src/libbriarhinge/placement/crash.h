#pragma once

#include "base/digest.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarhinge::placement
{

/** Identifies one crash of a runner in the same way at all entries. */
struct CrashId
{
    std::string runner;
    /** Start of the incarnation in Unix milliseconds, 0 when unknown. */
    std::uint64_t startedAt = 0;
    /** Number of crashes of this incarnation that were known when the request was sent. */
    std::uint32_t ordinal = 0;

    auto operator<=>(const CrashId &) const = default;
};

/** A request that was running on a runner when it crashed. */
struct CrashedRequest
{
    base::Digest digest;
    /** Size of the prompt or body in bytes. */
    std::size_t size = 0;
    /** Whether requests that begin with this one's prompt are taken for the same. */
    bool isPrompt = false;
};

/** A crash of a runner and the requests that were running on it, as far as one entry knows them. */
struct CrashReport
{
    CrashId crash;
    std::vector<CrashedRequest> requests;
};

/** What a request asks for, whoever sends it: neither its id nor its program or caller belong to it. */
struct RequestContent
{
    /** The model or tool, or the method, host and path. */
    std::string_view target;
    /** The part of the prompt that precedes the input; empty for none. */
    std::string_view history;
    std::string_view input;
    /** Whether the request is a prompt for a model. */
    bool isPrompt = false;

    /** @return size of the prompt or body in bytes */
    std::size_t size() const
    {
        return history.size() + input.size();
    }
};

/**
 * @param content what a request asks for
 * @return its digest
 */
base::Digest contentDigest(const RequestContent &content);

/**
 * @param content what a request asks for
 * @return the request as listed in a crash report
 */
CrashedRequest crashedRequest(const RequestContent &content);

}
