#pragma once

#include "core/record.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhinge::state
{

/** A text is no record or batch. */
struct CodecError
{
    std::string reason;
};

/** What stands at one position of a log. */
struct LogBatch
{
    /** Tells the writer of this position from any other. */
    std::string nonce;
    /** Whether it closes the log: nothing may be appended behind it. */
    bool seal = false;
    std::vector<core::Record> records;

    bool operator==(const LogBatch &) const = default;
};

/** @param record a record @return it as JSON text */
std::string encodeRecord(const core::Record &record);

/** @param text JSON text @return the record, or why it is none */
std::variant<core::Record, CodecError> decodeRecord(std::string_view text);

/**
 * @param nonce tells this writer from others
 * @param encodedRecords records as encodeRecord() gave them
 * @return the value for a position of a log
 */
std::string encodeBatch(const std::string &nonce, const std::vector<std::string> &encodedRecords);

/** @param nonce tells this writer from others @return the value that closes a log */
std::string encodeSeal(const std::string &nonce);

/** @param text a value of a log @return the batch, or why it is none */
std::variant<LogBatch, CodecError> decodeBatch(std::string_view text);

}
