#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <map>

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace briarhinge::settings
{

namespace
{

using Values = std::map<std::string, std::string>;

struct Definition
{
    const char *flag;
    const char *defaultValue;
    const char *description;
};

constexpr Definition definitions[] = {
    {"role", "", "entry or runner"},
    {"name", "", "name of this VM, unique in the deployment"},
    {"zone", "", "availability zone of this VM"},
    {"listen", "", "IP number and port for other processes of the system"},
    {"http-listen", "", "IP number and port for callers and operators"},
    {"key-value", "", "address of the platform's key-value service, as http://10.0.0.5:2379"},
    {"vm-list", "", "address of the platform's VM list, as http://10.0.0.6:8080"},
    {"vm-list-interval", "1000", "milliseconds between two reads of the VM list"},
    {"io-threads", "2", "threads for the connections between processes"},
    {"http-threads", "8", "threads for HTTP"},
    {"memory-mb", "0",
     "megabytes that the process may use, half of them for requests and answers; 0 for all of the VM's"},
    {"max-descriptors", "0", "descriptors that the process may open; 0 for what the operating system allows"},
    {"drain-limit", "60000", "milliseconds that a stopping process waits for requests in progress"},
    {"flush-interval", "2000", "milliseconds that a finished turn may wait to become durable"},
    {"lease-time", "3000", "milliseconds after which a silent entry is taken over"},
    {"answers-kept", "3600000", "entry: milliseconds after a program's end for which its answers can be asked for"},
    {"ids-kept", "86400000", "entry: milliseconds after a program's end for which its id can't be opened again"},
    {"upstream", "", "runner: address of the upstream, as http://127.0.0.1:9000"},
    {"upstream-kind", "engine", "runner: engine or tool"},
    {"pool", "", "runner: the pool that the upstream belongs to"},
    {"serves", "", "runner: models or tools of the upstream, separated by commas"},
    {"concurrency", "8", "runner: most calls given to the upstream at once"},
    {"token-gap-target", "40", "runner: milliseconds between tokens that 95 in 100 keep; limits calls given at once"},
    {"queue-wait-limit", "10000", "runner: milliseconds of expected wait past which the lowest calls are refused"},
    {"call-timeout", "60000", "runner: milliseconds that the upstream may be silent about a call"},
    {"tool-timeouts", "", "runner: the same for single tools, as charge=5000,search=2000"},
    {"orphan-grace", "6000", "runner: milliseconds that an idempotent call runs on when its entry is gone"},
    {"hold-limit", "30000", "runner: milliseconds after which an absent program's prefix is let go"},
    {"engine-cache-tokens", "200000", "runner: tokens that fit into the engine's prefix cache"},
    {"placement", "expected", "entry: expected, round-robin, least-outstanding or sticky"},
    {"call-order", "service", "entry: service (priority, then least service) or arrival"},
    {"placement-probes", "2", "entry: runners asked for their load before a new program is placed, 0 for none"},
    {"retry-percent", "10", "entry: retries that each hundred calls allow"},
    {"stall-limit", "2000", "entry: milliseconds of silence after which an idempotent call goes to another runner"},
    {"call-time-limit", "600000", "entry: milliseconds that a call may take"},
    {"new-program-wait", "3000", "entry: milliseconds of expected wait beyond which new programs are refused"},
    {"account-calls", "512", "entry: calls of one account under way at once"},
    {"program-calls", "64", "entry: calls of one root program under way at once"},
    {"entry-calls", "2048", "entry: calls under way at once; the lowest priority is refused first"},
};

std::string variableName(std::string_view flag)
{
    std::string name = "BRIARHINGE_";
    for (const char character : flag) {
        name.push_back(character == '-' ? '_' : static_cast<char>(std::toupper(character)));
    }
    return name;
}

/** Parses setting values and collects all errors. */
class ValueParser
{
public:
    explicit ValueParser(const Values &values)
        : m_values(values)
    {
    }

    std::string text(const std::string &flag)
    {
        const std::string &value = m_values.at(flag);
        if (value.empty()) {
            addError(flag, "must be given");
        }
        return value;
    }

    wire::Address address(const std::string &flag)
    {
        const std::string value = text(flag);
        const auto parsed = wire::parseAddress(value);
        if (!parsed && !value.empty()) {
            addError(flag, fmt::format("must be an address such as \"127.0.0.1:7000\", is \"{}\"", value));
        }
        return parsed.value_or(wire::Address{});
    }

    std::string url(const std::string &flag)
    {
        const std::string value = text(flag);
        if (!value.empty() && !value.starts_with("http://") && !value.starts_with("https://")) {
            addError(flag, fmt::format("must be an address such as \"http://127.0.0.1:8080\", is \"{}\"", value));
        }
        return value;
    }

    std::uint64_t number(const std::string &flag, std::uint64_t minimum, std::uint64_t maximum)
    {
        const std::string &value = m_values.at(flag);
        std::uint64_t parsed = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (error != std::errc{} || end != value.data() + value.size() || parsed < minimum || parsed > maximum) {
            addError(flag, fmt::format("must be a number from {} to {}, is \"{}\"", minimum, maximum, value));
        }
        return parsed;
    }

    base::Milliseconds milliseconds(const std::string &flag)
    {
        constexpr std::uint64_t msPerDay = 86'400'000;
        return base::Milliseconds(number(flag, 1, msPerDay));
    }

    template <class Choice>
    Choice choice(const std::string &flag, const std::map<std::string, Choice> &choices)
    {
        const std::string &value = m_values.at(flag);
        const auto found = choices.find(value);
        if (found != choices.end()) {
            return found->second;
        }
        std::string names;
        for (const auto &[name, unused] : choices) {
            names += names.empty() ? name : " or " + name;
        }
        addError(flag, fmt::format("must be {}, is \"{}\"", names, value));
        return Choice{};
    }

    std::vector<base::TargetName> names(const std::string &flag)
    {
        std::vector<base::TargetName> list;
        std::string remaining = text(flag);
        while (!remaining.empty()) {
            const std::size_t comma = remaining.find(',');
            if (comma == 0) {
                addError(flag, fmt::format("has an empty name in \"{}\"", m_values.at(flag)));
            }
            list.emplace_back(remaining.substr(0, comma));
            remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
        }
        return list;
    }

    std::map<base::TargetName, base::Milliseconds> timeouts(const std::string &flag)
    {
        std::map<base::TargetName, base::Milliseconds> result;
        std::string remaining = m_values.at(flag);
        while (!remaining.empty()) {
            const std::size_t comma = std::min(remaining.find(','), remaining.size());
            const std::string item = remaining.substr(0, comma);
            const std::size_t equals = std::min(item.find('='), item.size());
            std::uint64_t milliseconds = 0;
            const char *end = item.data() + item.size();
            const char *begin = item.data() + std::min(equals + 1, item.size());
            const auto [last, error] = std::from_chars(begin, end, milliseconds);
            if (equals == 0 || error != std::errc{} || last != end || milliseconds == 0) {
                addError(flag,
                         fmt::format("must name tools with milliseconds such as \"charge=5000\", has \"{}\"", item));
            }
            result[base::TargetName(item.substr(0, equals))] = base::Milliseconds(milliseconds);
            remaining = comma == remaining.size() ? "" : remaining.substr(comma + 1);
        }
        return result;
    }

    std::vector<std::string> takeErrors()
    {
        return std::move(m_errors);
    }

private:
    void addError(const std::string &flag, const std::string &message)
    {
        m_errors.push_back(fmt::format("--{} ({}) {}", flag, variableName(flag), message));
    }

    const Values &m_values;
    std::vector<std::string> m_errors;
};

void parseEntrySettings(ValueParser &parser, Settings &settings)
{
    constexpr std::uint64_t maxProbes = 8;
    constexpr std::uint64_t maxPercent = 100;
    constexpr std::uint64_t maxCalls = 1'000'000;
    settings.placement = parser.choice<Placement>("placement",
                                                  {{"expected", Placement::Expected},
                                                   {"round-robin", Placement::RoundRobin},
                                                   {"least-outstanding", Placement::LeastOutstanding},
                                                   {"sticky", Placement::Sticky}});
    settings.callOrder =
        parser.choice<CallOrder>("call-order", {{"service", CallOrder::Service}, {"arrival", CallOrder::Arrival}});
    settings.placementProbes = parser.number("placement-probes", 0, maxProbes);
    settings.retryPercent = parser.number("retry-percent", 0, maxPercent);
    settings.stallLimit = parser.milliseconds("stall-limit");
    settings.callTimeLimit = parser.milliseconds("call-time-limit");
    settings.newProgramWait = parser.milliseconds("new-program-wait");
    settings.accountCalls = parser.number("account-calls", 1, maxCalls);
    settings.programCalls = parser.number("program-calls", 1, maxCalls);
    settings.entryCalls = parser.number("entry-calls", 1, maxCalls);
}

std::variant<Settings, SettingsErrors> parseValues(const Values &values)
{
    constexpr std::uint64_t maxThreads = 256;
    constexpr std::uint64_t maxMemoryMegabytes = 16'777'216;
    constexpr std::uint64_t bytesPerMegabyte = 1'048'576;
    constexpr std::uint64_t maxDescriptors = 1'073'741'824;
    constexpr std::uint64_t maxConcurrency = 4096;
    constexpr std::uint64_t maxCacheTokens = 1'000'000'000;
    ValueParser parser(values);
    Settings settings;
    settings.role = parser.choice<Role>("role", {{"entry", Role::Entry}, {"runner", Role::Runner}});
    settings.name = parser.text("name");
    settings.zone = base::ZoneName(parser.text("zone"));
    settings.listen = parser.address("listen");
    settings.httpListen = parser.address("http-listen");
    settings.keyValueUrl = parser.url("key-value");
    settings.vmListUrl = parser.url("vm-list");
    settings.vmListInterval = parser.milliseconds("vm-list-interval");
    settings.ioThreads = parser.number("io-threads", 1, maxThreads);
    settings.httpThreads = parser.number("http-threads", 1, maxThreads);
    settings.machine = base::machineLimits({parser.number("memory-mb", 0, maxMemoryMegabytes) * bytesPerMegabyte,
                                            parser.number("max-descriptors", 0, maxDescriptors)});
    settings.drainLimit = parser.milliseconds("drain-limit");
    settings.flushInterval = parser.milliseconds("flush-interval");
    settings.leaseTime = parser.milliseconds("lease-time");
    settings.retention = {parser.milliseconds("answers-kept"), parser.milliseconds("ids-kept")};
    parseEntrySettings(parser, settings);
    if (settings.role == Role::Runner) {
        settings.upstreamUrl = parser.url("upstream");
        settings.upstreamKind = parser.choice<UpstreamKind>(
            "upstream-kind", {{"engine", UpstreamKind::Engine}, {"tool", UpstreamKind::Tool}});
        settings.pool = base::PoolName(parser.text("pool"));
        settings.serves = parser.names("serves");
        settings.concurrency = parser.number("concurrency", 1, maxConcurrency);
        settings.tokenGapTarget = parser.milliseconds("token-gap-target");
        settings.queueWaitLimit = parser.milliseconds("queue-wait-limit");
        settings.callTimeout = parser.milliseconds("call-timeout");
        settings.toolTimeouts = parser.timeouts("tool-timeouts");
        settings.orphanGrace = parser.milliseconds("orphan-grace");
        settings.holdLimit = parser.milliseconds("hold-limit");
        settings.engineCacheTokens = base::Tokens(parser.number("engine-cache-tokens", 1, maxCacheTokens));
    }
    std::vector<std::string> errors = parser.takeErrors();
    if (!errors.empty()) {
        return SettingsErrors{std::move(errors)};
    }
    return settings;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("briarhinged", "Schedules agent programs: an entry for callers, or beside an upstream.");
    auto add = options.add_options();
    for (const Definition &definition : definitions) {
        std::string description = fmt::format("{} [{}]", definition.description, variableName(definition.flag));
        if (*definition.defaultValue != '\0') {
            description += fmt::format(" (default {})", definition.defaultValue);
        }
        add(definition.flag, description, cxxopts::value<std::string>());
    }
    add("help", "print this text");
    add("version", "print the version");
    add("check-settings", "check the settings and stop");
    return options;
}

}

std::vector<SettingDescription> describeSettings()
{
    std::vector<SettingDescription> descriptions;
    for (const Definition &definition : definitions) {
        descriptions.push_back(
            {definition.flag, variableName(definition.flag), definition.defaultValue, definition.description});
    }
    return descriptions;
}

std::variant<Settings, SettingsErrors, InfoText> readSettings(const std::vector<std::string> &arguments,
                                                              const EnvironmentReader &environment)
{
    std::vector<const char *> argv{"briarhinged"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (!parsed.unmatched().empty()) {
            return SettingsErrors{{fmt::format("\"{}\" is not a flag", parsed.unmatched().front())}};
        }
        if (parsed.count("help") > 0) {
            return InfoText{options.help()};
        }
        if (parsed.count("version") > 0) {
            return InfoText{"briarhinged " BRIARHINGE_VERSION "\n"};
        }
        Values values;
        for (const Definition &definition : definitions) {
            const std::string flag = definition.flag;
            values[flag] = parsed.count(flag) > 0 ? parsed[flag].as<std::string>()
                                                  : environment(variableName(flag)).value_or(definition.defaultValue);
        }
        const auto checked = parseValues(values);
        if (const auto *errors = std::get_if<SettingsErrors>(&checked)) {
            return *errors;
        }
        if (parsed.count("check-settings") > 0) {
            return InfoText{"settings are valid\n"};
        }
        return std::get<Settings>(checked);
    } catch (const cxxopts::exceptions::exception &error) {
        return SettingsErrors{{error.what()}};
    }
}

}
