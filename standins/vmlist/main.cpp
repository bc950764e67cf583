#include "common/httpstandin.h"

#include <deque>
#include <memory>
#include <mutex>

using namespace standins::common;
using nlohmann::json;

namespace
{

/** The platform's VM list; an update becomes visible after the lag. */
class VmList
{
public:
    explicit VmList(std::chrono::milliseconds lag)
        : m_lag(lag)
    {
    }

    /** PUT /admin/vms replaces the list, PUT /admin/lag?ms=N sets the lag, GET /v1/vms returns the visible list. */
    void handle(const http_request &request, const std::string &body)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/admin/vms") {
            const std::lock_guard lock(m_mutex);
            m_versions.push_back({std::chrono::steady_clock::now() + m_lag, json::parse(body)});
            replyJson(request, status_codes::OK, json::object());
            return;
        }
        if (path == "/admin/lag") {
            const std::lock_guard lock(m_mutex);
            m_lag = std::chrono::milliseconds(numberOf(queryOf(request), "ms", 0));
            replyJson(request, status_codes::OK, json::object());
            return;
        }
        replyJson(request, status_codes::OK, present());
    }

private:
    struct Version
    {
        std::chrono::steady_clock::time_point from;
        json list;
    };

    json present()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        while (!m_versions.empty() && m_versions.front().from <= now) {
            m_shown = m_versions.front().list;
            m_versions.pop_front();
        }
        return m_shown;
    }

    std::mutex m_mutex;
    std::chrono::milliseconds m_lag;
    std::deque<Version> m_versions;
    json m_shown{{"vms", json::array()}};
};

}

int main(int argc, char **argv)
{
    return serve(argc, argv, "standin-vmlist", [](const auto &options) {
        auto list = std::make_shared<VmList>(std::chrono::milliseconds(numberOf(options, "lag", 0)));
        return [list](const http_request &request, const std::string &body) {
            list->handle(request, body);
        };
    });
}
