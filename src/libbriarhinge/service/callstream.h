#pragma once

#include "api/clientrequest.h"
#include "base/invariant.h"

#include <mutex>
#include <string>
#include <vector>

namespace briarhinge::service
{

/**
 * Streams the growing answer of one running call to all callers that wait for it.
 *
 * Chunks may arrive more than once or overlap; each waiter receives every byte from its offset on exactly once and in
 * order. Forwarded chunks never split a UTF-8 character: an incomplete character is held back until its remaining bytes
 * have arrived.
 */
class CallStream
{
public:
    /** @param invariants receives a violation if overlapping chunks differ */
    explicit CallStream(base::InvariantMonitor &invariants);

    /**
     * Adds a waiter. After finish(), it gets the reply immediately.
     *
     * @param sink receives the chunks and the reply
     * @param offset the first byte of the answer that the waiter needs; the first chunk may begin up to 3 bytes
     *     earlier, at the start of a character
     */
    void join(api::ClientSink sink, std::uint64_t offset);

    /**
     * Adds a chunk of the answer.
     *
     * @param offset the offset of the chunk in the answer, in bytes
     * @param text the chunk
     */
    void append(std::uint64_t offset, const std::string &text);

    /**
     * Ends the stream and replies to all waiters.
     *
     * @param reply the final reply
     */
    void finish(const api::ClientReply &reply);

    /** @return the part of the answer that has arrived so far */
    std::string text() const;

private:
    struct Waiter
    {
        api::ClientSink sink;
        std::uint64_t sentBytes = 0;
    };

    void sendPending(Waiter &waiter);

    base::InvariantMonitor &m_invariants;
    mutable std::mutex m_mutex;
    std::string m_text;
    std::vector<Waiter> m_waiters;
    bool m_finished = false;
    api::ClientReply m_reply;
};

}
