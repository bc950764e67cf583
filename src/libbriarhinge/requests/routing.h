#pragma once

#include "accounts/accountdirectory.h"
#include "base/ids.h"
#include "base/units.h"
#include "http/serverlimits.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarhinge::requests
{

/** Identifies a service: a group of runners that do the same kind of work. */
using ServiceName = base::StrongType<struct ServiceNameTag, std::string>;
/** Identifies a route. */
using RouteName = base::StrongType<struct RouteNameTag, std::string>;
/** Version of the routing; a higher version replaces a lower one. */
using RoutingVersion = base::StrongType<struct RoutingVersionTag, std::uint64_t>;

/** How often a route's requests may be executed. */
enum class RouteKind {
    /** May be executed more than once. */
    Idempotent,
    /** Must be executed at most once. */
    Once,
    /** Answered with an event stream; must be executed at most once. */
    Stream,
};

/** A service with its share of a route's requests. */
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

/** Where the requests for one host and path prefix go. */
struct Route
{
    RouteName name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::Once;
    /** Maximum time until a response is complete. */
    base::Milliseconds timeout{0};
    /** Time within which a response has its full value to the caller. */
    base::Milliseconds latencyTarget{0};
    /** Priority of the requests; 0 is the most urgent. */
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
    /** Maximum number of runners to which one request may be sent. */
    std::uint32_t maxAttempts = 1;
    /** Whether turns are stored, so that later turns only need to carry new input. */
    bool storesTurns = false;
    /** How long stored turns are retained after they were last continued. */
    base::Milliseconds retention{0};
    /** Whether callers without a client account are served. */
    bool isAnonymousAllowed = false;
};

/** Properties of a service's engines. */
struct EngineTraits
{
    std::uint32_t slots = 0;
    base::Tokens cacheTokens;
    /** Number of tokens that each event of a response counts for. */
    base::Tokens tokensPerEvent;
};

/** A group of runners that do the same kind of work. */
struct Service
{
    ServiceName name;
    /** Empty for services without a model. */
    std::optional<EngineTraits> engine;
};

/** One complete version of the routing configuration. */
class Routing
{
public:
    /**
     * @param version version of the routing
     * @param routes all routes
     * @param services all services
     * @param limits limits for the requests of callers
     * @param accounts all client accounts; empty if callers need none
     */
    Routing(RoutingVersion version, std::vector<Route> routes, std::vector<Service> services, http::ServerLimits limits,
            std::optional<accounts::AccountDirectory> accounts = std::nullopt);

    RoutingVersion version() const;

    /** @return limits for the requests of callers */
    const http::ServerLimits &limits() const;

    /**
     * @param host host named by the caller, without a port
     * @param path path of the request, without a query
     * @return the matching route with the longest prefix, or nullptr
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /**
     * @param name name of a service
     * @return the service, or nullptr when there is none of that name
     */
    const Service *service(const ServiceName &name) const;

    /** @return all client accounts; null if callers need none */
    const accounts::AccountDirectory *accounts() const;

    /** @return the longest time for which a route retains its turns; zero if none does */
    base::Milliseconds longestRetention() const;

    /** @return number of routes of all hosts */
    std::size_t routeCount() const;

private:
    const RoutingVersion m_version;
    /** Routes by host, longest prefix first. */
    std::map<std::string, std::vector<Route>, std::less<>> m_routes;
    std::unordered_map<ServiceName, Service> m_services;
    const http::ServerLimits m_limits;
    const std::optional<accounts::AccountDirectory> m_accounts;
};

/**
 * Selects one of the services of a route according to their weights.
 *
 * @param route the route
 * @param key key that is always mapped to the same service, such as a program id
 * @return the selected service
 */
const ServiceName &chooseService(const Route &route, std::string_view key);

}
