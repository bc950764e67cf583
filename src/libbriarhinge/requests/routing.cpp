#include "requests/routing.h"

#include "base/digest.h"

#include <algorithm>

namespace briarhinge::requests
{

Routing::Routing(RoutingVersion version, std::vector<Route> routes, std::vector<Service> services,
                 http::ServerLimits limits, std::optional<accounts::AccountDirectory> accounts)
    : m_version(version)
    , m_limits(limits)
    , m_accounts(std::move(accounts))
{
    for (Route &route : routes) {
        std::string host = route.host;
        m_routes[std::move(host)].push_back(std::move(route));
    }
    for (auto &[host, hostRoutes] : m_routes) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(), [](const Route &left, const Route &right) {
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
    const auto hostRoutes = m_routes.find(host);
    if (hostRoutes == m_routes.end()) {
        return nullptr;
    }
    for (const Route &route : hostRoutes->second) {
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

const accounts::AccountDirectory *Routing::accounts() const
{
    return m_accounts ? &*m_accounts : nullptr;
}

base::Milliseconds Routing::longestRetention() const
{
    base::Milliseconds longest{0};
    for (const auto &[host, hostRoutes] : m_routes) {
        for (const Route &route : hostRoutes) {
            longest = std::max(longest, route.storesTurns ? route.retention : base::Milliseconds(0));
        }
    }
    return longest;
}

std::size_t Routing::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, hostRoutes] : m_routes) {
        count += hostRoutes.size();
    }
    return count;
}

const ServiceName &chooseService(const Route &route, std::string_view key)
{
    std::uint64_t total = 0;
    for (const WeightedService &candidate : route.services) {
        total += candidate.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t offset = base::stableHash(key) % total;
    for (const WeightedService &candidate : route.services) {
        if (offset < candidate.weight) {
            return candidate.service;
        }
        offset -= candidate.weight;
    }
    return route.services.back().service;
}

}
