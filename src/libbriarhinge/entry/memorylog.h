#pragma once

#include "service/concepts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace briarhinge::entry
{

/** Keeps no records: what a process owns goes with it. For tests and for the first steps. */
class MemoryLog
{
public:
    /** @param context runs the handlers */
    explicit MemoryLog(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    /** Confirms at once. @param records not kept @param handler told that they are */
    void appendNow(const std::vector<core::Record> &records, service::StoreHandler handler)
    {
        appendLater(records, std::move(handler));
    }

    /** Confirms at once. @param records not kept @param handler told that they are */
    void appendLater(const std::vector<core::Record> &, service::StoreHandler handler)
    {
        boost::asio::post(m_context, [handler = std::move(handler)] {
            handler(service::Stored{});
        });
    }

private:
    boost::asio::io_context &m_context;
};

}
