#pragma once

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace briarhinge::wire
{

/** Thread pool that runs the connections between processes. */
class IoThreads
{
public:
    /** @param count number of threads */
    explicit IoThreads(std::size_t count);
    ~IoThreads();

    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;

    /** @return context that the threads run */
    boost::asio::io_context &context();

    /** Stops the context and joins the threads. */
    void stop();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::jthread> m_threads;
};

}
