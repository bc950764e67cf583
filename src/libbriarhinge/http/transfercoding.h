#pragma once

#include <boost/beast/http/fields.hpp>

namespace briarhinge::http
{

/** How the Transfer-Encoding fields of a message delimit its body; see RFC 9112, 6.1 and 6.3. */
enum class TransferCoding {
    /** There are no such fields: a length delimits the body, if anything does. */
    None,
    /** The body comes in chunks, which hold it as it is. */
    Chunked,
    /** The body comes in chunks, which hold it in a coding that is not understood. */
    Unknown,
    /** Something else than chunks comes last, so that the end of the body can't be told. */
    Endless,
};

/**
 * @param fields the fields of a head
 * @return how the body behind it is delimited
 */
TransferCoding transferCodingOf(const boost::beast::http::fields &fields);

}
