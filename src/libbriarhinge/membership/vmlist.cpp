#include "membership/vmlist.h"

#include "http/client.h"

#include <nlohmann/json.hpp>

namespace briarhinge::membership
{

namespace
{

using nlohmann::json;

constexpr unsigned statusOk = 200;
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
        : client(url, {timeout, maxListBytes}, http::Client::Reuse::Keep)
    {
    }

    http::Client client;
    std::size_t lastListBytes = 0;
};

VmListClient::VmListClient(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

VmListClient::~VmListClient() = default;

VmListResult VmListClient::read()
{
    const http::ClientResponse response = d->client.call({"GET", "/v1/vms", {}, {}});
    if (!response.end.response.hasHead) {
        return keyvalue::PlatformUnavailable{"the VM list: " + response.end.reason};
    }
    if (response.head.status != statusOk) {
        return keyvalue::PlatformUnavailable{"the VM list answered " + std::to_string(response.head.status)};
    }
    if (http::completeness(response.end.response, http::ContentEnd::Stated) != http::Completeness::Complete) {
        return keyvalue::PlatformUnavailable{"the VM list broke off: " + response.end.reason};
    }
    try {
        const json parsed = json::parse(response.body);
        std::vector<Vm> vms;
        for (const json &item : parsed.at("vms")) {
            vms.push_back(parseVm(item));
        }
        d->lastListBytes = response.body.size();
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
