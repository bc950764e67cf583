#pragma once

#include "keyvalue/keyvalue.h"

#include <memory>

namespace briarhinge::keyvalue
{

/** Asks the platform's key-value service by HTTP. */
class HttpKeyValue
{
public:
    /** @param url address of the service @param timeout longest wait for an answer, watches aside */
    HttpKeyValue(const std::string &url, base::Milliseconds timeout);
    ~HttpKeyValue();

    /** @param key the key @return its value */
    ReadResult read(const std::string &key);

    /**
     * Writes when the key has the expected version still.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @param expected the version it must have; 0 creates
     * @param lease the key goes with this lease
     * @return the new version
     */
    WriteResult write(const std::string &key, const std::string &value, KeyVersion expected,
                      std::optional<LeaseId> lease);

    /** @param key the key to remove @return its last version */
    WriteResult remove(const std::string &key);

    /**
     * @param prefix what the keys begin with
     * @param after only keys behind this one
     * @param limit how many at most
     * @return the keys in order
     */
    ListResult list(const std::string &prefix, const std::string &after, std::size_t limit);

    /** @param ttl time after which the lease lapses unless kept @return the lease */
    LeaseResult openLease(base::Milliseconds ttl);

    /** @param lease the lease to prolong @return the lease, or that it has lapsed */
    LeaseResult keepLease(LeaseId lease);

    /**
     * Waits for changes.
     *
     * @param prefix what the keys begin with
     * @param after only changes later than this version
     * @param wait longest wait
     * @return the changes, perhaps none
     */
    WatchResult watch(const std::string &prefix, KeyVersion after, base::Milliseconds wait);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
