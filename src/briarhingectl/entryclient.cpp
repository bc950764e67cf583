#include "entryclient.h"

#include "http/client.h"
#include "http/percentencoding.h"

namespace briarhinge::ctl
{

namespace
{

constexpr base::Milliseconds answerTimeout{30'000};
constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;
/** Characters that separate the parts of a path and query. */
constexpr std::string_view separators = ":/?#[]@!$&'()*+,;=";

std::string toHttp(Method method)
{
    switch (method) {
    case Method::Get:
        return "GET";
    case Method::Post:
        return "POST";
    case Method::Delete:
        break;
    }
    return "DELETE";
}

}

std::variant<EntryResponse, EntryUnreachable> sendRequest(const std::string &entry, Method method,
                                                          const std::string &path)
{
    http::Client client(entry, {answerTimeout, maxAnswerBytes}, http::Client::Reuse::Never);
    http::ClientResponse response = client.call({toHttp(method), http::percentEncoded(path, separators), {}, {}});
    if (!response.end.reason.empty()) {
        return EntryUnreachable{entry + ": " + response.end.reason};
    }
    if (http::completeness(response.end.response, http::ContentEnd::Unknown) != http::Completeness::Complete) {
        return EntryUnreachable{entry + ": its answer has no length, a part of it may be missing"};
    }
    return EntryResponse{response.head.status, std::move(response.body)};
}

}
