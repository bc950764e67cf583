#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhinge::keyvalue
{

/** Version of a key: increased by every write, 0 if the key does not exist. */
using KeyVersion = base::StrongType<struct KeyVersionTag, std::uint64_t>;

/** Id of a lease of the key-value service. */
using LeaseId = base::StrongType<struct LeaseIdTag, std::uint64_t>;

/** A key with its value. */
struct KeyValue
{
    std::string key;
    std::string value;
    KeyVersion version;
};

/** The write was rejected because the key had another version; nothing was written. */
struct VersionConflict
{
    KeyVersion currentVersion;
};

/** The key or lease does not exist. */
struct KeyNotFound
{
};

/** The service could not be reached, or its answer was lost; a write may have taken effect. */
struct PlatformUnavailable
{
    std::string reason;
};

using ReadResult = std::variant<KeyValue, KeyNotFound, PlatformUnavailable>;
using WriteResult = std::variant<KeyVersion, VersionConflict, PlatformUnavailable>;
using ListResult = std::variant<std::vector<KeyValue>, PlatformUnavailable>;
using LeaseResult = std::variant<LeaseId, KeyNotFound, PlatformUnavailable>;

/** Result of a watch: the keys that changed, and the version from which to continue. */
struct Changes
{
    std::vector<KeyValue> changed;
    KeyVersion version;
};

using WatchResult = std::variant<Changes, PlatformUnavailable>;

/** A client of the platform's key-value service. Calls block; each counts against the service's rate limit. */
template <class T>
concept KeyValueService = requires(T &service, const std::string &key, const std::string &value, KeyVersion version,
                                   std::optional<LeaseId> lease, std::size_t limit, base::Milliseconds duration,
                                   LeaseId leaseId)
{
    {
        service.read(key)
        } -> std::same_as<ReadResult>;
    {
        service.write(key, value, version, lease)
        } -> std::same_as<WriteResult>;
    {
        service.remove(key)
        } -> std::same_as<WriteResult>;
    {
        service.list(key, key, limit)
        } -> std::same_as<ListResult>;
    {
        service.openLease(duration)
        } -> std::same_as<LeaseResult>;
    {
        service.renewLease(leaseId)
        } -> std::same_as<LeaseResult>;
    {
        service.watch(key, version, duration)
        } -> std::same_as<WatchResult>;
};

}
