#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace briarhinge::config
{

/** Who changed the configuration, when, what and from which revision to which. */
struct AuditEntry
{
    std::string who;
    base::Timestamp when;
    /** The command, as "apply" or "rollback to 3", and its message. */
    std::string what;
    base::Revision from;
    base::Revision to;
    /** Tells this write from any other; a lost answer is resolved by it. */
    std::string nonce;

    bool operator==(const AuditEntry &) const = default;
};

/** One revision: the declaration and its audit entry, written as one value so that neither is without the other. */
struct RevisionRecord
{
    AuditEntry audit;
    /** JSON of the declaration. */
    std::string declaration;

    bool operator==(const RevisionRecord &) const = default;
};

/** @return the record as the value of a key */
std::string encode(const RevisionRecord &record);

/** @param value the value of a key @return the record; nothing when the value is none */
std::optional<RevisionRecord> decodeRecord(const std::string &value);

/** @return the time as "2026-12-03T22:46:27.123Z" */
std::string formatTime(base::Timestamp time);

}
