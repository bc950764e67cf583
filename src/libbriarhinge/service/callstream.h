#pragma once

#include "api/clientrequest.h"
#include "base/invariant.h"

#include <mutex>
#include <string>
#include <vector>

namespace briarhinge::service
{

/**
 * The answer of one running call as it grows, and everyone who waits for it.
 *
 * Pieces may come twice; each waiter gets every byte from its offset on once and in order. A piece that is handed on
 * begins and ends between two characters: a multi-byte character that was cut waits for its rest.
 */
class CallStream
{
public:
    /** @param invariants told when pieces contradict each other */
    explicit CallStream(base::InvariantMonitor &invariants);

    /** Adds a waiter. @param sink gets the answer @param offset the first byte that it needs */
    void join(api::ClientSink sink, std::uint64_t offset);

    /** Adds a piece. @param offset place of its first byte in the answer @param text the piece */
    void append(std::uint64_t offset, const std::string &text);

    /** Ends the call for all waiters. @param reply the final answer */
    void finish(const api::ClientReply &reply);

    /** @return the answer so far */
    std::string text() const;

private:
    struct Waiter
    {
        api::ClientSink sink;
        std::uint64_t sent = 0;
    };

    void sendTo(Waiter &waiter);

    base::InvariantMonitor &m_invariants;
    mutable std::mutex m_mutex;
    std::string m_text;
    std::vector<Waiter> m_waiters;
    bool m_finished = false;
    api::ClientReply m_reply;
};

}
