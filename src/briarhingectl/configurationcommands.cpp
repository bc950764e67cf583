#include "configurationcommands.h"

#include "base/clock.h"
#include "config/difference.h"
#include "config/revisionstore.h"
#include "config/validator.h"
#include "keyvalue/httpkeyvalue.h"
#include "output.h"
#include "processcommands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::ctl
{

namespace
{

using nlohmann::json;
using Store = config::RevisionStore<keyvalue::HttpKeyValue>;

constexpr base::Milliseconds keyValueTimeout{5000};

std::string dump(const json &value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::variant<std::string, ExitCode> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path);
    if (!file) {
        return fail("can't read \"" + path + "\"");
    }
    text << file.rdbuf();
    return text.str();
}

/** Reads and validates a declaration file; prints every validation error. */
std::variant<std::string, ExitCode> readDeclarationFile(const std::string &path)
{
    auto text = readFile(path);
    if (std::holds_alternative<ExitCode>(text)) {
        return text;
    }
    const auto read = config::readDeclaration(std::get<std::string>(text));
    if (const auto *invalid = std::get_if<config::DeclarationErrors>(&read)) {
        for (const config::ValidationError &error : invalid->errors) {
            fail(path + ": " + config::toString(error));
        }
        return ExitCode::BadDeclaration;
    }
    return config::toJson(std::get<config::Declaration>(read));
}

/** Prints an error of the revision store and returns the exit code for it. */
template <class Result>
ExitCode reportStoreError(const Result &result)
{
    if (const auto *broken = std::get_if<config::CorruptRecord>(&result)) {
        return fail("key \"" + broken->key + "\" of the key-value service holds no revision record");
    }
    if (const auto *unavailable = std::get_if<config::StoreUnavailable>(&result)) {
        return fail("the key-value service does not answer: " + unavailable->reason);
    }
    return fail("there is no such revision");
}

std::optional<std::uint64_t> parseRevision(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = error == std::errc{} && end == text.data() + text.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

json toJson(const std::vector<config::Difference> &differences)
{
    json list = json::array();
    for (const config::Difference &difference : differences) {
        list.push_back({{"path", difference.path}, {"before", difference.before}, {"after", difference.after}});
    }
    return list;
}

std::string toText(const std::vector<config::Difference> &differences)
{
    if (differences.empty()) {
        return "no difference\n";
    }
    std::string text;
    for (const config::Difference &difference : differences) {
        if (!difference.before.empty()) {
            text += fmt::format("- {}: {}\n", difference.path, difference.before);
        }
        if (!difference.after.empty()) {
            text += fmt::format("+ {}: {}\n", difference.path, difference.after);
        }
    }
    return text;
}

std::string makeNonce()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

json toJson(const config::AuditEntry &entry)
{
    return {{"who", entry.who},
            {"when", config::formatTime(entry.when)},
            {"what", entry.what},
            {"from", entry.from.value()},
            {"to", entry.to.value()}};
}

ExitCode reportLostRace(const CommandLine &line, const config::Conflict &lost, const std::string &wanted)
{
    const config::AuditEntry &winner = lost.winner.audit;
    const auto differences = config::differences(lost.winner.declaration, wanted);
    if (line.isJson) {
        print(dump({{"outcome", "lostRace"}, {"winner", toJson(winner)}, {"differences", toJson(differences)}}));
    } else {
        print(toText(differences));
    }
    return fail(fmt::format("revision {} by {} at {} is accepted now ({}); nothing was changed. Above: what differs "
                            "between it and yours",
                            winner.to.value(), winner.who, config::formatTime(winner.when), winner.what),
                ExitCode::LostRace);
}

ExitCode reportAccepted(const CommandLine &line, const config::Accepted &accepted)
{
    if (line.isJson) {
        print(dump(
            {{"outcome", "accepted"}, {"revision", accepted.revision.value()}, {"wasReadBack", accepted.wasReadBack}}));
    } else {
        print(fmt::format("revision {} is accepted{}\n", accepted.revision.value(),
                          accepted.wasReadBack ? " (an answer was lost; it was read back)" : ""));
    }
    return line.shouldWait ? waitUntilInForce(line, accepted.revision) : ExitCode::Ok;
}

ExitCode propose(const CommandLine &line, Store &store, base::Revision expected, const std::string &what,
                 const std::string &declaration)
{
    config::Proposal proposal;
    proposal.who = line.who;
    proposal.what = line.message.empty() ? what : what + ": " + line.message;
    proposal.when = base::SystemClock().now();
    proposal.expected = expected;
    proposal.nonce = line.nonce.empty() ? makeNonce() : line.nonce;
    proposal.declaration = declaration;
    const config::ProposalResult result = store.propose(proposal);
    if (const auto *accepted = std::get_if<config::Accepted>(&result)) {
        return reportAccepted(line, *accepted);
    }
    if (const auto *lost = std::get_if<config::Conflict>(&result)) {
        return reportLostRace(line, *lost, declaration);
    }
    if (const auto *unresolved = std::get_if<config::Unresolved>(&result)) {
        return fail(fmt::format("the change may have been made: {}. Repeat the command with --expect {} --nonce {}",
                                unresolved->reason, expected.value(), proposal.nonce),
                    ExitCode::Unresolved);
    }
    return reportStoreError(result);
}

/** Returns the revision that a change is based on: that of --expect, or else the accepted one. */
std::variant<base::Revision, ExitCode> expectedRevision(const CommandLine &line, Store &store)
{
    if (line.expected) {
        return base::Revision(*line.expected);
    }
    const config::HeadResult head = store.head();
    if (const auto *present = std::get_if<config::Head>(&head)) {
        return present->record.audit.to;
    }
    if (std::holds_alternative<config::NoConfiguration>(head)) {
        return base::Revision(0);
    }
    return reportStoreError(head);
}

ExitCode proposeChange(const CommandLine &line, Store &store, const std::string &what, const std::string &declaration)
{
    const auto expected = expectedRevision(line, store);
    if (const auto *failed = std::get_if<ExitCode>(&expected)) {
        return *failed;
    }
    return propose(line, store, std::get<base::Revision>(expected), what, declaration);
}

std::variant<std::vector<config::RevisionRecord>, ExitCode> readHistory(const CommandLine &line)
{
    keyvalue::HttpKeyValue keyValue(line.keyValue, keyValueTimeout);
    auto result = Store(keyValue).history();
    if (auto *records = std::get_if<std::vector<config::RevisionRecord>>(&result)) {
        return std::move(*records);
    }
    return reportStoreError(result);
}

}

ExitCode plan(const CommandLine &line)
{
    const auto wanted = readDeclarationFile(line.words[1]);
    if (const auto *failed = std::get_if<ExitCode>(&wanted)) {
        return *failed;
    }
    keyvalue::HttpKeyValue keyValue(line.keyValue, keyValueTimeout);
    const config::HeadResult head = Store(keyValue).head();
    const auto *present = std::get_if<config::Head>(&head);
    if (present == nullptr && !std::holds_alternative<config::NoConfiguration>(head)) {
        return reportStoreError(head);
    }
    const std::uint64_t revision = present == nullptr ? 0 : present->record.audit.to.value();
    const auto differences =
        config::differences(present == nullptr ? "" : present->record.declaration, std::get<std::string>(wanted));
    if (line.isJson) {
        print(dump({{"revision", revision}, {"differences", toJson(differences)}}));
    } else {
        print(fmt::format("against revision {}:\n{}", revision, toText(differences)));
    }
    return ExitCode::Ok;
}

ExitCode apply(const CommandLine &line)
{
    const auto wanted = readDeclarationFile(line.words[1]);
    if (const auto *failed = std::get_if<ExitCode>(&wanted)) {
        return *failed;
    }
    keyvalue::HttpKeyValue keyValue(line.keyValue, keyValueTimeout);
    Store store(keyValue);
    return proposeChange(line, store, "apply", std::get<std::string>(wanted));
}

ExitCode rollback(const CommandLine &line)
{
    const auto revision = parseRevision(line.words[1]);
    if (!revision) {
        return fail("rollback takes a revision such as 3, not \"" + line.words[1] + "\"", ExitCode::Usage);
    }
    keyvalue::HttpKeyValue keyValue(line.keyValue, keyValueTimeout);
    Store store(keyValue);
    const config::RevisionResult old = store.revision(base::Revision(*revision));
    const auto *record = std::get_if<config::RevisionRecord>(&old);
    if (record == nullptr) {
        return reportStoreError(old);
    }
    return proposeChange(line, store, fmt::format("rollback to {}", *revision), record->declaration);
}

ExitCode show(const CommandLine &line)
{
    keyvalue::HttpKeyValue keyValue(line.keyValue, keyValueTimeout);
    Store store(keyValue);
    if (line.words.size() == 1) {
        const config::HeadResult head = store.head();
        if (const auto *present = std::get_if<config::Head>(&head)) {
            print(present->record.declaration);
            return ExitCode::Ok;
        }
        return reportStoreError(head);
    }
    const auto revision = parseRevision(line.words[1]);
    if (!revision) {
        return fail("show takes a revision such as 3, not \"" + line.words[1] + "\"", ExitCode::Usage);
    }
    const config::RevisionResult found = store.revision(base::Revision(*revision));
    if (const auto *record = std::get_if<config::RevisionRecord>(&found)) {
        print(record->declaration);
        return ExitCode::Ok;
    }
    return reportStoreError(found);
}

ExitCode history(const CommandLine &line)
{
    const auto read = readHistory(line);
    if (const auto *failed = std::get_if<ExitCode>(&read)) {
        return *failed;
    }
    json list = json::array();
    Table table({"REVISION", "WHEN", "WHO", "CHANGES"});
    std::string before;
    for (const config::RevisionRecord &record : std::get<std::vector<config::RevisionRecord>>(read)) {
        const auto differences = config::differences(before, record.declaration);
        list.push_back({{"revision", record.audit.to.value()},
                        {"when", config::formatTime(record.audit.when)},
                        {"who", record.audit.who},
                        {"differences", toJson(differences)}});
        table.add({std::to_string(record.audit.to.value()), config::formatTime(record.audit.when), record.audit.who,
                   std::to_string(differences.size())});
        before = record.declaration;
    }
    print(line.isJson ? dump(list) : table.text());
    return ExitCode::Ok;
}

ExitCode audit(const CommandLine &line)
{
    const auto read = readHistory(line);
    if (const auto *failed = std::get_if<ExitCode>(&read)) {
        return *failed;
    }
    json list = json::array();
    Table table({"WHEN", "WHO", "FROM", "TO", "WHAT"});
    for (const config::RevisionRecord &record : std::get<std::vector<config::RevisionRecord>>(read)) {
        const config::AuditEntry &entry = record.audit;
        list.push_back(toJson(entry));
        table.add({config::formatTime(entry.when), entry.who, std::to_string(entry.from.value()),
                   std::to_string(entry.to.value()), entry.what});
    }
    print(line.isJson ? dump(list) : table.text());
    return ExitCode::Ok;
}

}
