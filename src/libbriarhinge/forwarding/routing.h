#pragma once

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

namespace briarhinge::forwarding
{

/** Names a service: the runners that do one kind of work. */
using ServiceName = base::StrongType<struct ServiceNameTag, std::string>;
/** Names a route. */
using RouteName = base::StrongType<struct RouteNameTag, std::string>;
/** Version of the routing; a higher one replaces a lower one. */
using RoutingVersion = base::StrongType<struct RoutingVersionTag, std::uint64_t>;

/** What may be repeated of a route's requests. */
enum class RouteKind {
    /** May run more than once. */
    Idempotent,
    /** Runs at most once. */
    Once,
    /** Answers as a stream of events; runs at most once. */
    Stream,
};

/** A service with the share of a route's requests that it gets. */
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

/** Where requests of one host and path prefix go. */
struct Route
{
    RouteName name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::Once;
    /** Longest time that a caller is kept waiting. */
    base::Milliseconds timeout{0};
    /** Time within which an answer has its full worth. */
    base::Milliseconds target{0};
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
    /** Runners to which one request may be sent. */
    std::uint32_t maxAttempts = 1;
    /** Whether turns are kept, so that later ones carry only what is new. */
    bool keepsTurns = false;
};

/** What a service's engines are like. */
struct EngineTraits
{
    std::uint32_t slots = 0;
    base::Tokens cacheTokens;
    /** Tokens that each event of an answer counts for. */
    base::Tokens tokensPerEvent;
};

/** A service. */
struct Service
{
    ServiceName name;
    /** Nothing for services without a model. */
    std::optional<EngineTraits> engine;
};

/** One version of the routing, whole. */
class Routing
{
public:
    /**
     * @param version its version
     * @param routes every route
     * @param services every service
     * @param limits what callers may send
     */
    Routing(RoutingVersion version, std::vector<Route> routes, std::vector<Service> services,
            http::ServerLimits limits);

    /** @return its version */
    RoutingVersion version() const;

    /** @return what callers may send */
    const http::ServerLimits &limits() const;

    /**
     * @param host the host that a caller names, a port left out
     * @param path the path of the request, a query left out
     * @return the route with the longest prefix, or nothing
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /** @param name a service @return it, or nothing */
    const Service *service(const ServiceName &name) const;

    /** @return how many routes there are */
    std::size_t routeCount() const;

private:
    const RoutingVersion m_version;
    /** By host, the longest prefix first. */
    std::map<std::string, std::vector<Route>, std::less<>> m_routes;
    std::unordered_map<ServiceName, Service> m_services;
    const http::ServerLimits m_limits;
};

/**
 * @param route a route
 * @param key what is to go to one service always, such as a program
 * @return the service of the route that gets it
 */
const ServiceName &chooseService(const Route &route, std::string_view key);

}
