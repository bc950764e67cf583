#pragma once

#include "http/clientconnection.h"
#include "http/responseend.h"

#include <cstddef>
#include <cstdint>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

namespace briarhinge::http
{

/** Parses a response whose body is passed on in pieces. */
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/** Largest piece of a body that is passed on at once. */
inline constexpr std::size_t bodyPieceBytes = std::size_t{16} * 1024;
/** Largest head of a response. */
inline constexpr std::uint32_t headLimitBytes = 32 * 1024;
/** Most bytes of a response that are read before they are parsed. */
inline constexpr std::size_t readAheadBytes = std::size_t{256} * 1024;

/**
 * @param error the error that ended the receipt of a response
 * @param isReset whether the connection was reset. The system reports that once, to the send or to the receipt, which otherwise
 * just sees the connection end.
 * @return how the receipt ended
 */
Ending endingOf(const boost::system::error_code &error, bool isReset);

/**
 * @param parser a parser that has received the head of a response
 * @param isHeadRequest whether the request was a HEAD request
 * @return what delimits the body
 */
Framing framingOf(const ResponseParser &parser, bool isHeadRequest);

/** What the head of a response says of the response. */
enum class ResponseKind {
    Interim,
    Final,
    /**
     * No response to the request: a status outside 100 to 599, a switch of protocols that was not asked for, an interim
     * response too many, or a body in a coding that is not understood.
     */
    Invalid,
};

/**
 * @param parser a parser that has received the head of a response
 * @param interimResponses number of interim responses to the request so far; raised if this is one
 * @return the kind of the response
 */
ResponseKind kindOf(const ResponseParser &parser, int &interimResponses);

/**
 * @param parser a parser that has received the head of a response
 * @return the head
 */
ResponseHead headOf(const ResponseParser &parser);

}
