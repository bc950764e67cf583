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
            m_pendingUpdates.push_back({std::chrono::steady_clock::now() + m_lag, json::parse(body)});
            replyJson(request, status_codes::OK, json::object());
            return;
        }
        if (path == "/admin/lag") {
            const std::lock_guard lock(m_mutex);
            m_lag = std::chrono::milliseconds(parseNumber(parseQuery(request), "ms", 0));
            replyJson(request, status_codes::OK, json::object());
            return;
        }
        replyJson(request, status_codes::OK, visibleList());
    }

private:
    struct Update
    {
        std::chrono::steady_clock::time_point visibleFrom;
        json list;
    };

    json visibleList()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        while (!m_pendingUpdates.empty() && m_pendingUpdates.front().visibleFrom <= now) {
            m_visibleList = m_pendingUpdates.front().list;
            m_pendingUpdates.pop_front();
        }
        return m_visibleList;
    }

    std::mutex m_mutex;
    std::chrono::milliseconds m_lag;
    std::deque<Update> m_pendingUpdates;
    json m_visibleList{{"vms", json::array()}};
};

}

int main(int argc, char **argv)
{
    return serve(argc, argv, "standin-vmlist", [](const auto &options) {
        auto list = std::make_shared<VmList>(std::chrono::milliseconds(parseNumber(options, "lag", 0)));
        return [list](const http_request &request, const std::string &body) {
            list->handle(request, body);
        };
    });
}
