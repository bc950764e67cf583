#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "wire/address.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::settings
{

/** What this process does. */
enum class Role {
    /** Takes requests from callers and owns programs. */
    Entry,
    /** Runs beside one upstream. */
    Runner,
};

/** What kind of upstream a runner process stands beside. */
enum class UpstreamKind {
    Engine,
    Tool,
};

/** How an entry chooses the runner of a call. */
enum class Placement {
    /** Where the call is expected to be done first; programs move only for a large gain. */
    Expected,
    RoundRobin,
    LeastOutstanding,
    /** Where the program's last call ran. */
    Sticky,
};

/** In which order runners give calls to their upstreams. */
enum class CallOrder {
    /** By priority, then by the service that programs have had. */
    Service,
    /** As they come. */
    Arrival,
};

/** The settings of the daemon, checked. */
struct Settings
{
    Role role = Role::Entry;
    /** Name of the VM; the process id adds the start time to it. */
    std::string name;
    base::ZoneName zone;
    /** Where other processes of the system connect. */
    wire::Address listen;
    /** Where callers (entry) and operators (both roles) connect by HTTP. */
    wire::Address httpListen;
    /** Base address of the platform's key-value service. */
    std::string keyValueUrl;
    /** Base address of the platform's VM list. */
    std::string vmListUrl;
    base::Milliseconds vmListInterval{0};
    std::size_t ioThreads = 0;
    std::size_t httpThreads = 0;
    base::Milliseconds drainLimit{0};
    base::Milliseconds flushInterval{0};
    base::Milliseconds leaseTime{0};
    /** Runner only: base address of the upstream. */
    std::string upstreamUrl;
    UpstreamKind upstreamKind = UpstreamKind::Engine;
    base::PoolName pool;
    /** Runner only: the models or tools that the upstream serves. */
    std::vector<base::TargetName> serves;
    /** Runner only: calls given to the upstream at once. */
    std::size_t concurrency = 0;
    /** Runner only: time between tokens that 95 in 100 are to keep. */
    base::Milliseconds tokenGapTarget{0};
    /** Runner only: when calls would wait longer, the lowest ones are refused. */
    base::Milliseconds queueWaitLimit{0};
    /** Runner only: longest silence of the upstream about a call. */
    base::Milliseconds callTimeout{0};
    /** Runner only: the same for single tools. */
    std::map<base::TargetName, base::Milliseconds> toolTimeouts;
    /** Runner only: how long an idempotent call runs on without an entry. */
    base::Milliseconds orphanGrace{0};
    /** Runner only: a program that stays away longer is taken for abandoned, its prefix let go. */
    base::Milliseconds holdLimit{0};
    /** Runner only: tokens that fit into the engine's prefix cache. */
    base::Tokens engineCacheTokens;
    /** Entry only: how runners are chosen. */
    Placement placement = Placement::Expected;
    /** Entry only: how runners order the calls of this entry. */
    CallOrder callOrder = CallOrder::Service;
    /** Entry only: runners asked for their load before a new program is placed. */
    std::size_t placementProbes = 0;
    /** Entry only: retries that each hundred calls allow. */
    std::size_t retryPercent = 0;
    /** Entry only: silence after which an idempotent call goes to another runner. */
    base::Milliseconds stallLimit{0};
    /** Entry only: longest time of a call. */
    base::Milliseconds callTimeLimit{0};
    /** Entry only: expected wait beyond which new programs are refused, the lowest priority first. */
    base::Milliseconds newProgramWait{0};
    /** Entry only: calls under way at once for an account, a root program, and all together. */
    std::size_t accountCalls = 0;
    std::size_t programCalls = 0;
    std::size_t entryCalls = 0;
};

/** Every fault of the given settings. */
struct SettingsErrors
{
    std::vector<std::string> faults;
};

/** The process was asked for a text only: help or version, or the result of a check. */
struct InfoText
{
    std::string text;
};

/** Reads an environment variable; nothing when it is not set. */
using EnvironmentReader = std::function<std::optional<std::string>(const std::string &)>;

/** Description of one setting, for help and docs/SETTINGS.md. */
struct SettingDescription
{
    std::string flag;
    std::string variable;
    std::string fallback;
    std::string meaning;
};

/** @return every setting of the daemon */
std::vector<SettingDescription> describeSettings();

/**
 * Reads the settings from flags and environment variables; a flag wins over its variable.
 *
 * @param arguments the command line without the program's name
 * @param environment reads the environment
 * @return the settings, all their faults, or a text to print
 */
std::variant<Settings, SettingsErrors, InfoText> readSettings(const std::vector<std::string> &arguments,
                                                              const EnvironmentReader &environment);

}
