#pragma once

#include "core/record.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhinge::state
{

/** A text is not a valid record or batch. */
struct CodecError
{
    std::string reason;
};

/** Content of one log position. */
struct LogBatch
{
    /** Identifies the write that created this position. */
    std::string nonce;
    /** Whether it seals the log: nothing may be appended after it. */
    bool seal = false;
    std::vector<core::Record> records;

    bool operator==(const LogBatch &) const = default;
};

/**
 * @param record the record
 * @return the record as JSON text
 */
std::string encodeRecord(const core::Record &record);

/**
 * @param text JSON text
 * @return the record, or the error if the text is invalid
 */
std::variant<core::Record, CodecError> decodeRecord(std::string_view text);

/**
 * @param nonce identifies the write
 * @param encodedRecords records that were encoded by encodeRecord()
 * @return the value to store at a log position
 */
std::string encodeBatch(const std::string &nonce, const std::vector<std::string> &encodedRecords);

/**
 * @param nonce identifies the write
 * @return the value that seals a log
 */
std::string encodeSeal(const std::string &nonce);

/**
 * @param text the value of a log position
 * @return the batch, or the error if the value is invalid
 */
std::variant<LogBatch, CodecError> decodeBatch(std::string_view text);

}
