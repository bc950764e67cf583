#pragma once

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

    /** Adds a record to those that the next sync writes. @param record its bytes */
    void append(std::span<const std::uint8_t> record);

    /**
     * Makes the appended records durable. After an error none of them counts as kept; later ones may.
     *
     * @return whether they are on the disk
     */
    DiskResult sync();

    /**
     * Begins a segment; the older ones are removed once a sync has succeeded that holds what was appended after this
     * call.
     */
    void beginSnapshot();

    /** @return bytes in all segments */
    std::size_t bytes() const;

private:
    DiskResult openSegment();
    DiskResult writePending();
    void closeSegment();
    void removeOldSegments();
    std::string pathOf(std::uint64_t segment) const;

    const std::string m_folder;
    std::vector<std::uint64_t> m_oldSegments;
    std::uint64_t m_segment = 0;
    int m_file = -1;
    std::size_t m_written = 0;
    std::size_t m_oldBytes = 0;
    bool m_isSnapshotOpen = false;
    std::vector<std::uint8_t> m_pending;
};

/**
 * Makes a file durable under its name.
 *
 * @param folder its folder, which must exist
 * @param name its name
 * @param content what it is to hold
 * @return whether it is on the disk
 */
DiskResult writeFileDurably(const std::string &folder, const std::string &name, const std::string &content);

}
