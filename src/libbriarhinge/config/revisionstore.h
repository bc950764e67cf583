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

/** The key of the revision that is accepted last. */
inline constexpr const char *headKey = "config/head";

/** What the keys of replaced revisions begin with. */
inline constexpr const char *revisionPrefix = "config/revisions/";

/** @return the key under which a revision is kept once another has replaced it; keys sort like revisions */
std::string revisionKey(base::Revision revision);

/** A new configuration that an operator wants. */
struct Proposal
{
    std::string who;
    std::string what;
    base::Timestamp when;
    /** The revision that it is based on; 0 when there is none yet. */
    base::Revision expected;
    /** Unique for each proposal; the same proposal may be put again and takes effect at most once. */
    std::string nonce;
    std::string declaration;
};

/** No revision was ever accepted. */
struct NoConfiguration
{
};

/** A value under one of the configuration's keys is not a revision record. */
struct BrokenRecord
{
    std::string key;
};

/** The platform's service does not answer. */
struct StoreUnavailable
{
    std::string reason;
};

/** The proposal is the given revision now. */
struct Accepted
{
    base::Revision revision;
    /** Whether an answer was lost on the way and the revision read back. */
    bool wasReadBack = false;
};

/** Another operator was first; nothing of the proposal took effect. */
struct LostRace
{
    RevisionRecord winner;
};

/** Whether the proposal took effect is not known: put it again with the same nonce. */
struct Unresolved
{
    std::string reason;
};

/** The accepted head, with its version of the key-value service. */
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
 * Keeps every revision of the configuration in the platform's key-value service.
 *
 * The head holds the whole latest revision, audit entry included, and is replaced by compare-and-swap. Before it is
 * replaced its value is kept under a key of its own by create-if-absent. So a revision and its audit entry appear at
 * once or not at all, and at every moment each revision from 1 up to the head can be read.
 */
template <keyvalue::KeyValueService KeyValueT>
class RevisionStore
{
public:
    using Sleep = std::function<void(base::Milliseconds)>;

    /** @param keyValue the service @param sleep waits between attempts */
    explicit RevisionStore(KeyValueT &keyValue, Sleep sleep = std::this_thread::sleep_for<std::int64_t, std::milli>)
        : m_keyValue(keyValue)
        , m_sleep(std::move(sleep))
    {
    }

    /** @return the accepted revision */
    HeadResult head()
    {
        return readRecord(headKey);
    }

    /** @param revision one that was accepted @return its record */
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

    /** @return every revision, the oldest first */
    HistoryResult history()
    {
        constexpr std::size_t pageSize = 16;
        // The head is read first: a revision that is accepted meanwhile can't make a gap.
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
     * Puts a new revision.
     *
     * @param proposal the revision; taken only if its expected revision is still the head
     * @return whether it is in the history now, or who was first
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

    /** One attempt; every one looks at the head first, so that a lost answer of the one before is found out. */
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

    /** The expected revision has a successor or never was: it is this proposal's own, or another's. */
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

    /** Keeps the head under a key of its own. That it is there already is as good: its value can't differ. */
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
        return TryAgain{"the head was replaced at the same time"};
    }

    RevisionResult readKept(base::Revision revision)
    {
        const HeadResult read = readRecord(revisionKey(revision));
        if (const auto *kept = std::get_if<Head>(&read)) {
            return kept->record;
        }
        return withoutHead<RevisionResult>(read);
    }

    /** @param key the head or a kept revision @return its record with the key's version */
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
