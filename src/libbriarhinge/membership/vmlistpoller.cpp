#include "membership/vmlistpoller.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace briarhinge::membership
{

namespace
{

constexpr base::Milliseconds readTimeout{2000};
/** Share of the VM list in the control traffic budget of 14 kB/s for each process. */
constexpr std::uint64_t listBytesPerSecond = 4000;
constexpr std::uint64_t msPerSecond = 1000;

}

base::Milliseconds pollInterval(base::Milliseconds interval, std::size_t listBytes)
{
    return std::max(interval, base::Milliseconds(listBytes * msPerSecond / listBytesPerSecond));
}

VmListPoller::VmListPoller(std::string url, base::Milliseconds interval,
                           std::function<void(const VmListResult &)> handler)
    : m_url(std::move(url))
    , m_interval(interval)
    , m_handler(std::move(handler))
{
}

VmListPoller::~VmListPoller()
{
    stop();
}

void VmListPoller::start()
{
    m_thread = std::jthread([this](const std::stop_token &stop) {
        run(stop);
    });
}

void VmListPoller::stop()
{
    m_thread.request_stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void VmListPoller::run(const std::stop_token &stop)
{
    VmListClient client(m_url, readTimeout);
    std::mutex mutex;
    std::condition_variable_any stopped;
    while (!stop.stop_requested()) {
        m_handler(client.read());
        std::unique_lock lock(mutex);
        stopped.wait_for(lock, stop, pollInterval(m_interval, client.lastListBytes()), [] {
            return false;
        });
    }
}

}
