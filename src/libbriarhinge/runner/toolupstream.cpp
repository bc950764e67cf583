#include "runner/toolupstream.h"

#include "http/client.h"
#include "http/percentencoding.h"
#include "requests/requestrate.h"
#include "runner/startrate.h"

#include <nlohmann/json.hpp>

namespace briarhinge::runner
{

namespace
{

using nlohmann::json;

constexpr base::Milliseconds unreachableRetryDelay{1000};
constexpr unsigned statusOk = 200;
constexpr std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;

/** Does nothing: tool calls are not cancelled, because it would be unknown whether they took effect. */
class NoCancellation : public Cancellation
{
public:
    void cancel() override
    {
    }
};

core::Outcome parseOutcome(const http::ClientResponse &response)
{
    if (!response.end.wasConnected) {
        return core::NotRun{response.end.reason, unreachableRetryDelay};
    }
    const unsigned status = response.head.status;
    const json parsed = json::parse(response.body, nullptr, false);
    // Another status says that the tool has failed, whatever the body.
    const bool isStated = status != statusOk || parsed.is_object();
    const auto content = isStated ? http::ContentEnd::Stated : http::ContentEnd::Unknown;
    if (http::completeness(response.end.response, content) != http::Completeness::Complete) {
        return core::Unknown{"the tool's answer broke off: " + response.end.reason};
    }
    if (status != statusOk || !parsed.is_object()) {
        return core::Failed{"the tool answered " + std::to_string(status) + ": " + response.body};
    }
    core::Usage usage;
    usage.money = base::MicroMoney(parsed.value("cost", std::uint64_t{0}));
    return core::Completed{parsed.value("output", std::string()), usage};
}

}

// A kept connection that the service closes would leave it unknown whether a non-idempotent tool has run.
ToolUpstream::ToolUpstream(const std::string &url, base::Milliseconds timeout)
    : m_client(
        std::make_unique<http::Client>(url, http::ClientLimits{timeout, maxAnswerBytes}, http::Client::Reuse::Never))
{
}

ToolUpstream::~ToolUpstream() = default;

std::shared_ptr<Cancellation> ToolUpstream::execute(const UpstreamCall &call, const UpstreamObserver &observer)
{
    const json body{{"program", call.call.program.value()},
                    {"call", call.call.request.number.value()},
                    {"input", call.call.prompt}};
    http::ClientRequest request;
    request.method = "POST";
    request.target = "/v1/tools/" + http::percentEncoded(call.call.request.target.value());
    request.contentType = "application/json";
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    m_client->send(std::move(request), [observer](const http::ClientResponse &response) {
        const auto stated = requests::statedRate(response.head.headers, callRateLimitField);
        if (response.end.response.hasHead && stated) {
            observer.rateStated(*stated);
        }
        observer.ended(parseOutcome(response));
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
