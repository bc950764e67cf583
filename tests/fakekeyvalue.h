#pragma once

#include "keyvalue/keyvalue.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace briarhinge::tests
{

/** An in-memory key-value service with a selectable fault for each write. Counts requests; its leases never expire. */
class FakeKeyValue
{
public:
    /** Fault to inject into a write. */
    enum class Fault {
        None,
        /** The write takes effect but its response is lost. */
        LoseAnswer,
        /** The write does not take effect. */
        LoseRequest,
    };

    keyvalue::ReadResult read(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++reads;
        if (outage) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        const auto found = m_keys.find(key);
        if (found == m_keys.end()) {
            return keyvalue::KeyNotFound{};
        }
        return found->second;
    }

    keyvalue::WriteResult write(const std::string &key, const std::string &value, keyvalue::KeyVersion expected,
                                std::optional<keyvalue::LeaseId>)
    {
        const Fault fault = outage ? Fault::LoseRequest : nextFault();
        const std::lock_guard lock(m_mutex);
        ++writes;
        if (fault == Fault::LoseRequest) {
            return keyvalue::PlatformUnavailable{"request lost"};
        }
        const auto found = m_keys.find(key);
        const keyvalue::KeyVersion present = found == m_keys.end() ? keyvalue::KeyVersion(0) : found->second.version;
        if (present == expected) {
            m_version = keyvalue::KeyVersion(m_version.value() + 1);
            m_keys[key] = {key, value, m_version};
            m_changed.notify_all();
        }
        if (fault == Fault::LoseAnswer) {
            return keyvalue::PlatformUnavailable{"answer lost"};
        }
        if (present != expected) {
            return keyvalue::VersionConflict{present};
        }
        return m_version;
    }

    keyvalue::WriteResult remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++writes;
        m_keys.erase(key);
        return m_version;
    }

    keyvalue::ListResult list(const std::string &prefix, const std::string &after, std::size_t limit)
    {
        const std::lock_guard lock(m_mutex);
        ++reads;
        if (outage) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        std::vector<keyvalue::KeyValue> found;
        for (const auto &[key, value] : m_keys) {
            if (key.starts_with(prefix) && key > after && found.size() < limit) {
                found.push_back(value);
            }
        }
        return found;
    }

    keyvalue::LeaseResult openLease(base::Milliseconds)
    {
        return keyvalue::LeaseId(1);
    }

    keyvalue::LeaseResult renewLease(keyvalue::LeaseId lease)
    {
        return lease;
    }

    keyvalue::WatchResult watch(const std::string &prefix, keyvalue::KeyVersion after, base::Milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        ++watches;
        keyvalue::Changes changes;
        m_changed.wait_for(lock, wait, [&] {
            changes.changed.clear();
            for (const auto &[key, value] : m_keys) {
                if (key.starts_with(prefix) && value.version > after) {
                    changes.changed.push_back(value);
                }
            }
            return !changes.changed.empty() || outage;
        });
        if (outage) {
            return keyvalue::PlatformUnavailable{"outage"};
        }
        changes.version = m_version;
        return changes;
    }

    /** Called before each write to select its fault. */
    std::function<Fault()> nextFault = [] {
        return Fault::None;
    };
    std::atomic<bool> outage{false};
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, keyvalue::KeyValue> m_keys;
    keyvalue::KeyVersion m_version;
};

static_assert(keyvalue::KeyValueService<FakeKeyValue>);

}
