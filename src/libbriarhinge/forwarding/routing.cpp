#include "forwarding/routing.h"

#include "base/digest.h"

#include <algorithm>

namespace briarhinge::forwarding
{

Routing::Routing(RoutingVersion version, std::vector<Route> routes, std::vector<Service> services,
                 http::ServerLimits limits)
    : m_version(version)
    , m_limits(limits)
{
    for (Route &route : routes) {
        std::string host = route.host;
        m_routes[std::move(host)].push_back(std::move(route));
    }
    for (auto &[host, ofHost] : m_routes) {
        std::stable_sort(ofHost.begin(), ofHost.end(), [](const Route &left, const Route &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    for (Service &service : services) {
        const ServiceName name = service.name;
        m_services.emplace(name, std::move(service));
    }
}

RoutingVersion Routing::version() const
{
    return m_version;
}

const http::ServerLimits &Routing::limits() const
{
    return m_limits;
}

const Route *Routing::find(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_routes.find(host);
    if (ofHost == m_routes.end()) {
        return nullptr;
    }
    for (const Route &route : ofHost->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

const Service *Routing::service(const ServiceName &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

std::size_t Routing::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, ofHost] : m_routes) {
        count += ofHost.size();
    }
    return count;
}

const ServiceName &chooseService(const Route &route, std::string_view key)
{
    std::uint64_t total = 0;
    for (const WeightedService &choice : route.services) {
        total += choice.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t place = base::stableHash(key) % total;
    for (const WeightedService &choice : route.services) {
        if (place < choice.weight) {
            return choice.service;
        }
        place -= choice.weight;
    }
    return route.services.back().service;
}

}
