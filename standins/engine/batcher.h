#pragma once

#include "engine/prefixcache.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace standins::engine
{

/** Simulated speed and capacity of the engine. */
struct Speed
{
    /** Fixed time of one step of the batch. */
    std::chrono::microseconds step{2000};
    /** Additional time of a step for each running sequence. */
    std::chrono::microseconds perSequence{100};
    /** Time to process one prompt token that is not cached. */
    std::chrono::nanoseconds perPrefillToken{20'000};
    std::size_t maxBatch = 16;
    std::uint64_t cacheTokens = 200'000;
};

/** One request to generate an answer. */
struct Sequence
{
    std::string user;
    std::string model;
    std::string prompt;
    std::int32_t priority = 0;
    std::uint64_t maxTokens = 0;
    /** Offset in bytes into the answer; the text before it is generated but not sent. */
    std::uint64_t resumeFrom = 0;
    /** Called with the text of each token; returns whether the client is still connected. */
    std::function<bool(const std::string &)> onToken;
    /** Called after the last token. */
    std::function<void(std::uint64_t promptTokens, std::uint64_t cachedTokens, std::uint64_t completionTokens)> onDone;
};

/** Counters of the engine. */
struct Counters
{
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t requests = 0;
    /** Tokens that cache holds keep from eviction, by program. */
    std::map<std::string, std::uint64_t> held;
};

/**
 * Simulates continuous batching: each step generates one token for every running sequence. Waiting sequences are
 * admitted in the order of their priority.
 */
class Batcher
{
public:
    explicit Batcher(const Speed &speed);

    /** Queues a request. */
    void add(Sequence sequence);

    /** Holds a program's prompt prefix in the cache for a time. */
    void hold(const std::string &user, const std::string &prompt, std::chrono::milliseconds time);

    /** Extends the hold of a program's prefix, if it has not expired. */
    void renew(const std::string &user, std::chrono::milliseconds time);

    /** Releases the hold of a program's prefix. */
    void release(const std::string &user);

    /** @return the cache changes that follow the first count ones */
    std::vector<CacheChange> changesAfter(std::uint64_t count);

    /** @return the current counters */
    Counters counters();

private:
    struct RunningSequence
    {
        Sequence sequence;
        std::uint64_t seed = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t answerTokens = 0;
        std::uint64_t generatedTokens = 0;
        std::string answer;
    };

    void loop(const std::stop_token &stop);
    std::chrono::nanoseconds admit();
    void generateTokens();
    /** @return whether the client is still connected */
    bool generateToken(RunningSequence &running);

    const Speed m_speed;
    std::mutex m_mutex;
    std::condition_variable_any m_workAvailable;
    std::multimap<std::int64_t, Sequence> m_waiting;
    std::list<RunningSequence> m_running;
    PrefixCache m_cache;
    Counters m_counters;
    std::jthread m_thread;
};

}
