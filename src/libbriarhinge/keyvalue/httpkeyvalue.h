#pragma once

#include "keyvalue/keyvalue.h"

#include <memory>

namespace briarhinge::keyvalue
{

/** HTTP client of the platform's key-value service. Satisfies KeyValueService. */
class HttpKeyValue
{
public:
    /**
     * @param url the URL of the service
     * @param timeout the timeout of a call; that of a watch is longer by its wait
     */
    HttpKeyValue(const std::string &url, base::Milliseconds timeout);
    ~HttpKeyValue();

    /**
     * Reads a key.
     *
     * @param key the key
     * @return its value, or why there is none
     */
    ReadResult read(const std::string &key);

    /**
     * Writes a key if it still has the expected version.
     *
     * @param key the key
     * @param value the new value, at most 1 MB
     * @param expected the version that the key must have; 0 if it must not exist
     * @param lease the lease with which the key expires, if any
     * @return the new version, the conflict or the failure
     */
    WriteResult write(const std::string &key, const std::string &value, KeyVersion expected,
                      std::optional<LeaseId> lease);

    /**
     * Removes a key.
     *
     * @param key the key
     * @return the last version of the key, or the failure
     */
    WriteResult remove(const std::string &key);

    /**
     * Lists keys with their values.
     *
     * @param prefix the prefix of the keys
     * @param after the key after which the listing starts
     * @param limit maximum number of keys
     * @return the keys in ascending order, or the failure
     */
    ListResult list(const std::string &prefix, const std::string &after, std::size_t limit);

    /**
     * Opens a lease.
     *
     * @param ttl the time after which the lease expires unless it is renewed
     * @return the lease, or the failure
     */
    LeaseResult openLease(base::Milliseconds ttl);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return the lease, KeyNotFound if it has expired, or the failure
     */
    LeaseResult renewLease(LeaseId lease);

    /**
     * Waits for changes with a long poll.
     *
     * @param prefix the prefix of the keys
     * @param after the version after which changes are reported
     * @param wait how long the service waits for a first change
     * @return the changes, which may be none, or the failure
     */
    WatchResult watch(const std::string &prefix, KeyVersion after, base::Milliseconds wait);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
