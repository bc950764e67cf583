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
struct BrokenRecord
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
struct LostRace
{
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

using HeadResult = std::variant<Head, NoConfiguration, BrokenRecord, StoreUnavailable>;
using RevisionResult = std::variant<RevisionRecord, NoConfiguration, BrokenRecord, StoreUnavailable>;
using HistoryResult = std::variant<std::vector<RevisionRecord>, BrokenRecord, StoreUnavailable>;
using ProposalResult = std::variant<Accepted, LostRace, Unresolved, BrokenRecord, StoreUnavailable>;

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
        const HeadResult present = head();
        const auto *found = std::get_if<Head>(&present);
        if (found == nullptr) {
            return withoutHead<RevisionResult>(present);
        }
        if (found->record.audit.to == revision) {
            return found->record;
        }
        return readKept(revision);
    }

    /** @return all revisions, oldest first */
    HistoryResult history()
    {
        constexpr std::size_t pageSize = 16;
        // The head is read first so that a revision accepted during the listing can't leave a gap.
        const HeadResult present = head();
        const auto *found = std::get_if<Head>(&present);
        if (std::holds_alternative<NoConfiguration>(present)) {
            return std::vector<RevisionRecord>{};
        }
        if (found == nullptr) {
            return withoutHead<HistoryResult>(present);
        }
        std::vector<RevisionRecord> records;
        std::string after;
        while (true) {
            const keyvalue::ListResult page = m_keyValue.list(revisionPrefix, after, pageSize);
            if (const auto *lost = std::get_if<keyvalue::PlatformUnavailable>(&page)) {
                return StoreUnavailable{lost->reason};
            }
            const auto &keys = std::get<std::vector<keyvalue::KeyValue>>(page);
            for (const keyvalue::KeyValue &key : keys) {
                auto record = decodeRecord(key.value);
                if (!record) {
                    return BrokenRecord{key.key};
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
            const Attempt result = tryOnce(proposal, mayHaveWritten);
            if (const auto *ended = std::get_if<ProposalResult>(&result)) {
                return *ended;
            }
            reason = std::get<TryAgain>(result).reason;
        }
        if (mayHaveWritten) {
            return Unresolved{reason};
        }
        return StoreUnavailable{reason};
    }

private:
    static constexpr int maxAttempts = 20;
    static constexpr base::Milliseconds retryDelay{250};

    struct TryAgain
    {
        std::string reason;
    };

    using Attempt = std::variant<ProposalResult, TryAgain>;

    template <class Result, class Present>
    static Result withoutHead(const Present &present)
    {
        if (const auto *broken = std::get_if<BrokenRecord>(&present)) {
            return *broken;
        }
        if constexpr (std::is_constructible_v<Result, NoConfiguration>) {
            if (std::holds_alternative<NoConfiguration>(present)) {
                return NoConfiguration{};
            }
        }
        return std::get<StoreUnavailable>(present);
    }

    /** Makes one attempt. It reads the head first, which detects a previous write whose response was lost. */
    Attempt tryOnce(const Proposal &proposal, bool &mayHaveWritten)
    {
        const HeadResult present = head();
        if (const auto *lost = std::get_if<StoreUnavailable>(&present)) {
            return TryAgain{lost->reason};
        }
        if (const auto *broken = std::get_if<BrokenRecord>(&present)) {
            return ProposalResult(*broken);
        }
        const auto *found = std::get_if<Head>(&present);
        const base::Revision revision = found == nullptr ? base::Revision(0) : found->record.audit.to;
        if (revision != proposal.expected) {
            return alreadyDecided(proposal, revision);
        }
        if (found != nullptr) {
            const auto kept = keep(*found);
            if (const auto *failed = std::get_if<TryAgain>(&kept)) {
                return *failed;
            }
        }
        return replaceHead(proposal, found == nullptr ? keyvalue::KeyVersion(0) : found->version, mayHaveWritten);
    }

    /**
     * Handles an expected revision that is not the head: its successor is this proposal, written by an earlier
     * attempt, or another one, or the expected revision does not exist.
     */
    Attempt alreadyDecided(const Proposal &proposal, base::Revision present)
    {
        if (present < proposal.expected) {
            const RevisionResult latest = revision(present);
            if (const auto *record = std::get_if<RevisionRecord>(&latest)) {
                return ProposalResult(LostRace{*record});
            }
            return ProposalResult(LostRace{});
        }
        const base::Revision next(proposal.expected.value() + 1);
        const RevisionResult successor = revision(next);
        if (const auto *lost = std::get_if<StoreUnavailable>(&successor)) {
            return TryAgain{lost->reason};
        }
        const auto *record = std::get_if<RevisionRecord>(&successor);
        if (record == nullptr) {
            return ProposalResult(BrokenRecord{revisionKey(next)});
        }
        if (record->audit.nonce == proposal.nonce) {
            return ProposalResult(Accepted{next, true});
        }
        const RevisionResult latest = revision(present);
        const auto *winner = std::get_if<RevisionRecord>(&latest);
        return ProposalResult(LostRace{winner == nullptr ? *record : *winner});
    }

    /** Archives the head under its revision key. An existing key is no error, as its value can't differ. */
    std::variant<std::monostate, TryAgain> keep(const Head &present)
    {
        const keyvalue::WriteResult kept =
            m_keyValue.write(revisionKey(present.record.audit.to), encode(present.record), keyvalue::KeyVersion(0), {});
        if (const auto *lost = std::get_if<keyvalue::PlatformUnavailable>(&kept)) {
            return TryAgain{lost->reason};
        }
        return std::monostate{};
    }

    Attempt replaceHead(const Proposal &proposal, keyvalue::KeyVersion version, bool &mayHaveWritten)
    {
        const base::Revision next(proposal.expected.value() + 1);
        const RevisionRecord record{
            {proposal.who, proposal.when, proposal.what, proposal.expected, next, proposal.nonce},
            proposal.declaration};
        const keyvalue::WriteResult written = m_keyValue.write(headKey, encode(record), version, {});
        if (std::holds_alternative<keyvalue::KeyVersion>(written)) {
            return ProposalResult(Accepted{next, false});
        }
        if (const auto *lost = std::get_if<keyvalue::PlatformUnavailable>(&written)) {
            mayHaveWritten = true;
            return TryAgain{lost->reason};
        }
        return TryAgain{"the head was replaced concurrently"};
    }

    RevisionResult readKept(base::Revision revision)
    {
        const HeadResult read = readRecord(revisionKey(revision));
        if (const auto *kept = std::get_if<Head>(&read)) {
            return kept->record;
        }
        return withoutHead<RevisionResult>(read);
    }

    /**
     * @param key the head key or the key of an archived revision
     * @return the record with the version of its key
     */
    HeadResult readRecord(const std::string &key)
    {
        const keyvalue::ReadResult read = m_keyValue.read(key);
        if (const auto *lost = std::get_if<keyvalue::PlatformUnavailable>(&read)) {
            return StoreUnavailable{lost->reason};
        }
        const auto *value = std::get_if<keyvalue::KeyValue>(&read);
        if (value == nullptr) {
            return NoConfiguration{};
        }
        const auto record = decodeRecord(value->value);
        if (!record) {
            return BrokenRecord{key};
        }
        return Head{*record, value->version};
    }

    KeyValueT &m_keyValue;
    Sleep m_sleep;
};

}
