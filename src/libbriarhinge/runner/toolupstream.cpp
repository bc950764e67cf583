#include "runner/toolupstream.h"

#include "http/bytesink.h"
#include "http/receivedresponse.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace briarhinge::runner
{

namespace
{

using nlohmann::json;
using web::http::http_response;

constexpr base::Milliseconds unreachableRetryDelay{1000};
constexpr std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;

/** Does nothing: tool calls are not cancelled, because it would be unknown whether they took effect. */
class NoCancellation : public Cancellation
{
public:
    void cancel() override
    {
    }
};

core::Outcome parseOutcome(const http_response &response, const std::string &body)
{
    const web::http::status_code status = response.status_code();
    const json parsed = json::parse(body, nullptr, false);
    // Another status says that the tool has failed, whatever the body.
    const bool isStated = status != web::http::status_codes::OK || parsed.is_object();
    if (!http::isWhole(response, isStated ? http::ContentEnd::Stated : http::ContentEnd::Unknown)) {
        return core::Unknown{"the tool's answer broke off"};
    }
    if (status != web::http::status_codes::OK || !parsed.is_object()) {
        return core::Failed{"the tool answered " + std::to_string(status) + ": " + body};
    }
    core::Usage usage;
    usage.money = base::MicroMoney(parsed.value("cost", std::uint64_t{0}));
    return core::Completed{parsed.value("output", std::string()), usage};
}

}

ToolUpstream::ToolUpstream(std::string url, base::Milliseconds timeout)
    : m_url(std::move(url))
    , m_timeout(timeout)
{
}

std::shared_ptr<Cancellation> ToolUpstream::execute(const UpstreamCall &call, const UpstreamObserver &observer)
{
    web::http::client::http_client_config config;
    config.set_timeout(m_timeout);
    // Each call uses its own client, because cpprest resends a request by itself when the service closes a reused
    // connection, which would run a non-idempotent tool twice.
    const auto client = std::make_shared<web::http::client::http_client>(m_url, config);
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri("/v1/tools/" + web::uri::encode_data_string(call.call.request.target.value()));
    const json body{{"program", call.call.program.value()},
                    {"call", call.call.request.number.value()},
                    {"input", call.call.prompt}};
    request.set_body(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    const auto answer = std::make_shared<std::string>();
    request.set_response_stream(http::boundedBody(answer, maxAnswerBytes));
    client->request(request)
        .then([](const http_response &response) {
            return response.content_ready();
        })
        .then([observer, client, answer](const pplx::task<http_response> &task) {
            try {
                observer.ended(parseOutcome(task.get(), *answer));
            } catch (const web::http::http_exception &error) {
                if (error.error_code() == std::errc::host_unreachable) {
                    observer.ended(core::NotRun{error.what(), unreachableRetryDelay});
                } else {
                    observer.ended(core::Unknown{error.what()});
                }
            } catch (const std::exception &error) {
                observer.ended(core::Unknown{error.what()});
            }
        });
    return std::make_shared<NoCancellation>();
}

void ToolUpstream::release(const base::ProgramId &)
{
}

void ToolUpstream::hold(const base::ProgramId &, const std::string &, base::Milliseconds)
{
}

void ToolUpstream::renew(const std::vector<base::ProgramId> &, base::Milliseconds)
{
}

void ToolUpstream::requestCacheEvents(std::uint64_t after, const CacheEventsHandler &handler)
{
    handler(CacheEvents{{}, after});
}

}
