#pragma once

#include "keyvalue/keyvalue.h"
#include "service/concepts.h"
#include "state/logkeys.h"
#include "state/recordcodec.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace briarhinge::state
{

/** Write parameters of a log. */
struct LogSettings
{
    /** Maximum time for which a deferred record waits to be written together with others. */
    base::Milliseconds flushInterval{2000};
    /** Delay before an unconfirmed write is retried. */
    base::Milliseconds retryInterval{500};
    /** Maximum size of the records in one value, in bytes. The service accepts values of up to 1 MB. */
    std::size_t maxBatchBytes = std::size_t{900} * 1024;
};

/**
 * The durable log of one incarnation of an entry, stored in the platform's key-value service.
 *
 * Each log position is a key that is created exactly once. If another process has created the next position, it has
 * sealed the log: this incarnation is superseded and stores nothing more. Only one write is in flight at a time, so
 * records are stored in the order of the appends and at most one position is in doubt.
 */
template <keyvalue::KeyValueService KeyValueT>
class KeyValueLog
{
public:
    /** Runs a function on a thread of the process. */
    using Executor = std::function<void(std::function<void()>)>;

    /**
     * @param service the platform's key-value service; must outlive the log
     * @param incarnation the incarnation that owns the log
     * @param settings the write parameters
     * @param execute runs the store handlers and the @p onSuperseded callback
     * @param onSuperseded called once when another entry has sealed the log
     */
    KeyValueLog(KeyValueT &service, base::ProcessId incarnation, LogSettings settings, Executor execute,
                std::function<void()> onSuperseded)
        : m_service(service)
        , m_incarnation(std::move(incarnation))
        , m_settings(settings)
        , m_execute(std::move(execute))
        , m_onSuperseded(std::move(onSuperseded))
        , m_writer([this](const std::stop_token &stop) {
            runWriter(stop);
        })
    {
    }

    ~KeyValueLog()
    {
        m_writer.request_stop();
        m_wake.notify_all();
    }

    KeyValueLog(const KeyValueLog &) = delete;
    KeyValueLog &operator=(const KeyValueLog &) = delete;

    /**
     * Appends records that must be durable before the caller proceeds. They are written without delay, and refused
     * immediately while the service is known to be unavailable.
     *
     * @param records the records
     * @param handler called with the result
     */
    void appendRequired(const std::vector<core::Record> &records, service::StoreHandler handler)
    {
        append(records, std::move(handler), true, true);
    }

    /**
     * Appends records whose write may be deferred. They stay queued for as long as the service is unavailable. Records
     * whose loss is costly are written without delay.
     *
     * @param records the records
     * @param handler called once they are durable, or once it is certain that they will not be
     */
    void appendDeferred(const std::vector<core::Record> &records, service::StoreHandler handler)
    {
        const bool isUrgent = std::any_of(records.begin(), records.end(), mustNotBeDeferred);
        append(records, std::move(handler), false, isUrgent);
    }

    /**
     * Writes all queued records and waits until they are durable.
     *
     * @param limit the maximum time to wait
     * @return whether all records are durable
     */
    bool flush(base::Milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        m_flushing = true;
        m_wake.notify_all();
        const bool done = m_drained.wait_for(lock, limit, [this] {
            return (m_queue.empty() && m_currentBatch.empty()) || m_superseded;
        });
        m_flushing = false;
        return done && !m_superseded;
    }

    /**
     * Starts the log of a new incarnation. Records of the old one that are not stored yet are dropped.
     *
     * @param incarnation the new incarnation
     */
    void restart(base::ProcessId incarnation)
    {
        supersede([] {});
        const std::lock_guard lock(m_mutex);
        m_incarnation = std::move(incarnation);
        m_position = LogPosition(1);
        m_superseded = false;
        m_isServiceUnavailable = false;
        ++m_restarts;
    }

    /** @return the next position to be written; all positions before it are durable */
    LogPosition position() const
    {
        const std::lock_guard lock(m_mutex);
        return m_position;
    }

    /** @return whether the service did not confirm the last write */
    bool isServiceUnavailable() const
    {
        const std::lock_guard lock(m_mutex);
        return m_isServiceUnavailable;
    }

private:
    using SteadyClock = std::chrono::steady_clock;

    /** Maximum factor by which slow writes lengthen the flush interval. */
    static constexpr int maxFlushIntervalFactor = 8;
    /** Writes that take longer than this lengthen the flush interval in proportion. */
    static constexpr base::Milliseconds normalWriteDuration{50};

    /** Records of one append that are stored in the same value. */
    struct Item
    {
        std::vector<std::string> encoded;
        std::size_t bytes = 0;
        service::StoreHandler handler;
        /** Whether the caller waits, so that the item is refused if the service is unavailable. */
        bool isRequired = false;
        bool isUrgent = false;
        SteadyClock::time_point appendedAt;
    };

    enum class WriteOutcome {
        Stored,
        InDoubt,
        Sealed,
    };

    /**
     * Returns whether a record must be written without delay. Losing the turn of a non-idempotent call would lose its
     * answer; losing the opening of a root program would lose what it has spent since.
     */
    static bool mustNotBeDeferred(const core::Record &record)
    {
        const auto *turn = std::get_if<core::TurnFinished>(&record);
        const auto *opened = std::get_if<core::ProgramOpened>(&record);
        return (turn != nullptr && !turn->request.idempotent) || (opened != nullptr && !opened->spec.parent);
    }

    /** Splits records into items that each fit into one value. The handler is attached to the last item. */
    std::vector<Item> makeItems(const std::vector<core::Record> &records, service::StoreHandler handler,
                                bool isRequired, bool isUrgent) const
    {
        const Item empty{{}, 0, [](const service::StoreResult &) {}, isRequired, isUrgent, SteadyClock::now()};
        std::vector<Item> items{empty};
        for (const core::Record &record : records) {
            std::string encoded = encodeRecord(record);
            const std::size_t bytes = encoded.size() + 1;
            if (items.back().bytes > 0 && items.back().bytes + bytes > m_settings.maxBatchBytes) {
                items.push_back(empty);
            }
            items.back().bytes += bytes;
            items.back().encoded.push_back(std::move(encoded));
        }
        items.back().handler = std::move(handler);
        return items;
    }

    bool isTooLarge(const std::vector<Item> &items) const
    {
        return std::any_of(items.begin(), items.end(), [this](const Item &item) {
            return item.bytes > m_settings.maxBatchBytes;
        });
    }

    void append(const std::vector<core::Record> &records, service::StoreHandler handler, bool isRequired, bool isUrgent)
    {
        std::vector<Item> items = makeItems(records, std::move(handler), isRequired, isUrgent);
        std::string refusal;
        {
            const std::lock_guard lock(m_mutex);
            if (m_superseded) {
                refusal = "another entry owns the program now";
            } else if (isRequired && m_isServiceUnavailable) {
                refusal = "the key-value service does not answer";
            } else if (isTooLarge(items)) {
                refusal = "a record is larger than a value of the key-value service may be";
            } else {
                std::move(items.begin(), items.end(), std::back_inserter(m_queue));
                m_wake.notify_all();
                return;
            }
        }
        refuse(std::move(items.back()), refusal);
    }

    void refuse(Item item, const std::string &reason)
    {
        constexpr base::Milliseconds retryAfter{1000};
        m_execute([handler = std::move(item.handler), reason, retryAfter] {
            handler(service::NotStored{reason, retryAfter});
        });
    }

    /** Returns when the next batch is due. The mutex must be locked. */
    SteadyClock::time_point batchDueTime() const
    {
        const bool isUrgent = m_flushing || std::any_of(m_queue.begin(), m_queue.end(), [](const Item &item) {
                                  return item.isUrgent;
                              });
        return isUrgent ? SteadyClock::now()
                        : m_queue.front().appendedAt + m_settings.flushInterval * m_flushIntervalFactor;
    }

    void runWriter(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            if (waitForBatch(stop)) {
                writeBatch(stop);
            }
        }
    }

    /** @return whether a batch is due */
    bool waitForBatch(const std::stop_token &stop)
    {
        std::unique_lock lock(m_mutex);
        if (m_queue.empty()) {
            m_wake.wait(lock, stop, [this] {
                return !m_queue.empty();
            });
            return false;
        }
        if (const auto due = batchDueTime(); due > SteadyClock::now()) {
            // Every append wakes the writer, since an urgent one makes the batch due immediately.
            const std::size_t queuedBefore = m_queue.size();
            m_wake.wait_until(lock, stop, due, [this, queuedBefore] {
                return m_queue.size() != queuedBefore || m_flushing;
            });
            return false;
        }
        fillBatch();
        return true;
    }

    /** Moves items from the queue into the batch until one value is full. The mutex must be locked. */
    void fillBatch()
    {
        std::size_t bytes = 0;
        while (!m_queue.empty()
               && (m_currentBatch.empty() || bytes + m_queue.front().bytes <= m_settings.maxBatchBytes)) {
            bytes += m_queue.front().bytes;
            m_currentBatch.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
    }

    /** Retries the write of the batch until it is confirmed or the log is found to be sealed. */
    void writeBatch(const std::stop_token &stop)
    {
        std::vector<std::string> nonces;
        std::unique_lock lock(m_mutex);
        const std::uint64_t restarts = m_restarts;
        lock.unlock();
        while (!stop.stop_requested()) {
            const auto startedAt = SteadyClock::now();
            const WriteOutcome outcome = writeOnce(nonces);
            lock.lock();
            if (m_restarts != restarts || m_superseded) {
                return;
            }
            lock.unlock();
            if (outcome == WriteOutcome::Sealed) {
                supersede(m_onSuperseded);
                return;
            }
            if (outcome == WriteOutcome::Stored) {
                confirm(restarts, std::chrono::duration_cast<base::Milliseconds>(SteadyClock::now() - startedAt));
                return;
            }
            if (!waitToRetry(stop, restarts)) {
                return;
            }
        }
    }

    WriteOutcome writeOnce(std::vector<std::string> &nonces)
    {
        std::string key;
        std::string value;
        {
            const std::lock_guard lock(m_mutex);
            key = logKey(m_incarnation, m_position);
            nonces.push_back(m_incarnation.value() + "/" + std::to_string(++m_lastNonce));
            std::vector<std::string> records;
            for (const Item &item : m_currentBatch) {
                records.insert(records.end(), item.encoded.begin(), item.encoded.end());
            }
            value = encodeBatch(nonces.back(), records);
        }
        if (std::holds_alternative<keyvalue::KeyVersion>(
                m_service.write(key, value, keyvalue::KeyVersion(0), std::nullopt))) {
            return WriteOutcome::Stored;
        }
        return readBack(key, nonces);
    }

    /**
     * Reads a position back after its write was unconfirmed or found an existing key, and compares nonces to determine
     * whether the stored value was written by this log.
     */
    WriteOutcome readBack(const std::string &key, const std::vector<std::string> &nonces)
    {
        const keyvalue::ReadResult read = m_service.read(key);
        const auto *found = std::get_if<keyvalue::KeyValue>(&read);
        if (found == nullptr) {
            return WriteOutcome::InDoubt;
        }
        const auto decoded = decodeBatch(found->value);
        const auto *batch = std::get_if<LogBatch>(&decoded);
        const bool isOwn = batch != nullptr && std::find(nonces.begin(), nonces.end(), batch->nonce) != nonces.end();
        return isOwn ? WriteOutcome::Stored : WriteOutcome::Sealed;
    }

    void confirm(std::uint64_t restarts, base::Milliseconds duration)
    {
        std::vector<Item> stored;
        {
            const std::lock_guard lock(m_mutex);
            if (m_superseded || m_restarts != restarts) {
                return;
            }
            m_position = LogPosition(m_position.value() + 1);
            stored.swap(m_currentBatch);
            m_isServiceUnavailable = false;
            m_flushIntervalFactor =
                static_cast<int>(std::clamp<std::int64_t>(duration / normalWriteDuration, 1, maxFlushIntervalFactor));
            m_drained.notify_all();
        }
        for (Item &item : stored) {
            m_execute([handler = std::move(item.handler)] {
                handler(service::Stored{});
            });
        }
    }

    /**
     * Refuses the items whose callers wait, then waits for the retry interval. A refused record may be in the log
     * nevertheless; its caller appends a withdrawal.
     *
     * @return whether the write must be retried
     */
    bool waitToRetry(const std::stop_token &stop, std::uint64_t restarts)
    {
        std::vector<Item> refused;
        {
            const std::lock_guard lock(m_mutex);
            if (m_restarts != restarts) {
                return false;
            }
            m_isServiceUnavailable = true;
            extractRequired(m_currentBatch, refused);
            extractRequired(m_queue, refused);
        }
        for (Item &item : refused) {
            refuse(std::move(item), "the key-value service does not answer");
        }
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, stop, m_settings.retryInterval, [this] {
            return m_superseded;
        });
        return !m_superseded && m_restarts == restarts;
    }

    template <class Items>
    static void extractRequired(Items &items, std::vector<Item> &extracted)
    {
        const auto required = std::stable_partition(items.begin(), items.end(), [](const Item &item) {
            return !item.isRequired;
        });
        std::move(required, items.end(), std::back_inserter(extracted));
        items.erase(required, items.end());
    }

    /**
     * Stops the log and refuses all items that are not stored.
     *
     * @param notify called before the store handlers
     */
    void supersede(const std::function<void()> &notify)
    {
        std::vector<Item> unstored;
        {
            const std::lock_guard lock(m_mutex);
            m_superseded = true;
            std::move(m_currentBatch.begin(), m_currentBatch.end(), std::back_inserter(unstored));
            std::move(m_queue.begin(), m_queue.end(), std::back_inserter(unstored));
            m_currentBatch.clear();
            m_queue.clear();
            m_drained.notify_all();
            m_wake.notify_all();
        }
        m_execute(notify);
        for (Item &item : unstored) {
            refuse(std::move(item), "another entry owns the program now");
        }
    }

    KeyValueT &m_service;
    base::ProcessId m_incarnation;
    const LogSettings m_settings;
    Executor m_execute;
    std::function<void()> m_onSuperseded;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::condition_variable m_drained;
    std::deque<Item> m_queue;
    /** The batch that is being written. */
    std::vector<Item> m_currentBatch;
    LogPosition m_position{1};
    std::uint64_t m_lastNonce = 0;
    std::uint64_t m_restarts = 0;
    int m_flushIntervalFactor = 1;
    bool m_isServiceUnavailable = false;
    bool m_flushing = false;
    bool m_superseded = false;
    std::jthread m_writer;
};

}
