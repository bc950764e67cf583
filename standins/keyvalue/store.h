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

/** Value of a key with its version; a lease of 0 means none. */
struct Entry
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

/** A write or removal that is reported to watches. */
struct Change
{
    std::string key;
    std::uint64_t version = 0;
    bool removed = false;
    std::string value;
};

/** In-memory store of versioned keys with leases and a change log. */
class Store
{
public:
    std::optional<Entry> read(const std::string &key);

    /**
     * Writes a value if the key still has the expected version and the lease exists.
     *
     * @param key key to write
     * @param value new value
     * @param expected version that the key must have; 0 if it must not exist
     * @param lease lease that removes the key when it lapses; 0 for none
     * @return whether the value was written, and the version that the key has now
     */
    std::pair<bool, std::uint64_t> write(const std::string &key, const std::string &value, std::uint64_t expected,
                                         std::uint64_t lease);

    std::uint64_t remove(const std::string &key);

    std::vector<Change> list(const std::string &prefix, const std::string &after, std::size_t limit);

    std::uint64_t openLease(std::chrono::milliseconds ttl);

    bool renewLease(std::uint64_t lease);

    /**
     * Waits for changes after a version.
     *
     * @param prefix prefix of the watched keys
     * @param after last version that the caller has seen
     * @param wait maximum time to wait
     * @return the changes, empty after the maximum time, and the current version
     */
    std::pair<std::vector<Change>, std::uint64_t> watch(const std::string &prefix, std::uint64_t after,
                                                        std::chrono::milliseconds wait);

private:
    struct Lease
    {
        std::chrono::milliseconds ttl{0};
        std::chrono::steady_clock::time_point end;
    };

    void expireLeases();
    void recordChange(const std::string &key, bool removed, const std::string &value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastLease = 0;
};

}
