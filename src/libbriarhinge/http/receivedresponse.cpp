#include "http/receivedresponse.h"

#include <cpprest/http_msg.h>

namespace briarhinge::http
{

ResponseEnd endOf(const web::http::http_response &response)
{
    const auto status = response.status_code();
    if (status == web::http::status_codes::NoContent || status == web::http::status_codes::NotModified) {
        return {true, Framing::None, Ending::Delimited};
    }
    const auto &headers = response.headers();
    if (headers.has("Transfer-Encoding")) {
        return {true, Framing::Chunks, Ending::Delimited};
    }
    if (headers.has("Content-Length")) {
        return {true, Framing::Length, Ending::Delimited};
    }
    return {true, Framing::UntilClose, Ending::Closed};
}

bool isWhole(const web::http::http_response &response, ContentEnd content)
{
    return completeness(endOf(response), content) == Completeness::Complete;
}

}
