#include "service/callstream.h"

#include <algorithm>

namespace briarhinge::service
{

namespace
{

/** Length of the longest UTF-8 sequence, in bytes. */
constexpr std::size_t maxSequenceLength = 4;

bool isContinuationByte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

/** @return the length in bytes of the UTF-8 sequence that begins with @p lead; 1 if @p lead is not a lead byte */
std::size_t sequenceLength(char lead)
{
    const auto byte = static_cast<unsigned char>(lead);
    if (byte >= 0xF0U) {
        return 4;
    }
    if (byte >= 0xE0U) {
        return 3;
    }
    return byte >= 0xC0U ? 2 : 1;
}

/** @return the offset of the last character of @p text that begins at or before @p offset */
std::size_t characterStart(const std::string &text, std::size_t offset)
{
    std::size_t start = std::min(offset, text.size());
    for (std::size_t i = 1; i < maxSequenceLength && start > 0 && start < text.size(); ++i) {
        if (!isContinuationByte(text[start])) {
            break;
        }
        --start;
    }
    return start;
}

/** @return the length of @p text in bytes without an incomplete character at its end */
std::size_t completePrefixLength(const std::string &text)
{
    const std::size_t last = text.empty() ? 0 : characterStart(text, text.size() - 1);
    return text.empty() || last + sequenceLength(text[last]) <= text.size() ? text.size() : last;
}

}

CallStream::CallStream(base::InvariantMonitor &invariants)
    : m_invariants(invariants)
{
}

void CallStream::join(api::ClientSink sink, std::uint64_t offset)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished) {
        sink.reply(m_reply);
        return;
    }
    m_waiters.push_back({std::move(sink), offset});
    sendPending(m_waiters.back());
}

void CallStream::append(std::uint64_t offset, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    // Text after a gap is dropped: callers get the complete answer with the outcome.
    if (m_finished || offset > m_text.size()) {
        return;
    }
    const std::size_t known = std::min(text.size(), m_text.size() - offset);
    const bool isConsistent = m_text.compare(offset, known, text, 0, known) == 0;
    m_invariants.require(isConsistent, "overlapping chunks of an answer differ");
    if (!isConsistent || known == text.size()) {
        return;
    }
    m_text += text.substr(known);
    for (Waiter &waiter : m_waiters) {
        sendPending(waiter);
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

void CallStream::sendPending(Waiter &waiter)
{
    const std::size_t end = completePrefixLength(m_text);
    const std::size_t begin = characterStart(m_text, waiter.sentBytes);
    if (waiter.sentBytes < end) {
        waiter.sink.chunk(begin, m_text.substr(begin, end - begin));
        waiter.sentBytes = end;
    }
}

}
