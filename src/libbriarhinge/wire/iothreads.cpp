#include "wire/iothreads.h"

namespace briarhinge::wire
{

IoThreads::IoThreads(std::size_t count)
    : m_work(boost::asio::make_work_guard(m_context))
{
    for (std::size_t i = 0; i < count; ++i) {
        m_threads.emplace_back([this] {
            m_context.run();
        });
    }
}

IoThreads::~IoThreads()
{
    stop();
}

boost::asio::io_context &IoThreads::context()
{
    return m_context;
}

void IoThreads::stop()
{
    m_context.stop();
    m_threads.clear();
}

}
