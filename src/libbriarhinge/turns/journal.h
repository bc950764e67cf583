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

/** Why the disk could not be used. */
struct DiskError
{
    std::string reason;
};

/** What an operation on the disk came to. */
using DiskResult = std::variant<std::monostate, DiskError>;

/** Records that are written together. */
struct JournalBatch
{
    std::vector<std::uint8_t> bytes;
    /** Whether the batch replaces all that was written before. */
    bool isSnapshot = false;
};

/**
 * Records on a disk, in segments that are only appended to. Each record has a checksum; a start begins a segment of
 * its own, so that a record which a power loss tore lies at the end of one.
 */
class Journal
{
public:
    /** @param folder where the segments lie; must exist */
    explicit Journal(std::string folder);
    ~Journal();

    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /**
     * Reads every whole record and begins a new segment.
     *
     * @param onRecord called for each record in the order in which they were appended
     * @return whether the disk could be used
     */
    DiskResult open(const std::function<void(std::span<const std::uint8_t>)> &onRecord);

    /** Adds a record to the next batch. @param record its bytes */
    void append(std::span<const std::uint8_t> record);

    /** Has the next batch replace all that was written before: what is appended from now on is everything. */
    void beginSnapshot();

    /** @return whether there is anything to write */
    bool hasPending() const;

    /** @return what was appended since the last call */
    JournalBatch takeBatch();

    /**
     * Makes a batch durable; waits for the disk. Other methods may be called on another thread meanwhile, but only one
     * batch is written at a time. After an error nothing of the batch counts as kept; later ones may be.
     *
     * @param batch the batch
     * @return whether it is on the disk
     */
    DiskResult write(const JournalBatch &batch);

    /** @return batches written so far, whether or not they reached the disk */
    std::size_t batches() const;

    /** @return bytes in all segments */
    std::size_t bytes() const;

private:
    DiskResult openSegment();
    DiskResult writeBytes(const std::vector<std::uint8_t> &bytes);
    void closeSegment();
    void removeOldSegments();
    std::string pathOf(std::uint64_t segment) const;

    const std::string m_folder;
    std::vector<std::uint64_t> m_oldSegments;
    std::uint64_t m_segment = 0;
    int m_file = -1;
    /** Read on another thread than it is written on. */
    std::atomic<std::size_t> m_bytes = 0;
    std::atomic<std::size_t> m_batches = 0;
    JournalBatch m_pending;
};

/**
 * Makes a file durable under its name; after a loss of power the name holds the old content or the new one.
 *
 * @param folder its folder, which must exist
 * @param name its name
 * @param content what it is to hold
 * @return whether it is on the disk
 */
DiskResult writeFileDurably(const std::string &folder, const std::string &name, const std::string &content);

}
