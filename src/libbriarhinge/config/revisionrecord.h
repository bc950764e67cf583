#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace briarhinge::config
{

/** Audit record of one configuration change. */
struct AuditEntry
{
    std::string who;
    base::Timestamp when;
    /** The command, such as "apply" or "rollback to 3", and the operator's message. */
    std::string what;
    base::Revision from;
    base::Revision to;
    /** Identifies this write uniquely, so that a write whose response was lost can be recognized. */
    std::string nonce;

    bool operator==(const AuditEntry &) const = default;
};

/** One revision: the declaration and its audit entry, stored as one value so that both are written atomically. */
struct RevisionRecord
{
    AuditEntry audit;
    /** JSON of the declaration. */
    std::string declaration;

    bool operator==(const RevisionRecord &) const = default;
};

/** @return the record serialized as JSON for the key-value service */
std::string encode(const RevisionRecord &record);

/**
 * @param value a value read from the key-value service
 * @return the record; no value when the text is not a valid record
 */
std::optional<RevisionRecord> decodeRecord(const std::string &value);

/** @return the time in UTC in ISO 8601 format, as in "2026-12-03T22:46:27.123Z" */
std::string formatTime(base::Timestamp time);

}
