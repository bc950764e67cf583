#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace briarhinge::base
{

/**
 * Takes the invariants that turn out to be broken.
 *
 * In production a violation is counted and logged and the process goes on; tests inject a handler that fails.
 */
class InvariantMonitor
{
public:
    using Handler = std::function<void(const std::string &violation)>;

    /** @param handler told of each violation, on the thread that met it */
    explicit InvariantMonitor(Handler handler);

    /**
     * Reports a violation unless a condition holds.
     *
     * @param holds the condition
     * @param violation what is broken when it doesn't hold
     */
    void require(bool holds, const char *violation);

    /** @param violations each is reported */
    void report(const std::vector<std::string> &violations);

    /** @return how many violations were reported */
    std::uint64_t violations() const;

private:
    void report(const std::string &violation);

    Handler m_handler;
    std::atomic<std::uint64_t> m_violations{0};
};

}
