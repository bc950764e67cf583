#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "core/budget.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhinge::config
{

/** What the operators want for one kind of program. */
struct KindDeclaration
{
    base::KindName name;
    /** Higher goes first. */
    std::int32_t priority = 0;
    core::Amounts budget;
    /** Time from opening after which no call is started any more. */
    base::Milliseconds wallTime{0};
    /** How much keeping the cache between turns counts against the latency of others, from 0 to 1. */
    double cacheWeight = 0;

    bool operator==(const KindDeclaration &) const = default;
};

/** What the upstreams of a pool are. */
enum class PoolType {
    Engine,
    Tool,
};

/** A model that the engines of a pool are to hold. */
struct ModelDeclaration
{
    base::TargetName name;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const ModelDeclaration &) const = default;
};

/** A tool that the services of a pool offer. */
struct ToolDeclaration
{
    base::TargetName name;
    bool idempotent = false;
    /** Longest wait for an answer; that of the pool when absent. */
    std::optional<base::Milliseconds> timeout;

    bool operator==(const ToolDeclaration &) const = default;
};

/** Which runners belong to a pool when they are not named one by one. */
struct PoolSelector
{
    /** Zones of the runners; every zone when empty. */
    std::vector<base::ZoneName> zones;
    /** The pool name in the runners' settings. */
    base::PoolName pool;

    bool operator==(const PoolSelector &) const = default;
};

/** A pool of engines or tool services. */
struct PoolDeclaration
{
    base::PoolName name;
    PoolType type = PoolType::Engine;
    /** Names of the VMs; empty when there is a selector. */
    std::vector<std::string> members;
    std::optional<PoolSelector> selector;
    /** Longest wait for an answer of the upstream. */
    base::Milliseconds timeout{0};
    /** Whether the upstreams refuse orders with an old fencing number. */
    bool checksFencing = false;
    /** Orders and drains keep at least so many members live. */
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

/** All that the operators of a deployment declare; docs/OPERATIONS.md describes the JSON. */
struct Declaration
{
    std::string deployment;
    std::vector<KindDeclaration> kinds;
    std::vector<PoolDeclaration> pools;
    std::vector<AccountDeclaration> accounts;

    bool operator==(const Declaration &) const = default;
};

/** @param kind the name of a kind @return what is declared for it; null when it is not declared */
const KindDeclaration *findKind(const Declaration &declaration, const base::KindName &kind);

/** @return the declaration as JSON, every field written out, in the order of the schema */
std::string toJson(const Declaration &declaration);

}
