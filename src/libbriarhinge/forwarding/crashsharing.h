#pragma once

#include "base/units.h"
#include "forwarding/crashmessages.h"
#include "keyvalue/asynckeyvalue.h"
#include "logging/eventlog.h"
#include "placement/suspecttable.h"
#include "turns/storepeers.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

/** A key-value service in which a key can be replaced whatever its version. */
template <class T>
concept ReplaceableKeyValue = requires(T &service, const std::string &text, keyvalue::WriteHandler onWritten)
{
    service.replace(text, text, std::move(onWritten));
};

/**
 * Lets all entries know each crash of a runner that any of them has seen. Must be used on one thread.
 *
 * Each crash is sent to every other entry. Only if one of them does not acknowledge it, this entry publishes its crashes
 * under a key of its own in the key-value service, which all entries watch.
 */
template <ReplaceableKeyValue Service>
class CrashSharing
{
public:
    /**
     * @param context runs the timers
     * @param peers connections to other processes
     * @param service the key-value service
     * @param entryName name of this entry
     * @param suspects receives all crashes
     * @param log receives crashes and quarantined requests
     */
    CrashSharing(boost::asio::io_context &context, turns::StorePeers &peers, Service &service,
                 const std::string &entryName, placement::SuspectTable &suspects, logging::EventLog &log)
        : m_context(context)
        , m_peers(peers)
        , m_service(service)
        , m_key(std::string(crashPrefix) + entryName)
        , m_suspects(suspects)
        , m_log(log)
        , m_publishTimer(context)
        , m_fetchTimer(context)
    {
    }

    /**
     * Sets the addresses of the other entries. The first ones that are set and answer are asked for the crashes they
     * know.
     *
     * @param addresses the addresses, in the order in which this entry prefers them
     */
    void setEntries(const std::vector<wire::Address> &addresses)
    {
        for (const wire::Address &address : addresses) {
            if (!m_entries.contains(address)) {
                m_entries.emplace(address, std::make_unique<Entry>(m_context, endSequence()));
                m_unasked.push_back(address);
            }
        }
        std::erase_if(m_entries, [&addresses](const auto &entry) {
            return std::find(addresses.begin(), addresses.end(), entry.first) == addresses.end();
        });
        fetchNext();
    }

    /**
     * Records a crash that this entry has seen and tells the others.
     *
     * @param report the crash
     */
    void publish(const placement::CrashReport &report)
    {
        record(report, "own");
        m_crashes.push_back(report);
        if (m_crashes.size() > maxOwnCrashes) {
            m_crashes.pop_front();
            ++m_firstSequence;
        }
        for (auto &[address, entry] : m_entries) {
            entry->failures = 0;
            send(address);
        }
    }

    /**
     * Handles a message of another entry.
     *
     * @param message the message
     * @return the answer; nothing if the message is of another kind
     */
    std::optional<wire::MessageUnion> handleMessage(const wire::MessageUnion &message)
    {
        wire::MessageUnion answer;
        if (const auto *reports = message.AsCrashReports()) {
            recordAll(fromMessage(*reports), "entry");
            answer.Set(wire::DoneT{});
            return answer;
        }
        if (message.AsFetchCrashes() != nullptr) {
            answer.Set(toMessage(m_suspects.reports()));
            return answer;
        }
        return std::nullopt;
    }

    /**
     * Handles what another entry has published.
     *
     * @param key the key
     * @param value its value
     */
    void applyPublished(const std::string &key, const std::string &value)
    {
        if (key == m_key && !m_crashes.empty()) {
            return;
        }
        const auto published = parseCrashes(value);
        if (!published) {
            m_log.write(logging::events::badEntry, {{"key", key}});
            return;
        }
        const auto age =
            std::chrono::system_clock::now().time_since_epoch() - base::Milliseconds(published->publishedAt);
        if (age < m_suspects.retention()) {
            recordAll(published->reports, "key-value");
        }
    }

    /** Stops all timers. */
    void stop()
    {
        m_publishTimer.cancel();
        m_fetchTimer.cancel();
        m_unasked.clear();
        m_silent.clear();
        m_entries.clear();
    }

private:
    struct Entry
    {
        Entry(boost::asio::io_context &context, std::uint64_t sequence)
            : acknowledged(sequence)
            , timer(context)
        {
        }

        /** Sequence number of the first crash that the entry has not acknowledged. */
        std::uint64_t acknowledged;
        std::size_t failures = 0;
        bool isSending = false;
        boost::asio::steady_timer timer;
    };

    static constexpr base::Milliseconds sendTimeout{500};
    static constexpr base::Milliseconds retryDelay{500};
    /** An entry that is away for longer reads what was published when it is back. */
    static constexpr std::size_t maxFailures = 10;
    static constexpr std::size_t maxFetches = 3;
    /** Rounds in which entries that did not answer are asked again: they may be starting as well. */
    static constexpr int maxFetchRounds = 10;
    static constexpr std::size_t maxOwnCrashes = 256;
    /** Bounds the published value, at some 120 bytes a request, well below the 1 MB of the service. */
    static constexpr std::size_t maxPublishedRequests = 4000;
    /** Collects the crashes of one moment into one write. */
    static constexpr base::Milliseconds publishDelay{50};

    /** @return the sequence number behind the last crash that this entry has seen */
    std::uint64_t endSequence() const
    {
        return m_firstSequence + m_crashes.size();
    }

    void recordAll(const std::vector<placement::CrashReport> &reports, const std::string &source)
    {
        for (const placement::CrashReport &report : reports) {
            record(report, source);
        }
    }

    void record(const placement::CrashReport &report, const std::string &source)
    {
        if (!m_suspects.knows(report.crash)) {
            m_log.write(logging::events::crashRecorded,
                        {{"runner", report.crash.runner},
                         {"started", report.crash.startedAt},
                         {"ordinal", report.crash.ordinal},
                         {"requests", report.requests.size()},
                         {"source", source}});
        }
        for (const base::Digest &digest : m_suspects.recordCrash(report, std::chrono::steady_clock::now())) {
            m_log.write(logging::events::digestQuarantined,
                        {{"digest", digest.value()}, {"crashes", m_suspects.crashCount(digest)}});
        }
    }

    /** Asks entries until enough have answered or are being asked. */
    void fetchNext()
    {
        while (m_fetches < maxFetches && !m_unasked.empty()) {
            const wire::Address address = m_unasked.front();
            m_unasked.pop_front();
            if (m_entries.contains(address)) {
                fetch(address);
            }
        }
    }

    void fetch(const wire::Address &address)
    {
        ++m_fetches;
        wire::MessageUnion message;
        message.Set(wire::FetchCrashesT{});
        m_peers.sendRequest(address, std::move(message), sendTimeout, [this, address](const wire::ChannelReply &reply) {
            const auto *frame = std::get_if<wire::FrameT>(&reply);
            const auto *reports = frame == nullptr ? nullptr : frame->message.AsCrashReports();
            if (reports == nullptr) {
                --m_fetches;
                m_silent.push_back(address);
                scheduleFetchRound();
                fetchNext();
                return;
            }
            recordAll(fromMessage(*reports), "entry");
        });
    }

    void scheduleFetchRound()
    {
        if (m_isFetchRoundScheduled || m_fetchRounds >= maxFetchRounds) {
            return;
        }
        m_isFetchRoundScheduled = true;
        ++m_fetchRounds;
        m_fetchTimer.expires_after(retryDelay);
        m_fetchTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_isFetchRoundScheduled = false;
                m_unasked.insert(m_unasked.end(), m_silent.begin(), m_silent.end());
                m_silent.clear();
                fetchNext();
            }
        });
    }

    void send(const wire::Address &address)
    {
        const auto found = m_entries.find(address);
        const std::uint64_t end = endSequence();
        if (found == m_entries.end() || found->second->isSending || found->second->acknowledged >= end) {
            return;
        }
        Entry &entry = *found->second;
        entry.isSending = true;
        const std::uint64_t begin = std::max(entry.acknowledged, m_firstSequence);
        const std::vector<placement::CrashReport> unacknowledged(
            m_crashes.begin() + static_cast<std::ptrdiff_t>(begin - m_firstSequence), m_crashes.end());
        wire::MessageUnion message;
        message.Set(toMessage(unacknowledged));
        m_peers.sendRequest(address, std::move(message), sendTimeout,
                            [this, address, end](const wire::ChannelReply &reply) {
                                sent(address, end, std::holds_alternative<wire::FrameT>(reply));
                            });
    }

    void sent(const wire::Address &address, std::uint64_t end, bool isAcknowledged)
    {
        const auto found = m_entries.find(address);
        if (found == m_entries.end()) {
            return;
        }
        Entry &entry = *found->second;
        entry.isSending = false;
        if (isAcknowledged) {
            entry.acknowledged = end;
            entry.failures = 0;
            send(address);
            return;
        }
        schedulePublishing(publishDelay);
        if (++entry.failures >= maxFailures) {
            return;
        }
        entry.timer.expires_after(retryDelay);
        entry.timer.async_wait([this, address](const boost::system::error_code &error) {
            if (!error) {
                send(address);
            }
        });
    }

    void schedulePublishing(base::Milliseconds delay)
    {
        const std::uint64_t end = endSequence();
        if (m_isPublishing || m_publishedSequence == end) {
            return;
        }
        m_isPublishing = true;
        m_publishTimer.expires_after(delay);
        m_publishTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                writePublished();
            }
        });
    }

    void writePublished()
    {
        PublishedCrashes published;
        published.publishedAt =
            std::chrono::duration_cast<base::Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        std::size_t requests = 0;
        for (auto report = m_crashes.rbegin(); report != m_crashes.rend(); ++report) {
            requests += report->requests.size();
            if (requests > maxPublishedRequests) {
                break;
            }
            published.reports.push_back(*report);
        }
        const std::uint64_t end = endSequence();
        m_service.replace(m_key, formatCrashes(published), [this, end](const keyvalue::WriteResult &result) {
            m_isPublishing = false;
            if (std::holds_alternative<keyvalue::KeyVersion>(result)) {
                m_publishedSequence = end;
                schedulePublishing(publishDelay);
                return;
            }
            m_log.write(logging::events::platformUnavailable, {{"reason", "failed to publish crashes of runners"}});
            schedulePublishing(retryDelay);
        });
    }

    boost::asio::io_context &m_context;
    turns::StorePeers &m_peers;
    Service &m_service;
    /** Key under which this entry publishes. */
    const std::string m_key;
    placement::SuspectTable &m_suspects;
    logging::EventLog &m_log;
    std::map<wire::Address, std::unique_ptr<Entry>> m_entries;
    /** The latest crashes that this entry has seen itself. */
    std::deque<placement::CrashReport> m_crashes;
    /** Sequence number of the first of them. */
    std::uint64_t m_firstSequence = 0;
    /** Sequence number behind the last crash that was published. */
    std::uint64_t m_publishedSequence = 0;
    /** Entries that have not been asked for the crashes they know, and those that did not answer. */
    std::deque<wire::Address> m_unasked;
    std::deque<wire::Address> m_silent;
    /** Number of entries that have answered or are being asked. */
    std::size_t m_fetches = 0;
    int m_fetchRounds = 0;
    bool m_isFetchRoundScheduled = false;
    bool m_isPublishing = false;
    boost::asio::steady_timer m_publishTimer;
    boost::asio::steady_timer m_fetchTimer;
};

}
