#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standins::keyvalue
{

/** A key as the store holds it. */
struct Entry
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

/** A change that a watch may see. */
struct Change
{
    std::string key;
    std::uint64_t version = 0;
    bool removed = false;
    std::string value;
};

/** Keys with versions, leases and a log of changes, in memory. */
class Store
{
public:
    std::optional<Entry> read(const std::string &key);

    /** @return whether it was written, and the version that the key has now */
    std::pair<bool, std::uint64_t> write(const std::string &key, const std::string &value, std::uint64_t expected,
                                         std::uint64_t lease);

    std::uint64_t remove(const std::string &key);

    std::vector<Change> list(const std::string &prefix, const std::string &after, std::size_t limit);

    std::uint64_t openLease(std::chrono::milliseconds ttl);

    bool keepLease(std::uint64_t lease);

    /** Waits for changes behind a version. @return the changes and the version seen */
    std::pair<std::vector<Change>, std::uint64_t> watch(const std::string &prefix, std::uint64_t after,
                                                        std::chrono::milliseconds wait);

private:
    struct Lease
    {
        std::chrono::milliseconds ttl{0};
        std::chrono::steady_clock::time_point end;
    };

    void expireLeases();
    void note(const std::string &key, bool removed, const std::string &value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastLease = 0;
};

}
