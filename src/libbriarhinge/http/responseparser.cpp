#include "http/responseparser.h"

#include "http/transfercoding.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace briarhinge::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr unsigned firstStatus = 100;
constexpr unsigned statusSwitchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
/** Interim responses to one request; servers send one or two. */
constexpr int maxInterimResponses = 8;

}

Ending endingOf(const boost::system::error_code &error, bool isReset)
{
    if (error == asio::error::eof || error == beast::http::error::end_of_stream
        || error == beast::http::error::partial_message) {
        return isReset ? Ending::Lost : Ending::Closed;
    }
    return error.category() == asio::error::get_system_category() ? Ending::Lost : Ending::Invalid;
}

Framing framingOf(const ResponseParser &parser, bool isHeadRequest)
{
    if (isHeadRequest) {
        return Framing::None;
    }
    if (parser.chunked()) {
        return Framing::Chunks;
    }
    if (parser.need_eof()) {
        return Framing::UntilClose;
    }
    return parser.content_length() ? Framing::Length : Framing::None;
}

ResponseKind kindOf(const ResponseParser &parser, int &interimResponses)
{
    const unsigned status = parser.get().result_int();
    if (status < firstStatus || status > lastStatus || status == statusSwitchingProtocols) {
        return ResponseKind::Invalid;
    }
    const TransferCoding coding = transferCodingOf(parser.get().base());
    if (coding != TransferCoding::None && coding != TransferCoding::Chunked) {
        return ResponseKind::Invalid;
    }
    if (status >= firstFinalStatus) {
        return ResponseKind::Final;
    }
    return ++interimResponses > maxInterimResponses ? ResponseKind::Invalid : ResponseKind::Interim;
}

ResponseHead headOf(const ResponseParser &parser)
{
    const auto &message = parser.get();
    ResponseHead head;
    head.status = message.result_int();
    head.isKeepAlive = parser.keep_alive();
    for (const auto &field : message) {
        head.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return head;
}

}
