#include "forwarding/crashmessages.h"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

namespace briarhinge::forwarding
{

using nlohmann::json;
using placement::CrashedRequest;
using placement::CrashReport;

wire::CrashReportsT toMessage(const std::vector<CrashReport> &reports)
{
    wire::CrashReportsT message;
    for (const CrashReport &report : reports) {
        auto crash = std::make_unique<wire::RunnerCrashT>();
        crash->runner = report.crash.runner;
        crash->started_at = report.crash.startedAt;
        crash->ordinal = report.crash.ordinal;
        for (const CrashedRequest &request : report.requests) {
            auto crashed = std::make_unique<wire::CrashedRequestT>();
            crashed->digest = request.digest.value();
            crashed->size = request.size;
            crashed->is_prompt = request.isPrompt;
            crash->requests.push_back(std::move(crashed));
        }
        message.crashes.push_back(std::move(crash));
    }
    return message;
}

std::vector<CrashReport> fromMessage(const wire::CrashReportsT &message)
{
    std::vector<CrashReport> reports;
    for (const auto &crash : message.crashes) {
        CrashReport report{{crash->runner, crash->started_at, crash->ordinal}, {}};
        for (const auto &request : crash->requests) {
            report.requests.push_back({base::Digest(request->digest), request->size, request->is_prompt});
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::string formatCrashes(const PublishedCrashes &published)
{
    json crashes = json::array();
    for (const CrashReport &report : published.reports) {
        json requests = json::array();
        for (const CrashedRequest &request : report.requests) {
            requests.push_back(
                {{"digest", request.digest.value()}, {"size", request.size}, {"isPrompt", request.isPrompt}});
        }
        crashes.push_back({{"runner", report.crash.runner},
                           {"startedAt", report.crash.startedAt},
                           {"ordinal", report.crash.ordinal},
                           {"requests", std::move(requests)}});
    }
    return json{{"publishedAt", published.publishedAt}, {"crashes", std::move(crashes)}}.dump();
}

std::optional<PublishedCrashes> parseCrashes(const std::string &text)
{
    try {
        const json document = json::parse(text);
        PublishedCrashes published;
        published.publishedAt = document.at("publishedAt").get<std::int64_t>();
        for (const json &crash : document.at("crashes")) {
            CrashReport report;
            report.crash.runner = crash.at("runner").get<std::string>();
            report.crash.startedAt = crash.at("startedAt").get<std::uint64_t>();
            report.crash.ordinal = crash.at("ordinal").get<std::uint32_t>();
            for (const json &request : crash.at("requests")) {
                report.requests.push_back({base::Digest(request.at("digest").get<std::string>()),
                                           request.at("size").get<std::size_t>(), request.at("isPrompt").get<bool>()});
            }
            published.reports.push_back(std::move(report));
        }
        return published;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
