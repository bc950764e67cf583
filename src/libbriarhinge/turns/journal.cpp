#include "turns/journal.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <optional>
#include <utility>

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

namespace briarhinge::turns
{

namespace
{

namespace fs = std::filesystem;

constexpr std::string_view segmentSuffix = ".turns";
constexpr std::size_t headerBytes = sizeof(std::uint32_t) + sizeof(std::uint64_t);
/** Records are no larger than a frame, so a greater length field is corrupt. */
constexpr std::size_t maxRecordBytes = std::size_t{16} * 1024 * 1024;
/** Initial read buffer size: small compared to memory, large compared to a record. */
constexpr std::size_t readBufferBytes = std::size_t{512} * 1024;
constexpr mode_t fileMode = 0600;

DiskError diskError(const std::string &what)
{
    return DiskError{what + ": " + std::strerror(errno)};
}

std::uint64_t computeChecksum(std::span<const std::uint8_t> record)
{
    return XXH3_64bits(record.data(), record.size());
}

DiskResult syncFolder(const std::string &folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) {
        return diskError("can't open folder " + folder);
    }
    const bool isSynced = ::fsync(file) == 0;
    const DiskResult result = isSynced ? DiskResult{} : DiskResult{diskError("can't sync folder " + folder)};
    ::close(file);
    return result;
}

bool writeAll(int file, const std::uint8_t *bytes, std::size_t size)
{
    while (size > 0) {
        const ssize_t written = ::write(file, bytes, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes += written;
        size -= static_cast<std::size_t>(written);
    }
    return true;
}

/**
 * Decodes the complete records at the start of a buffer.
 *
 * @param bytes buffer that starts at a record boundary
 * @param onRecord called for each complete record
 * @return the number of bytes consumed, or nothing if a corrupt record was found
 */
std::optional<std::size_t> readRecords(std::span<const std::uint8_t> bytes,
                                       const std::function<void(std::span<const std::uint8_t>)> &onRecord)
{
    std::size_t at = 0;
    while (at + headerBytes <= bytes.size()) {
        std::uint32_t length = 0;
        std::uint64_t checksum = 0;
        std::memcpy(&length, &bytes[at], sizeof length);
        std::memcpy(&checksum, &bytes[at + sizeof length], sizeof checksum);
        if (length > maxRecordBytes) {
            return std::nullopt;
        }
        if (at + headerBytes + length > bytes.size()) {
            break;
        }
        const auto record = bytes.subspan(at + headerBytes, length);
        if (computeChecksum(record) != checksum) {
            return std::nullopt;
        }
        onRecord(record);
        at += headerBytes + length;
    }
    return at;
}

void readSegment(const std::string &path, const std::function<void(std::span<const std::uint8_t>)> &onRecord)
{
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    std::vector<std::uint8_t> buffer(readBufferBytes);
    std::size_t filled = 0;
    while (true) {
        const ssize_t size = ::read(file, &buffer[filled], buffer.size() - filled);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            break;
        }
        filled += static_cast<std::size_t>(size);
        const auto used = readRecords({buffer.data(), filled}, onRecord);
        if (!used) {
            break;
        }
        filled -= *used;
        std::memmove(buffer.data(), buffer.data() + *used, filled);
        if (filled == buffer.size()) {
            buffer.resize(2 * buffer.size());
        }
    }
    ::close(file);
}

}

Journal::Journal(std::string folder)
    : m_folder(std::move(folder))
{
}

Journal::~Journal()
{
    closeSegment();
}

DiskResult Journal::open(const std::function<void(std::span<const std::uint8_t>)> &onRecord)
{
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(m_folder, error)) {
        const std::string name = entry.path().filename().string();
        if (!name.ends_with(segmentSuffix)) {
            continue;
        }
        std::uint64_t number = 0;
        const char *end = name.data() + name.size() - segmentSuffix.size();
        if (std::from_chars(name.data(), end, number).ptr == end) {
            m_closedSegments.push_back(number);
        }
    }
    if (error) {
        return DiskError{"can't list " + m_folder + ": " + error.message()};
    }
    std::sort(m_closedSegments.begin(), m_closedSegments.end());
    for (const std::uint64_t segment : m_closedSegments) {
        readSegment(segmentPath(segment), onRecord);
        const auto size = fs::file_size(segmentPath(segment), error);
        m_totalBytes += error ? 0 : size;
    }
    m_segment = m_closedSegments.empty() ? 0 : m_closedSegments.back();
    return openSegment();
}

void Journal::append(std::span<const std::uint8_t> record)
{
    const auto length = static_cast<std::uint32_t>(record.size());
    const std::uint64_t checksum = computeChecksum(record);
    auto &bytes = m_pending.bytes;
    const std::size_t at = bytes.size();
    bytes.resize(at + headerBytes + record.size());
    std::memcpy(&bytes[at], &length, sizeof length);
    std::memcpy(&bytes[at + sizeof length], &checksum, sizeof checksum);
    std::copy(record.begin(), record.end(), bytes.begin() + static_cast<std::ptrdiff_t>(at + headerBytes));
}

void Journal::beginSnapshot()
{
    m_pending.beginsSnapshot = true;
}

void Journal::endSnapshot()
{
    m_pending.endsSnapshot = true;
}

void Journal::cancelSnapshot()
{
    m_pending.beginsSnapshot = false;
    m_pending.endsSnapshot = false;
}

bool Journal::hasPending() const
{
    return !m_pending.bytes.empty() || m_pending.endsSnapshot;
}

JournalBatch Journal::takeBatch()
{
    return std::exchange(m_pending, {});
}

DiskResult Journal::write(const JournalBatch &batch)
{
    if (batch.bytes.empty() && !batch.endsSnapshot) {
        return {};
    }
    ++m_batchCount;
    if (batch.beginsSnapshot) {
        closeSegment();
        m_snapshotSegment = m_segment + 1;
        m_snapshotBytes = 0;
    }
    DiskResult result = m_file < 0 ? openSegment() : DiskResult{};
    if (!std::holds_alternative<DiskError>(result)) {
        result = writeBytes(batch.bytes);
    }
    if (std::holds_alternative<DiskError>(result)) {
        // Records after a torn one can't be read back, so the next write has to open a new segment.
        closeSegment();
    } else if (batch.endsSnapshot) {
        removeReplacedSegments();
        m_totalBytes = m_snapshotBytes;
    }
    return result;
}

DiskResult Journal::writeBytes(const std::vector<std::uint8_t> &bytes)
{
    if (!writeAll(m_file, bytes.data(), bytes.size())) {
        return diskError("can't write " + segmentPath(m_segment));
    }
    m_totalBytes += bytes.size();
    m_snapshotBytes += bytes.size();
    if (::fdatasync(m_file) != 0) {
        return diskError("can't sync " + segmentPath(m_segment));
    }
    return {};
}

std::size_t Journal::batchCount() const
{
    return m_batchCount;
}

std::size_t Journal::bytes() const
{
    return m_totalBytes;
}

DiskResult Journal::openSegment()
{
    const std::uint64_t number = m_segment + 1;
    const int file = ::open(segmentPath(number).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, fileMode);
    if (file < 0) {
        return diskError("can't create " + segmentPath(number));
    }
    m_segment = number;
    m_file = file;
    return syncFolder(m_folder);
}

void Journal::closeSegment()
{
    if (m_file < 0) {
        return;
    }
    ::close(m_file);
    m_file = -1;
    m_closedSegments.push_back(m_segment);
}

void Journal::removeReplacedSegments()
{
    std::erase_if(m_closedSegments, [this](std::uint64_t segment) {
        return segment < m_snapshotSegment && ::unlink(segmentPath(segment).c_str()) == 0;
    });
}

std::string Journal::segmentPath(std::uint64_t segment) const
{
    return m_folder + "/" + std::to_string(segment) + std::string(segmentSuffix);
}

DiskResult writeFileDurably(const std::string &folder, const std::string &name, const std::string &content)
{
    const std::string path = folder + "/" + name;
    const std::string newPath = path + ".new";
    const int file = ::open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (file < 0) {
        return diskError("can't create " + newPath);
    }
    const bool isWritten =
        writeAll(file, reinterpret_cast<const std::uint8_t *>(content.data()), content.size()) && ::fsync(file) == 0;
    const DiskResult result = isWritten ? DiskResult{} : DiskResult{diskError("can't write " + newPath)};
    ::close(file);
    if (std::holds_alternative<DiskError>(result)) {
        return result;
    }
    if (::rename(newPath.c_str(), path.c_str()) != 0) {
        return diskError("can't rename " + newPath);
    }
    return syncFolder(folder);
}

}
