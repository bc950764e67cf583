#pragma once

#include "membership/vmlist.h"

#include <functional>
#include <string>
#include <thread>

namespace briarhinge::membership
{

/**
 * How long to wait before the list is read again, so that a long list does not use up the bytes that a process may
 * spend on control.
 *
 * @param interval the least wait
 * @param listBytes size of the list
 * @return the wait
 */
base::Milliseconds readingInterval(base::Milliseconds interval, std::size_t listBytes);

/** Reads the VM list again and again on a thread of its own. */
class VmListFollower
{
public:
    /**
     * @param url address of the list
     * @param interval least time between two reads; a long list is read less often
     * @param handler gets each result
     */
    VmListFollower(std::string url, base::Milliseconds interval, std::function<void(const VmListResult &)> handler);
    ~VmListFollower();

    VmListFollower(const VmListFollower &) = delete;
    VmListFollower &operator=(const VmListFollower &) = delete;

    /** Starts to read. */
    void start();

    /** Stops; waits for a read under way. */
    void stop();

private:
    void run(const std::stop_token &stop);

    const std::string m_url;
    const base::Milliseconds m_interval;
    std::function<void(const VmListResult &)> m_handler;
    std::jthread m_thread;
};

}
