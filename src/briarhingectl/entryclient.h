#pragma once

#include <string>
#include <variant>

namespace briarhinge::ctl
{

/** HTTP response of an entry. */
struct EntryResponse
{
    unsigned status = 0;
    std::string body;
};

/** The request failed without a response from the entry. */
struct EntryUnreachable
{
    std::string reason;
};

/** HTTP method of a request. */
enum class Method {
    Get,
    Post,
    Delete,
};

/**
 * Sends a request to an entry and waits for the response.
 *
 * @param entry base address of the entry
 * @param method HTTP method
 * @param path path of the resource, not yet encoded
 * @return the response, or why there is none
 */
std::variant<EntryResponse, EntryUnreachable> sendRequest(const std::string &entry, Method method,
                                                          const std::string &path);

}
