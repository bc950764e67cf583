#pragma once

#include "frames_generated.h"
#include "placement/crash.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhinge::forwarding
{

/** Key prefix under which entries publish crashes to entries that they can't reach. */
inline constexpr std::string_view crashPrefix = "briarhinge/crashes/";

/**
 * @param reports crashes
 * @return the message that tells another entry about them
 */
wire::CrashReportsT toMessage(const std::vector<placement::CrashReport> &reports);

/**
 * @param message a message from another entry
 * @return the crashes in it
 */
std::vector<placement::CrashReport> fromMessage(const wire::CrashReportsT &message);

/** Crashes as published in the key-value service. */
struct PublishedCrashes
{
    /** Time of the publication in Unix milliseconds. */
    std::int64_t publishedAt = 0;
    std::vector<placement::CrashReport> reports;
};

/**
 * @param crashes crashes
 * @return the text that is published
 */
std::string formatCrashes(const PublishedCrashes &crashes);

/**
 * @param text a published text
 * @return the crashes in it, or nothing if it is malformed
 */
std::optional<PublishedCrashes> parseCrashes(const std::string &text);

}
