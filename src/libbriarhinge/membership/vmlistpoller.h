#pragma once

#include "membership/vmlist.h"

#include <functional>
#include <string>
#include <thread>

namespace briarhinge::membership
{

/**
 * Calculates the wait before the list is read again, so that reading a long list does not exhaust the control traffic
 * budget of a process.
 *
 * @param interval minimum wait, in milliseconds
 * @param listBytes size of the list in bytes
 * @return the wait, in milliseconds
 */
base::Milliseconds pollInterval(base::Milliseconds interval, std::size_t listBytes);

/** Polls the VM list on a thread of its own. */
class VmListPoller
{
public:
    /**
     * @param url URL of the list service
     * @param interval minimum time between two reads, in milliseconds; a long list is read less often
     * @param handler called with each result, on the polling thread
     */
    VmListPoller(std::string url, base::Milliseconds interval, std::function<void(const VmListResult &)> handler);
    ~VmListPoller();

    VmListPoller(const VmListPoller &) = delete;
    VmListPoller &operator=(const VmListPoller &) = delete;

    /** Starts polling. */
    void start();

    /** Stops polling and waits for a read in progress. */
    void stop();

private:
    void run(const std::stop_token &stop);

    const std::string m_url;
    const base::Milliseconds m_interval;
    std::function<void(const VmListResult &)> m_handler;
    std::jthread m_thread;
};

}
