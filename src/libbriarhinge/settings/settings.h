#pragma once

#include "base/ids.h"
#include "base/machinelimits.h"
#include "base/units.h"
#include "core/retention.h"
#include "wire/address.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::settings
{

/** Role of the process. */
enum class Role {
    /** Accepts requests from callers and owns programs. */
    Entry,
    /** Runs next to an upstream and executes calls on it. */
    Runner,
};

/** Kind of the upstream that a runner serves. */
enum class UpstreamKind {
    Engine,
    Tool,
};

/** Strategy by which an entry selects the runner for a call. */
enum class Placement {
    /** The runner with the earliest expected completion; programs move only for a large gain. */
    Expected,
    RoundRobin,
    LeastOutstanding,
    /** The runner that executed the program's last call. */
    Sticky,
};

/** Order in which runners dispatch queued calls to their upstreams. */
enum class CallOrder {
    /** By priority, then by the least service that the program has received. */
    Service,
    /** First come, first served. */
    Arrival,
};

/** The validated settings of the daemon. */
struct Settings
{
    Role role = Role::Entry;
    /** Name of the VM; the process id of an entry consists of it, the start time and a random number. */
    std::string name;
    base::ZoneName zone;
    /** Address for connections from other processes of the system. */
    wire::Address listen;
    /** Address for HTTP connections from callers (entry) and operators (both roles). */
    wire::Address httpListen;
    /** Base address of the platform's key-value service. */
    std::string keyValueUrl;
    /** Base address of the platform's VM list. */
    std::string vmListUrl;
    base::Milliseconds vmListInterval{0};
    std::size_t ioThreads = 0;
    std::size_t httpThreads = 0;
    /** What the process may use of its VM. */
    base::MachineLimits machine;
    base::Milliseconds drainLimit{0};
    base::Milliseconds flushInterval{0};
    base::Milliseconds leaseTime{0};
    /** Entry only: retention of ended programs. */
    core::RetentionPolicy retention{};
    /** Runner only: base address of the upstream. */
    std::string upstreamUrl;
    UpstreamKind upstreamKind = UpstreamKind::Engine;
    base::PoolName pool;
    /** Runner only: the models or tools that the upstream serves. */
    std::vector<base::TargetName> serves;
    /** Runner only: maximum number of concurrent calls to the upstream. */
    std::size_t concurrency = 0;
    /** Runner only: target for the 95th percentile of the time between tokens. */
    base::Milliseconds tokenGapTarget{0};
    /** Runner only: expected queue wait above which the calls of lowest priority are rejected. */
    base::Milliseconds queueWaitLimit{0};
    /** Runner only: how long the upstream may send nothing about a call before the call fails. */
    base::Milliseconds callTimeout{0};
    /** Runner only: call timeouts of individual tools. */
    std::map<base::TargetName, base::Milliseconds> toolTimeouts;
    /** Runner only: how long an idempotent call continues after the connection to its entry is lost. */
    base::Milliseconds orphanGrace{0};
    /** Runner only: idle time after which a program is considered abandoned and its cached prefix is released. */
    base::Milliseconds holdLimit{0};
    /** Runner only: capacity of the engine's prefix cache in tokens. */
    base::Tokens engineCacheTokens;
    /** Entry only: strategy for selecting runners. */
    Placement placement = Placement::Expected;
    /** Entry only: order in which runners dispatch the calls of this entry. */
    CallOrder callOrder = CallOrder::Service;
    /** Entry only: number of runners queried for their load before a new program is placed; 0 disables probing. */
    std::size_t placementProbes = 0;
    /** Entry only: retry budget as a percentage of calls. */
    std::size_t retryPercent = 0;
    /** Entry only: time without progress after which an idempotent call is retried on another runner. */
    base::Milliseconds stallLimit{0};
    /** Entry only: maximum duration of a call. */
    base::Milliseconds callTimeLimit{0};
    /** Entry only: expected wait above which new programs are rejected, lowest priority first. */
    base::Milliseconds newProgramWait{0};
    /** Entry only: maximum number of concurrent calls per account, per root program and in total. */
    std::size_t accountCalls = 0;
    std::size_t programCalls = 0;
    std::size_t entryCalls = 0;
};

/** All errors in the given settings. */
struct SettingsErrors
{
    std::vector<std::string> errors;
};

/** Text to print instead of running: the help, the version or the result of --check-settings. */
struct InfoText
{
    std::string text;
};

/** Returns the value of an environment variable; no value when it is not set. */
using EnvironmentReader = std::function<std::optional<std::string>(const std::string &)>;

/** Description of one setting, used for --help and docs/SETTINGS.md. */
struct SettingDescription
{
    std::string flag;
    std::string variable;
    std::string defaultValue;
    std::string description;
};

/** @return the descriptions of all settings, in the order of the help */
std::vector<SettingDescription> describeSettings();

/**
 * Reads the settings from flags and environment variables; a flag takes precedence over its variable.
 *
 * @param arguments the command line without the program name
 * @param environment looks up environment variables
 * @return the settings, all errors in them, or a text to print
 */
std::variant<Settings, SettingsErrors, InfoText> readSettings(const std::vector<std::string> &arguments,
                                                              const EnvironmentReader &environment);

}
