#include "keyvalue/store.h"

#include <algorithm>

namespace standins::keyvalue
{

namespace
{

constexpr std::size_t maxChanges = 100'000;

}

std::optional<Entry> Store::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second);
}

std::pair<bool, std::uint64_t> Store::write(const std::string &key, const std::string &value, std::uint64_t expected,
                                            std::uint64_t lease)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_entries.find(key);
    const std::uint64_t currentVersion = found == m_entries.end() ? 0 : found->second.version;
    if (currentVersion != expected || (lease != 0 && !m_leases.contains(lease))) {
        return {false, currentVersion};
    }
    recordChange(key, false, value);
    m_entries[key] = {value, m_version, lease};
    return {true, m_version};
}

std::uint64_t Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    if (m_entries.erase(key) > 0) {
        recordChange(key, true, "");
    }
    return m_version;
}

std::vector<Change> Store::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    std::vector<Change> found;
    auto at = after > prefix ? m_entries.upper_bound(after) : m_entries.lower_bound(prefix);
    for (; at != m_entries.end() && at->first.starts_with(prefix) && found.size() < limit; ++at) {
        found.push_back({at->first, at->second.version, false, at->second.value});
    }
    return found;
}

std::uint64_t Store::openLease(std::chrono::milliseconds ttl)
{
    const std::lock_guard lock(m_mutex);
    m_leases[++m_lastLease] = {ttl, std::chrono::steady_clock::now() + ttl};
    return m_lastLease;
}

bool Store::renewLease(std::uint64_t lease)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.end = std::chrono::steady_clock::now() + found->second.ttl;
    return true;
}

std::pair<std::vector<Change>, std::uint64_t> Store::watch(const std::string &prefix, std::uint64_t after,
                                                           std::chrono::milliseconds wait)
{
    constexpr std::chrono::milliseconds leaseCheckInterval{50};
    const auto end = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock(m_mutex);
    std::vector<Change> found;
    while (true) {
        expireLeases();
        for (const Change &change : m_changes) {
            if (change.version > after && change.key.starts_with(prefix)) {
                found.push_back(change);
            }
        }
        if (!found.empty() || std::chrono::steady_clock::now() >= end) {
            return {found, m_version};
        }
        m_changed.wait_for(lock, leaseCheckInterval);
    }
}

void Store::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            if (entry->second.lease == lease->first) {
                recordChange(entry->first, true, "");
                entry = m_entries.erase(entry);
            } else {
                ++entry;
            }
        }
        lease = m_leases.erase(lease);
    }
}

void Store::recordChange(const std::string &key, bool removed, const std::string &value)
{
    m_changes.push_back({key, ++m_version, removed, value});
    if (m_changes.size() > maxChanges) {
        m_changes.erase(m_changes.begin(), m_changes.begin() + maxChanges / 2);
    }
    m_changed.notify_all();
}

}
