#include "membership/vmlist.h"

#include "http/bytesink.h"
#include "http/receivedresponse.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace briarhinge::membership
{

namespace
{

using nlohmann::json;

/** A few hundred bytes for each of far more VMs than there are. */
constexpr std::size_t maxListBytes = std::size_t{16} * 1024 * 1024;

Vm parseVm(const json &item)
{
    Vm vm;
    vm.name = item.at("name").get<std::string>();
    vm.zone = base::ZoneName(item.at("zone").get<std::string>());
    vm.role = item.at("role").get<std::string>();
    vm.address = wire::parseAddress(item.at("address").get<std::string>()).value_or(wire::Address{});
    vm.pool = base::PoolName(item.value("pool", std::string()));
    for (const json &target : item.value("serves", json::array())) {
        vm.serves.emplace_back(target.get<std::string>());
    }
    vm.leaving = item.value("leaving", false);
    return vm;
}

}

class VmListClient::Private
{
public:
    Private(const std::string &url, base::Milliseconds timeout)
        : client(url, config(timeout))
    {
    }

    web::http::client::http_client client;
    std::size_t lastListBytes = 0;

private:
    static web::http::client::http_client_config config(base::Milliseconds timeout)
    {
        web::http::client::http_client_config settings;
        settings.set_timeout(timeout);
        return settings;
    }
};

VmListClient::VmListClient(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

VmListClient::~VmListClient() = default;

VmListResult VmListClient::read()
{
    try {
        const auto received = std::make_shared<std::string>();
        web::http::http_request request(web::http::methods::GET);
        request.set_request_uri("/v1/vms");
        request.set_response_stream(http::boundedBody(received, maxListBytes));
        const auto response = d->client.request(request).get().content_ready().get();
        if (response.status_code() != web::http::status_codes::OK) {
            return keyvalue::PlatformUnavailable{"the VM list answered " + std::to_string(response.status_code())};
        }
        const std::string body = std::move(*received);
        const json parsed = json::parse(body);
        if (!http::isWhole(response, http::ContentEnd::Stated)) {
            return keyvalue::PlatformUnavailable{"the VM list broke off"};
        }
        std::vector<Vm> vms;
        for (const json &item : parsed.at("vms")) {
            vms.push_back(parseVm(item));
        }
        d->lastListBytes = body.size();
        return vms;
    } catch (const std::exception &error) {
        return keyvalue::PlatformUnavailable{error.what()};
    }
}

std::size_t VmListClient::lastListBytes() const
{
    return d->lastListBytes;
}

}
