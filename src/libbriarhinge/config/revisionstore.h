#pragma once

#include "config/revisionrecord.h"
#include "keyvalue/keyvalue.h"

#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace briarhinge::config
{

/** Key of the latest accepted revision. */
inline constexpr const char *headKey = "config/head";

/** Key prefix of archived revisions. */
inline constexpr const char *revisionPrefix = "config/revisions/";

/** @return the key that a revision is archived under once it is replaced; keys sort in revision order */
std::string revisionKey(base::Revision revision);

/** A new configuration submitted by an operator. */
struct Proposal
{
    std::string who;
    std::string what;
    base::Timestamp when;
    /** The revision that the proposal replaces; 0 when there is none yet. */
    base::Revision expected;
    /** Unique for each proposal, which makes retries idempotent: a proposal takes effect at most once. */
    std::string nonce;
    std::string declaration;
};

/** No revision has ever been accepted. */
struct NoConfiguration
{
};

/** The value of a configuration key is not a valid revision record. */
struct CorruptRecord
{
    std::string key;
};

/** The platform's key-value service is unavailable. */
struct StoreUnavailable
{
    std::string reason;
};

/** The proposal was accepted as this revision. */
struct Accepted
{
    base::Revision revision;
    /** Whether the response to the write was lost and the result was confirmed by reading the revision. */
    bool wasReadBack = false;
};

/** The expected revision is not the head, usually because of a concurrent change; the proposal had no effect. */
struct Conflict
{
    /** The accepted revision that the proposal conflicts with, normally the head; empty if it could not be read. */
    RevisionRecord winner;
};

/** The outcome is unknown. Retry the proposal with the same nonce. */
struct Unresolved
{
    std::string reason;
};

/** The latest accepted revision, with its version in the key-value service. */
struct Head
{
    RevisionRecord record;
    keyvalue::KeyVersion version;
};

using HeadResult = std::variant<Head, NoConfiguration, CorruptRecord, StoreUnavailable>;
using RevisionResult = std::variant<RevisionRecord, NoConfiguration, CorruptRecord, StoreUnavailable>;
using HistoryResult = std::variant<std::vector<RevisionRecord>, CorruptRecord, StoreUnavailable>;
using ProposalResult = std::variant<Accepted, Conflict, Unresolved, CorruptRecord, StoreUnavailable>;

/**
 * Stores every revision of the configuration in the platform's key-value service.
 *
 * The head key contains the complete latest revision with its audit entry and is replaced by compare-and-swap. Before
 * the head is replaced, its value is archived under a separate key by create-if-absent. Thus a revision and its audit
 * entry become visible atomically, and every revision from 1 to the head is readable at any time.
 */
template <keyvalue::KeyValueService KeyValueT>
class RevisionStore
{
public:
    using Sleep = std::function<void(base::Milliseconds)>;

    /**
     * @param keyValue the key-value service
     * @param sleep blocks the calling thread between attempts
     */
    explicit RevisionStore(KeyValueT &keyValue, Sleep sleep = std::this_thread::sleep_for<std::int64_t, std::milli>)
        : m_keyValue(keyValue)
        , m_sleep(std::move(sleep))
    {
    }

    /** @return the latest accepted revision */
    HeadResult head()
    {
        return readRecord(headKey);
    }

    /**
     * @param revision number of an accepted revision
     * @return its record
     */
    RevisionResult revision(base::Revision revision)
    {
        const HeadResult current = head();
        const auto *found = std::get_if<Head>(&current);
        if (found == nullptr) {
            return convertFailure<RevisionResult>(current);
        }
        if (found->record.audit.to == revision) {
            return found->record;
        }
        return readArchived(revision);
    }

    /** @return all revisions, oldest first */
    HistoryResult history()
    {
        constexpr std::size_t pageSize = 16;
        // The head is read first so that a revision accepted during the listing can't leave a gap.
        const HeadResult current = head();
        const auto *found = std::get_if<Head>(&current);
        if (std::holds_alternative<NoConfiguration>(current)) {
            return std::vector<RevisionRecord>{};
        }
        if (found == nullptr) {
            return convertFailure<HistoryResult>(current);
        }
        std::vector<RevisionRecord> records;
        std::string after;
        while (true) {
            const keyvalue::ListResult page = m_keyValue.list(revisionPrefix, after, pageSize);
            if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&page)) {
                return StoreUnavailable{unavailable->reason};
            }
            const auto &keys = std::get<std::vector<keyvalue::KeyValue>>(page);
            for (const keyvalue::KeyValue &key : keys) {
                auto record = decodeRecord(key.value);
                if (!record) {
                    return CorruptRecord{key.key};
                }
                if (record->audit.to < found->record.audit.to) {
                    records.push_back(std::move(*record));
                }
                after = key.key;
            }
            if (keys.size() < pageSize) {
                break;
            }
        }
        records.push_back(found->record);
        return records;
    }

    /**
     * Submits a new revision, retrying while the key-value service is unavailable.
     *
     * @param proposal the new revision; accepted only if its expected revision is still the head
     * @return the accepted revision, the revision that it conflicts with, or an error
     */
    ProposalResult propose(const Proposal &proposal)
    {
        std::string reason;
        bool mayHaveWritten = false;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            if (attempt > 0) {
                m_sleep(retryDelay);
            }
            const AttemptResult result = attemptProposal(proposal, mayHaveWritten);
            if (const auto *finalResult = std::get_if<ProposalResult>(&result)) {
                return *finalResult;
            }
            reason = std::get<RetryNeeded>(result).reason;
        }
        if (mayHaveWritten) {
            return Unresolved{reason};
        }
        return StoreUnavailable{reason};
    }

private:
    static constexpr int maxAttempts = 20;
    static constexpr base::Milliseconds retryDelay{250};

    struct RetryNeeded
    {
        std::string reason;
    };

    using AttemptResult = std::variant<ProposalResult, RetryNeeded>;

    template <class Result, class Current>
    static Result convertFailure(const Current &current)
    {
        if (const auto *corrupt = std::get_if<CorruptRecord>(&current)) {
            return *corrupt;
        }
        if constexpr (std::is_constructible_v<Result, NoConfiguration>) {
            if (std::holds_alternative<NoConfiguration>(current)) {
                return NoConfiguration{};
            }
        }
        return std::get<StoreUnavailable>(current);
    }

    /** Makes one attempt. It reads the head first, which detects a previous write whose response was lost. */
    AttemptResult attemptProposal(const Proposal &proposal, bool &mayHaveWritten)
    {
        const HeadResult current = head();
        if (const auto *unavailable = std::get_if<StoreUnavailable>(&current)) {
            return RetryNeeded{unavailable->reason};
        }
        if (const auto *corrupt = std::get_if<CorruptRecord>(&current)) {
            return ProposalResult(*corrupt);
        }
        const auto *found = std::get_if<Head>(&current);
        const base::Revision revision = found == nullptr ? base::Revision(0) : found->record.audit.to;
        if (revision != proposal.expected) {
            return resolveStaleProposal(proposal, revision);
        }
        if (found != nullptr) {
            const auto archived = archiveHead(*found);
            if (const auto *failed = std::get_if<RetryNeeded>(&archived)) {
                return *failed;
            }
        }
        return replaceHead(proposal, found == nullptr ? keyvalue::KeyVersion(0) : found->version, mayHaveWritten);
    }

    /**
     * Handles an expected revision that is not the head: its successor is this proposal, written by an earlier
     * attempt, or another one, or the expected revision does not exist.
     */
    AttemptResult resolveStaleProposal(const Proposal &proposal, base::Revision current)
    {
        if (current < proposal.expected) {
            const RevisionResult latest = revision(current);
            if (const auto *record = std::get_if<RevisionRecord>(&latest)) {
                return ProposalResult(Conflict{*record});
            }
            return ProposalResult(Conflict{});
        }
        const base::Revision next(proposal.expected.value() + 1);
        const RevisionResult successor = revision(next);
        if (const auto *unavailable = std::get_if<StoreUnavailable>(&successor)) {
            return RetryNeeded{unavailable->reason};
        }
        const auto *record = std::get_if<RevisionRecord>(&successor);
        if (record == nullptr) {
            return ProposalResult(CorruptRecord{revisionKey(next)});
        }
        if (record->audit.nonce == proposal.nonce) {
            return ProposalResult(Accepted{next, true});
        }
        const RevisionResult latest = revision(current);
        const auto *winner = std::get_if<RevisionRecord>(&latest);
        return ProposalResult(Conflict{winner == nullptr ? *record : *winner});
    }

    /** Archives the head under its revision key. An existing key is no error, as its value can't differ. */
    std::variant<std::monostate, RetryNeeded> archiveHead(const Head &current)
    {
        const keyvalue::WriteResult archived =
            m_keyValue.write(revisionKey(current.record.audit.to), encode(current.record), keyvalue::KeyVersion(0), {});
        if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&archived)) {
            return RetryNeeded{unavailable->reason};
        }
        return std::monostate{};
    }

    AttemptResult replaceHead(const Proposal &proposal, keyvalue::KeyVersion version, bool &mayHaveWritten)
    {
        const base::Revision next(proposal.expected.value() + 1);
        const RevisionRecord record{
            {proposal.who, proposal.when, proposal.what, proposal.expected, next, proposal.nonce},
            proposal.declaration};
        const keyvalue::WriteResult written = m_keyValue.write(headKey, encode(record), version, {});
        if (std::holds_alternative<keyvalue::KeyVersion>(written)) {
            return ProposalResult(Accepted{next, false});
        }
        if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&written)) {
            mayHaveWritten = true;
            return RetryNeeded{unavailable->reason};
        }
        return RetryNeeded{"the head was replaced concurrently"};
    }

    RevisionResult readArchived(base::Revision revision)
    {
        const HeadResult read = readRecord(revisionKey(revision));
        if (const auto *archived = std::get_if<Head>(&read)) {
            return archived->record;
        }
        return convertFailure<RevisionResult>(read);
    }

    /**
     * @param key the head key or the key of an archived revision
     * @return the record with the version of its key
     */
    HeadResult readRecord(const std::string &key)
    {
        const keyvalue::ReadResult read = m_keyValue.read(key);
        if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&read)) {
            return StoreUnavailable{unavailable->reason};
        }
        const auto *value = std::get_if<keyvalue::KeyValue>(&read);
        if (value == nullptr) {
            return NoConfiguration{};
        }
        const auto record = decodeRecord(value->value);
        if (!record) {
            return CorruptRecord{key};
        }
        return Head{*record, value->version};
    }

    KeyValueT &m_keyValue;
    Sleep m_sleep;
};

}
