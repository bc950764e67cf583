#pragma once

#include "keyvalue/keyvalue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace briarhinge::tests
{

/** An in-memory key-value service with leases. The test controls outages, lost responses, slow writes and expiry. */
class MemoryKeyValue
{
public:
    /** While set, all requests fail without taking effect. */
    void setOutage(bool isUnavailable)
    {
        const std::lock_guard lock(m_mutex);
        m_isUnavailable = isUnavailable;
    }

    /** Makes the next @p count writes take effect but lose their responses. */
    void loseAnswers(int count)
    {
        const std::lock_guard lock(m_mutex);
        m_answersToLose = count;
    }

    /** While set, writes block as with a slow service. */
    void blockWrites(bool areBlocked)
    {
        const std::lock_guard lock(m_mutex);
        m_areWritesBlocked = areBlocked;
        m_changed.notify_all();
    }

    /** Expires the lease of a key and removes the key, even if the lease is being renewed. */
    void expireLease(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_leases.erase(m_keyLeases[key].value());
        m_keys.erase(key);
    }

    /** @return the number of writes that reached the service */
    int writes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_writes;
    }

    std::map<std::string, std::string> snapshot() const
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::string> values;
        for (const auto &[key, stored] : m_keys) {
            values[key] = stored.value;
        }
        return values;
    }

    keyvalue::ReadResult read(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        const auto found = m_keys.find(key);
        if (found == m_keys.end()) {
            return keyvalue::KeyNotFound{};
        }
        return found->second;
    }

    keyvalue::WriteResult write(const std::string &key, const std::string &value, keyvalue::KeyVersion expected,
                                std::optional<keyvalue::LeaseId> lease)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] {
            return !m_areWritesBlocked;
        });
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        ++m_writes;
        const auto found = m_keys.find(key);
        const keyvalue::KeyVersion present = found == m_keys.end() ? keyvalue::KeyVersion(0) : found->second.version;
        if (present == expected) {
            m_keys[key] = {key, value, keyvalue::KeyVersion(++m_version)};
        }
        if (lease) {
            m_keyLeases[key] = *lease;
        }
        if (m_answersToLose > 0) {
            --m_answersToLose;
            return keyvalue::PlatformUnavailable{"answer lost"};
        }
        if (present != expected) {
            return keyvalue::VersionConflict{present};
        }
        return keyvalue::KeyVersion(m_version);
    }

    keyvalue::WriteResult remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        ++m_writes;
        m_keys.erase(key);
        return keyvalue::KeyVersion(m_version);
    }

    keyvalue::ListResult list(const std::string &prefix, const std::string &after, std::size_t limit)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        std::vector<keyvalue::KeyValue> found;
        for (const auto &[key, stored] : m_keys) {
            if (key.starts_with(prefix) && key > after && found.size() < limit) {
                found.push_back(stored);
            }
        }
        return found;
    }

    keyvalue::LeaseResult openLease(base::Milliseconds)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        m_leases.insert(++m_lastLease);
        return keyvalue::LeaseId(m_lastLease);
    }

    keyvalue::LeaseResult renewLease(keyvalue::LeaseId lease)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        if (!m_leases.contains(lease.value())) {
            return keyvalue::KeyNotFound{};
        }
        return lease;
    }

    keyvalue::WatchResult watch(const std::string &prefix, keyvalue::KeyVersion after, base::Milliseconds)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isUnavailable) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        keyvalue::Changes changes{{}, keyvalue::KeyVersion(m_version)};
        for (const auto &[key, stored] : m_keys) {
            if (key.starts_with(prefix) && stored.version > after) {
                changes.changed.push_back(stored);
            }
        }
        return changes;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, keyvalue::KeyValue> m_keys;
    std::map<std::string, keyvalue::LeaseId> m_keyLeases;
    std::set<std::uint64_t> m_leases;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastLease = 0;
    int m_answersToLose = 0;
    int m_writes = 0;
    bool m_isUnavailable = false;
    bool m_areWritesBlocked = false;
};

}
