#include "processcommands.h"

#include "entryclient.h"
#include "output.h"

#include <chrono>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::ctl
{

namespace
{

using nlohmann::json;

constexpr unsigned statusOk = 200;
constexpr base::Milliseconds statusPollInterval{100};

/** Sends a request to the entry and returns the body of its response; prints an error. */
std::variant<std::string, ExitCode> fetchBody(const CommandLine &line, Method method, const std::string &path)
{
    const auto result = sendRequest(line.entry, method, path);
    if (const auto *unreachable = std::get_if<EntryUnreachable>(&result)) {
        return fail(unreachable->reason);
    }
    const auto &response = std::get<EntryResponse>(result);
    if (response.status != statusOk) {
        return fail(fmt::format("{} answered {}: {}", line.entry, response.status, response.body));
    }
    return response.body;
}

ExitCode printResponse(const CommandLine &line, Method method, const std::string &path)
{
    const auto result = fetchBody(line, method, path);
    if (const auto *failed = std::get_if<ExitCode>(&result)) {
        return *failed;
    }
    print(std::get<std::string>(result) + "\n");
    return ExitCode::Ok;
}

/** Sends a request whose response lists processes; prints an error. */
std::variant<json, ExitCode> fetchProcesses(const CommandLine &line, Method method, const std::string &path)
{
    const auto result = fetchBody(line, method, path);
    if (const auto *failed = std::get_if<ExitCode>(&result)) {
        return *failed;
    }
    const json parsed = json::parse(std::get<std::string>(result), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("processes") || !parsed["processes"].is_array()) {
        return fail(line.entry + " gave no list of processes");
    }
    return parsed["processes"];
}

std::string cellText(const json &process, const char *field)
{
    const auto found = process.find(field);
    if (found == process.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

ExitCode printProcesses(const CommandLine &line, const json &list)
{
    if (line.isJson) {
        print(list.dump(2) + "\n");
        return ExitCode::Ok;
    }
    Table table({"NAME", "ROLE", "ZONE", "POOL", "REVISION", "REACHABLE", "DRAINING", "IN PROGRESS"});
    for (const json &process : list) {
        table.add({cellText(process, "name"), cellText(process, "role"), cellText(process, "zone"),
                   cellText(process, "pool"), cellText(process, "revision"), cellText(process, "reachable"),
                   cellText(process, "draining"), cellText(process, "inProgress")});
    }
    print(table.text());
    return ExitCode::Ok;
}

bool isInForce(const json &process, base::Revision revision)
{
    return process.value("reachable", false) && process.value("revision", std::uint64_t{0}) >= revision.value();
}

bool isInForceEverywhere(const json &list, base::Revision revision)
{
    return std::all_of(list.begin(), list.end(), [&](const json &process) {
        return isInForce(process, revision);
    });
}

ExitCode reportInForce(const CommandLine &line, const json &list, base::Revision revision)
{
    json inForce = json::array();
    json notInForce = json::array();
    for (const json &process : list) {
        (isInForce(process, revision) ? inForce : notInForce).push_back(cellText(process, "name"));
    }
    if (line.isJson) {
        print(json{{"inForce", inForce}, {"notInForce", notInForce}}.dump(2) + "\n");
    } else {
        print(fmt::format("in force in {} of {} processes\n", inForce.size(), list.size()));
        for (const json &name : notInForce) {
            print(fmt::format("not in force: {}\n", name.get<std::string>()));
        }
    }
    return notInForce.empty() ? ExitCode::Ok : ExitCode::NotInForce;
}

}

ExitCode status(const CommandLine &line)
{
    const auto list = fetchProcesses(line, Method::Get, "/v1/operator/status");
    if (const auto *failed = std::get_if<ExitCode>(&list)) {
        return *failed;
    }
    return printProcesses(line, std::get<json>(list));
}

ExitCode drain(const CommandLine &line)
{
    const auto list = fetchProcesses(line, Method::Post, "/v1/operator/drain/" + line.words[1]);
    if (const auto *failed = std::get_if<ExitCode>(&list)) {
        return *failed;
    }
    const json &drained = std::get<json>(list);
    printProcesses(line, drained);
    const bool isDraining = std::all_of(drained.begin(), drained.end(), [](const json &process) {
        return process.value("draining", false);
    });
    return isDraining ? ExitCode::Ok : fail("\"" + line.words[1] + "\" did not say that it drains");
}

ExitCode programs(const CommandLine &line)
{
    const auto list = fetchProcesses(line, Method::Get, "/v1/operator/programs");
    if (const auto *failed = std::get_if<ExitCode>(&list)) {
        return *failed;
    }
    if (line.isJson) {
        print(std::get<json>(list).dump(2) + "\n");
        return ExitCode::Ok;
    }
    Table table({"PROGRAM", "KIND", "ACCOUNT", "PRIORITY", "NEXT CALL", "ENDED", "TOKENS SPENT", "ENTRY"});
    for (const json &process : std::get<json>(list)) {
        for (const json &program : process.value("programs", json::array())) {
            table.add({cellText(program, "id"), cellText(program, "kind"), cellText(program, "account"),
                       cellText(program, "priority"), cellText(program, "nextCall"), cellText(program, "ended"),
                       cellText(program, "tokensSpent"), cellText(process, "name")});
        }
    }
    print(table.text());
    return ExitCode::Ok;
}

ExitCode showProgram(const CommandLine &line)
{
    return printResponse(line, Method::Get, "/v1/programs/" + line.words[2]);
}

ExitCode endProgram(const CommandLine &line)
{
    return printResponse(line, Method::Delete, "/v1/programs/" + line.words[2]);
}

ExitCode metrics(const CommandLine &line)
{
    return printResponse(line, Method::Get, "/metrics");
}

ExitCode waitUntilInForce(const CommandLine &line, base::Revision revision)
{
    const auto deadline = std::chrono::steady_clock::now() + line.waitTimeout;
    while (true) {
        const auto list = fetchProcesses(line, Method::Get, "/v1/operator/status");
        const auto *present = std::get_if<json>(&list);
        const bool hasTimedOut = std::chrono::steady_clock::now() >= deadline;
        if (present == nullptr && hasTimedOut) {
            return ExitCode::NotInForce;
        }
        if (present != nullptr && (hasTimedOut || isInForceEverywhere(*present, revision))) {
            return reportInForce(line, *present, revision);
        }
        std::this_thread::sleep_for(statusPollInterval);
    }
}

}
