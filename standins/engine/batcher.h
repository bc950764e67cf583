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

/** How fast the engine is. */
struct Speed
{
    /** Time of one step of the batch, whatever its size. */
    std::chrono::microseconds step{2000};
    /** Time of each sequence in a step. */
    std::chrono::microseconds perSequence{100};
    /** Time of each prompt token that is not cached. */
    std::chrono::nanoseconds perPrefillToken{20'000};
    std::size_t maxBatch = 16;
    std::uint64_t cacheTokens = 200'000;
};

/** One request as the batcher runs it. */
struct Sequence
{
    std::string user;
    std::string model;
    std::string prompt;
    std::int32_t priority = 0;
    std::uint64_t maxTokens = 0;
    /** First byte of the answer to send. */
    std::uint64_t resumeFrom = 0;
    /** Called with each token; returns whether anyone still listens. */
    std::function<bool(const std::string &)> token;
    /** Called at the end. */
    std::function<void(std::uint64_t promptTokens, std::uint64_t cachedTokens, std::uint64_t completionTokens)> done;
};

/** What the engine counts. */
struct Account
{
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> held;
};

/** Runs many requests together, one token each a step, the highest priority first. */
class Batcher
{
public:
    explicit Batcher(const Speed &speed);

    /** Takes a request. */
    void add(Sequence sequence);

    /** Keeps a program's prefix for a time. */
    void hold(const std::string &user, const std::string &prompt, std::chrono::milliseconds time);

    /** Keeps a program's prefix longer, if it is held still. */
    void renew(const std::string &user, std::chrono::milliseconds time);

    /** Lets go of a program's prefix. */
    void release(const std::string &user);

    /** @return the changes of the cache behind the first so many */
    std::vector<CacheChange> changesAfter(std::uint64_t count);

    /** @return what was counted so far */
    Account account();

private:
    struct Running
    {
        Sequence sequence;
        std::uint64_t seed = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t answerTokens = 0;
        std::uint64_t made = 0;
        std::string answer;
    };

    void loop(const std::stop_token &stop);
    std::chrono::nanoseconds admit();
    void makeTokens();
    /** @return whether anyone still listens */
    bool makeToken(Running &running);

    const Speed m_speed;
    std::mutex m_mutex;
    std::condition_variable_any m_work;
    std::multimap<std::int64_t, Sequence> m_waiting;
    std::list<Running> m_running;
    PrefixCache m_cache;
    Account m_account;
    std::jthread m_thread;
};

}
