#include "engine/batcher.h"

#include "base/digest.h"

namespace standins::engine
{

namespace
{

using briarhinge::base::stableHash;

constexpr std::uint64_t hashMultiplier = 0x9e3779b97f4a7c15ULL;

/** Returns a token that depends on model and prompt alone, so that tests can compare answers byte by byte. */
std::string tokenText(std::uint64_t seed, std::uint64_t index)
{
    constexpr std::string_view syllables[] = {"ka", "ri", "mo", "te", "lu", "shi", "na", "fo"};
    const std::uint64_t mixed = (seed + index) * hashMultiplier;
    return std::string(syllables[(mixed >> 40) % 8]) + ((mixed >> 50) % 3 == 0 ? " " : "");
}

std::uint64_t answerLength(const std::string &prompt, std::uint64_t seed, std::uint64_t maxTokens)
{
    // "answer=N" in the last line of a prompt requests an answer of N tokens.
    const std::size_t position = prompt.rfind("answer=");
    const std::uint64_t requested =
        position == std::string::npos ? 8 + seed % 24 : std::strtoull(prompt.c_str() + position + 7, nullptr, 10);
    return std::max<std::uint64_t>(1, std::min(requested, maxTokens));
}

}

Batcher::Batcher(const Speed &speed)
    : m_speed(speed)
    , m_cache(speed.cacheTokens)
    , m_thread([this](const std::stop_token &stop) {
        loop(stop);
    })
{
}

void Batcher::add(Sequence sequence)
{
    const std::lock_guard lock(m_mutex);
    ++m_counters.requests;
    const std::int64_t rank = -static_cast<std::int64_t>(sequence.priority);
    m_waiting.emplace(rank, std::move(sequence));
    m_workAvailable.notify_one();
}

void Batcher::hold(const std::string &user, const std::string &prompt, std::chrono::milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_cache.hold(user, promptBlocks(prompt), std::chrono::steady_clock::now() + time);
}

void Batcher::renew(const std::string &user, std::chrono::milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    m_cache.renew(user, now, now + time);
}

void Batcher::release(const std::string &user)
{
    const std::lock_guard lock(m_mutex);
    m_cache.release(user);
}

std::vector<CacheChange> Batcher::changesAfter(std::uint64_t count)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<CacheChange> &changes = m_cache.changes();
    if (count >= changes.size()) {
        return {};
    }
    return {changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end()};
}

Counters Batcher::counters()
{
    const std::lock_guard lock(m_mutex);
    Counters counters = m_counters;
    counters.running = m_running.size();
    counters.waiting = m_waiting.size();
    counters.held = m_cache.held(std::chrono::steady_clock::now());
    return counters;
}

void Batcher::loop(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::chrono::nanoseconds stepTime{0};
        {
            std::unique_lock lock(m_mutex);
            if (!m_workAvailable.wait(lock, stop, [this] {
                    return !m_waiting.empty() || !m_running.empty();
                })) {
                return;
            }
            stepTime = admit() + m_speed.step + m_speed.perSequence * m_running.size();
        }
        std::this_thread::sleep_for(stepTime);
        generateTokens();
    }
}

std::chrono::nanoseconds Batcher::admit()
{
    std::chrono::nanoseconds prefill{0};
    while (!m_waiting.empty() && m_running.size() < m_speed.maxBatch) {
        RunningSequence running;
        running.sequence = std::move(m_waiting.extract(m_waiting.begin()).mapped());
        const std::string &prompt = running.sequence.prompt;
        running.seed = stableHash(running.sequence.model + prompt);
        running.promptTokens = estimateTokens(prompt.size());
        const auto blocks = promptBlocks(prompt);
        running.cachedTokens = std::min(m_cache.cachedTokens(blocks), running.promptTokens);
        m_cache.touch(blocks);
        running.answerTokens = answerLength(prompt, running.seed, running.sequence.maxTokens);
        const std::uint64_t uncached = running.promptTokens - running.cachedTokens;
        m_counters.prefillTokens += uncached;
        m_counters.cachedTokens += running.cachedTokens;
        prefill += m_speed.perPrefillToken * uncached;
        m_running.push_back(std::move(running));
    }
    return prefill;
}

void Batcher::generateTokens()
{
    // Only this thread modifies the running sequences. Their callbacks wait for HTTP threads, which may wait for the
    // mutex, so they are called without holding it.
    for (auto running = m_running.begin(); running != m_running.end();) {
        const bool isConnected = generateToken(*running);
        if (isConnected && running->generatedTokens < running->answerTokens) {
            ++running;
            continue;
        }
        const RunningSequence ended = std::move(*running);
        {
            const std::lock_guard lock(m_mutex);
            running = m_running.erase(running);
            if (isConnected) {
                m_cache.touch(promptBlocks(ended.sequence.prompt + ended.answer));
            }
        }
        if (isConnected) {
            ended.sequence.onDone(ended.promptTokens, ended.cachedTokens, ended.generatedTokens);
        }
    }
}

bool Batcher::generateToken(RunningSequence &running)
{
    const std::uint64_t before = running.answer.size();
    running.answer += tokenText(running.seed, running.generatedTokens++);
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters.completionTokens;
    }
    if (running.answer.size() <= running.sequence.resumeFrom) {
        return true;
    }
    const std::uint64_t from = std::max(before, running.sequence.resumeFrom);
    return running.sequence.onToken(running.answer.substr(from));
}

}
