#include "service/callstream.h"

namespace briarhinge::service
{

void CallStream::join(api::ClientSink sink, std::uint64_t offset)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished) {
        sink.reply(m_reply);
        return;
    }
    m_waiters.push_back({std::move(sink), offset});
    sendTo(m_waiters.back());
}

void CallStream::append(std::uint64_t offset, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    // A gap can't be filled from here: the whole answer comes with the outcome.
    if (m_finished || offset > m_text.size() || offset + text.size() <= m_text.size()) {
        return;
    }
    m_text += text.substr(m_text.size() - offset);
    for (Waiter &waiter : m_waiters) {
        sendTo(waiter);
    }
}

void CallStream::finish(const api::ClientReply &reply)
{
    const std::lock_guard lock(m_mutex);
    m_finished = true;
    m_reply = reply;
    for (const Waiter &waiter : m_waiters) {
        waiter.sink.reply(reply);
    }
    m_waiters.clear();
}

std::string CallStream::text() const
{
    const std::lock_guard lock(m_mutex);
    return m_text;
}

void CallStream::sendTo(Waiter &waiter)
{
    if (waiter.sent < m_text.size()) {
        waiter.sink.chunk(waiter.sent, m_text.substr(waiter.sent));
        waiter.sent = m_text.size();
    }
}

}
