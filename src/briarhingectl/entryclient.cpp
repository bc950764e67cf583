#include "entryclient.h"

#include "http/bytesink.h"
#include "http/receivedresponse.h"

#include <cpprest/http_client.h>

namespace briarhinge::ctl
{

namespace
{

constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;

web::http::method toHttp(Method method)
{
    switch (method) {
    case Method::Get:
        return web::http::methods::GET;
    case Method::Post:
        return web::http::methods::POST;
    case Method::Delete:
        break;
    }
    return web::http::methods::DEL;
}

}

std::variant<EntryResponse, EntryUnreachable> sendRequest(const std::string &entry, Method method,
                                                          const std::string &path)
{
    try {
        web::http::client::http_client client(entry);
        const auto body = std::make_shared<std::string>();
        web::http::http_request request(toHttp(method));
        request.set_request_uri(web::uri::encode_uri(path));
        request.set_response_stream(http::boundedBody(body, maxAnswerBytes));
        const auto response = client.request(request).get().content_ready().get();
        if (!http::isWhole(response, http::ContentEnd::Unknown)) {
            return EntryUnreachable{entry + ": its answer has no length, a part of it may be missing"};
        }
        return EntryResponse{response.status_code(), std::move(*body)};
    } catch (const std::exception &error) {
        return EntryUnreachable{entry + ": " + error.what()};
    }
}

}
