#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "core/budget.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhinge::config
{

/** Scheduling parameters and limits for one kind of program. */
struct KindDeclaration
{
    base::KindName name;
    /** Programs of a higher priority are scheduled first. */
    std::int32_t priority = 0;
    core::Amounts budget;
    /** Time after a program is opened at which no further call is started. */
    base::Milliseconds wallTime{0};
    /** Weight of cache retention between turns relative to the latency of other programs, from 0 to 1. */
    double cacheWeight = 0;

    bool operator==(const KindDeclaration &) const = default;
};

/** Type of the upstreams in a pool. */
enum class PoolType {
    Engine,
    Tool,
};

/** A model that the engines of a pool serve. */
struct ModelDeclaration
{
    base::TargetName name;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const ModelDeclaration &) const = default;
};

/** A tool that the services of a pool provide. */
struct ToolDeclaration
{
    base::TargetName name;
    bool idempotent = false;
    /** Response timeout; defaults to the timeout of the pool. */
    std::optional<base::Milliseconds> timeout;

    bool operator==(const ToolDeclaration &) const = default;
};

/** Selects the runners of a pool by zone and pool name instead of listing them. */
struct PoolSelector
{
    /** Zones to select from; empty selects every zone. */
    std::vector<base::ZoneName> zones;
    /** The pool name that the runners are configured with. */
    base::PoolName pool;

    bool operator==(const PoolSelector &) const = default;
};

/** A pool of engines or tool services. */
struct PoolDeclaration
{
    base::PoolName name;
    PoolType type = PoolType::Engine;
    /** Names of the VMs; empty when a selector is given. */
    std::vector<std::string> members;
    std::optional<PoolSelector> selector;
    /** Response timeout of the upstreams. */
    base::Milliseconds timeout{0};
    /** Whether the upstreams reject requests with an outdated fencing token. */
    bool checksFencing = false;
    /** Minimum number of live members that orders and drains must leave. */
    std::uint32_t minimumLive = 0;
    std::vector<ModelDeclaration> models;
    std::vector<ToolDeclaration> tools;

    bool operator==(const PoolDeclaration &) const = default;
};

/** The limits of a client account. */
struct AccountDeclaration
{
    base::AccountId name;
    std::uint32_t maxPrograms = 0;
    std::uint32_t maxCallsPerSecond = 0;

    bool operator==(const AccountDeclaration &) const = default;
};

/** The complete configuration of a deployment; docs/OPERATIONS.md describes its JSON format. */
struct Declaration
{
    std::string deployment;
    std::vector<KindDeclaration> kinds;
    std::vector<PoolDeclaration> pools;
    std::vector<AccountDeclaration> accounts;

    bool operator==(const Declaration &) const = default;
};

/**
 * @param declaration the declaration to search
 * @param kind name of a kind of program
 * @return the declaration of that kind, owned by @p declaration; null when it is not declared
 */
const KindDeclaration *findKind(const Declaration &declaration, const base::KindName &kind);

/** @return the declaration as JSON, with every field written out in the order of the schema */
std::string toJson(const Declaration &declaration);

}
