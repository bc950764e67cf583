#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::turns
{

/** A failed disk operation. */
struct DiskError
{
    std::string reason;
};

/** Result of a disk operation: success or the error. */
using DiskResult = std::variant<std::monostate, DiskError>;

/** Encoded records that are written and synced together. */
struct JournalBatch
{
    std::vector<std::uint8_t> bytes;
    /** Whether a snapshot begins with the batch. */
    bool beginsSnapshot = false;
    /** Whether the snapshot that was begun last is complete with the batch and replaces everything written before it. */
    bool endsSnapshot = false;
};

/**
 * Append-only log of records on disk, split into segment files. Each record carries a checksum. Every start opens a new
 * segment, so a record that was torn by a power loss is always the last one of its segment.
 */
class Journal
{
public:
    /** @param folder directory of the segment files; must exist */
    explicit Journal(std::string folder);
    ~Journal();

    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /**
     * Replays all intact records and opens a new segment.
     *
     * @param onRecord called for each record, in the order in which the records were appended
     * @return success, or the error if the directory can't be listed or the segment can't be created
     */
    DiskResult open(const std::function<void(std::span<const std::uint8_t>)> &onRecord);

    /** Adds the bytes of @p record to the pending batch. */
    void append(std::span<const std::uint8_t> record);

    /**
     * Begins a snapshot: the records appended from now on, up to endSnapshot(), hold the complete state among the changes
     * that are made to it meanwhile. The earlier segments stay until then.
     */
    void beginSnapshot();

    /** Completes the snapshot: once the records appended so far are written, the segments from before it are removed. */
    void endSnapshot();

    /** Gives up the snapshot, since some of its records could not be written; the earlier segments stay. */
    void cancelSnapshot();

    /** @return whether the pending batch has to be written: it contains records or completes a snapshot */
    bool hasPending() const;

    /** @return the pending batch, which is empty afterwards */
    JournalBatch takeBatch();

    /**
     * Writes a batch and syncs it to disk; blocks until done. Other methods may be called on another thread meanwhile,
     * but only one batch may be written at a time. After an error no record of the batch may be considered durable;
     * later batches may still succeed.
     *
     * @param batch the batch to write
     * @return success once the batch is durable, or the error
     */
    DiskResult write(const JournalBatch &batch);

    /** @return the number of batches passed to write() so far, including failed ones */
    std::size_t batchCount() const;

    /** @return the total size of all segments in bytes */
    std::size_t bytes() const;

private:
    DiskResult openSegment();
    DiskResult writeBytes(const std::vector<std::uint8_t> &bytes);
    void closeSegment();
    void removeReplacedSegments();
    std::string segmentPath(std::uint64_t segment) const;

    const std::string m_folder;
    std::vector<std::uint64_t> m_closedSegments;
    std::uint64_t m_segment = 0;
    int m_file = -1;
    /** Atomic because it is written on the disk thread and read on another. */
    std::atomic<std::size_t> m_totalBytes = 0;
    /** First segment of the snapshot that was begun last, and the size of what was written since. */
    std::uint64_t m_snapshotSegment = 0;
    std::size_t m_snapshotBytes = 0;
    std::atomic<std::size_t> m_batchCount = 0;
    JournalBatch m_pending;
};

/**
 * Replaces a file atomically and durably: after a power loss the file has either its old or its new content.
 *
 * @param folder directory of the file; must exist
 * @param name file name within @p folder
 * @param content new content of the file
 * @return success once the content is durable, or the error
 */
DiskResult writeFileDurably(const std::string &folder, const std::string &name, const std::string &content);

}
