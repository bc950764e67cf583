#include "forwarding/buffermemory.h"

namespace briarhinge::forwarding
{

BufferMemory::BufferMemory(std::size_t limit, std::size_t smallAnswer)
    : m_limit(limit)
    , m_smallAnswer(smallAnswer)
{
}

std::size_t BufferMemory::usedBytes() const
{
    return m_used;
}

BufferMemory::Share::Share(BufferMemory &memory)
    : m_memory(memory)
{
}

BufferMemory::Share::~Share()
{
    clear();
}

bool BufferMemory::Share::grow(std::size_t bytes)
{
    const bool isSmall = m_bytes + bytes <= m_memory.m_smallAnswer;
    if (!isSmall && m_memory.m_used + bytes > m_memory.m_limit) {
        return false;
    }
    m_bytes += bytes;
    m_memory.m_used += bytes;
    return true;
}

void BufferMemory::Share::clear()
{
    m_memory.m_used -= m_bytes;
    m_bytes = 0;
}

}
