#include "common/httpstandin.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

using namespace standins::common;
using nlohmann::json;

namespace
{

/**
 * Tool service that appends a line to the effect file for each effect.
 *
 * Words in the input inject faults: "hang=MS" delays the effect, "late=MS" delays the response after the effect, "fail"
 * responds with an error and has no effect, "crash" exits the process after the effect.
 */
class ToolService
{
public:
    explicit ToolService(const std::string &effects)
        : m_effects(effects, std::ios::app)
    {
    }

    void handle(const http_request &request, const std::string &text)
    {
        const std::vector<std::string> parts = web::uri::split_path(request.relative_uri().path());
        const json body = json::parse(text, nullptr, false);
        if (parts.size() != 3 || parts[1] != "tools" || !body.is_object()) {
            replyJson(request, status_codes::BadRequest, {{"error", "POST /v1/tools/NAME with a JSON object"}});
            return;
        }
        // A separate thread, so that hanging calls don't exhaust the HTTP threads.
        std::thread([this, request, tool = parts[2], body] {
            runTool(request, tool, body);
        }).detach();
    }

private:
    void runTool(const http_request &request, const std::string &tool, const json &body)
    {
        const std::string input = body.value("input", "");
        sleepFor(input, "hang=");
        if (input.find("fail") != std::string::npos) {
            replyJson(request, status_codes::InternalError, {{"error", "the tool failed"}});
            return;
        }
        recordEffect(tool, body);
        if (input.find("crash") != std::string::npos) {
            std::_Exit(1);
        }
        sleepFor(input, "late=");
        replyJson(request, status_codes::OK, {{"output", tool + " done: " + input}, {"cost", 1}});
    }

    static void sleepFor(const std::string &input, const std::string &word)
    {
        const std::size_t at = input.find(word);
        if (at != std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(std::stoul(input.substr(at + word.size()))));
        }
    }

    void recordEffect(const std::string &tool, const json &body)
    {
        const std::lock_guard lock(m_mutex);
        m_effects << tool << ' ' << body.value("program", "") << ' ' << body.value("call", 0) << std::endl;
    }

    std::mutex m_mutex;
    std::ofstream m_effects;
};

}

int main(int argc, char **argv)
{
    return serve(argc, argv, "standin-tool", [](const auto &options) {
        const auto effects = options.find("effects");
        auto service = std::make_shared<ToolService>(effects == options.end() ? "/dev/null" : effects->second);
        return [service](const http_request &request, const std::string &body) {
            service->handle(request, body);
        };
    });
}
