#include "entryclient.h"

#include "http/receivedresponse.h"

#include <cpprest/http_client.h>

namespace briarhinge::ctl
{

namespace
{

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
        const auto response = client.request(toHttp(method), web::uri::encode_uri(path)).get();
        std::string body = response.extract_utf8string(true).get();
        if (!http::isWhole(response, http::ContentEnd::Unknown)) {
            return EntryUnreachable{entry + ": its answer has no length, a part of it may be missing"};
        }
        return EntryResponse{response.status_code(), std::move(body)};
    } catch (const std::exception &error) {
        return EntryUnreachable{entry + ": " + error.what()};
    }
}

}
