#pragma once

#include "keyvalue/keyvalue.h"
#include "state/logkeys.h"
#include "state/recordcodec.h"

namespace briarhinge::state
{

/** A log could not be read or modified. */
struct LogError
{
    std::string reason;
};

/** Content of a log. */
struct LogContent
{
    std::vector<core::Record> records;
    /** The first unused position. */
    LogPosition nextPosition{1};
    bool isSealed = false;
};

/** Reads, seals and removes logs of other incarnations. */
template <keyvalue::KeyValueService KeyValueT>
class LogReader
{
public:
    /** @param service the platform's key-value service; must outlive the reader */
    explicit LogReader(KeyValueT &service)
        : m_service(service)
    {
    }

    /**
     * Reads a whole log.
     *
     * @param incarnation the owner of the log
     * @return the records in log order, or the error
     */
    std::variant<LogContent, LogError> read(const base::ProcessId &incarnation)
    {
        LogContent content;
        std::string after;
        while (true) {
            const auto listed = m_service.list(logPrefix(incarnation), after, keysPerRead);
            if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&listed)) {
                return LogError{unavailable->reason};
            }
            const auto &keys = std::get<std::vector<keyvalue::KeyValue>>(listed);
            for (const keyvalue::KeyValue &key : keys) {
                if (const auto error = addBatch(key, content)) {
                    return *error;
                }
                after = key.key;
            }
            if (keys.size() < keysPerRead) {
                return content;
            }
        }
    }

    /**
     * Seals a log, so that its writer can append nothing more.
     *
     * @param incarnation the owner of the log
     * @param sealer the incarnation that seals it
     * @return the error, or nothing once the log is sealed, also by another process
     */
    std::optional<LogError> seal(const base::ProcessId &incarnation, const base::ProcessId &sealer)
    {
        for (int attempt = 0; attempt < maxSealAttempts; ++attempt) {
            const auto content = read(incarnation);
            if (const auto *error = std::get_if<LogError>(&content)) {
                return *error;
            }
            const auto &log = std::get<LogContent>(content);
            if (log.isSealed) {
                return std::nullopt;
            }
            // The next read shows whether the log is sealed, also if the response to this write was lost.
            m_service.write(logKey(incarnation, log.nextPosition), encodeSeal(sealer.value()), keyvalue::KeyVersion(0),
                            std::nullopt);
        }
        return LogError{"the log of \"" + incarnation.value() + "\" is still growing"};
    }

    /**
     * Removes a sealed log that is no longer needed. The seal and a marker at the position before it remain, so that a
     * paused writer that resumes finds both positions in use.
     *
     * @param incarnation the owner of the log
     * @return the error, or nothing on success
     */
    std::optional<LogError> remove(const base::ProcessId &incarnation)
    {
        std::string after;
        std::optional<keyvalue::KeyValue> previous;
        while (true) {
            const auto listed = m_service.list(logPrefix(incarnation), after, keysPerRead);
            if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&listed)) {
                return LogError{unavailable->reason};
            }
            const auto &keys = std::get<std::vector<keyvalue::KeyValue>>(listed);
            for (const keyvalue::KeyValue &key : keys) {
                if (isSeal(key)) {
                    return previous ? writeRemovalMarker(*previous) : std::nullopt;
                }
                if (previous) {
                    m_service.remove(previous->key);
                }
                previous = key;
                after = key.key;
            }
            if (keys.size() < keysPerRead) {
                return std::nullopt;
            }
        }
    }

private:
    /** Kept low, since a value can have up to 1 MB. */
    static constexpr std::size_t keysPerRead = 16;
    static constexpr int maxSealAttempts = 10;

    static std::optional<LogError> addBatch(const keyvalue::KeyValue &key, LogContent &content)
    {
        const auto decoded = decodeBatch(key.value);
        if (const auto *error = std::get_if<CodecError>(&decoded)) {
            return LogError{"key \"" + key.key + "\" is not a batch of records: " + error->reason};
        }
        const auto &batch = std::get<LogBatch>(decoded);
        content.records.insert(content.records.end(), batch.records.begin(), batch.records.end());
        content.isSealed = content.isSealed || batch.seal;
        content.nextPosition = LogPosition(parseLogPosition(key.key).value() + 1);
        return std::nullopt;
    }

    static bool isSeal(const keyvalue::KeyValue &key)
    {
        const auto decoded = decodeBatch(key.value);
        const auto *batch = std::get_if<LogBatch>(&decoded);
        return batch != nullptr && batch->seal;
    }

    std::optional<LogError> writeRemovalMarker(const keyvalue::KeyValue &last)
    {
        const auto written = m_service.write(last.key, encodeBatch("removed", {}), last.version, std::nullopt);
        if (const auto *unavailable = std::get_if<keyvalue::PlatformUnavailable>(&written)) {
            return LogError{unavailable->reason};
        }
        return std::nullopt;
    }

    KeyValueT &m_service;
};

}
