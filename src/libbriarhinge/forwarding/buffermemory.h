#pragma once

#include <cstddef>

namespace briarhinge::forwarding
{

/** Bounds the memory in which all exchanges of an entry together buffer answers. Must be used on one thread. */
class BufferMemory
{
public:
    /**
     * @param limit maximum number of bytes in use
     * @param smallAnswer an exchange may always use this many bytes
     */
    BufferMemory(std::size_t limit, std::size_t smallAnswer);

    /** The bytes in use by one exchange; gives them back when it ends. */
    class Share
    {
    public:
        /** @param memory the memory; must outlive the share */
        explicit Share(BufferMemory &memory);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * @param bytes number of further bytes that are needed
         * @return whether they may be used
         */
        bool grow(std::size_t bytes);

        /** Gives all bytes back. */
        void clear();

    private:
        BufferMemory &m_memory;
        std::size_t m_bytes = 0;
    };

    /** @return number of bytes in use */
    std::size_t usedBytes() const;

private:
    const std::size_t m_limit;
    const std::size_t m_smallAnswer;
    std::size_t m_used = 0;
};

}
