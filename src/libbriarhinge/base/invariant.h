#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace briarhinge::base
{

/**
 * Counts and reports violated invariants.
 *
 * In production, violations are counted and logged and the process continues. Tests inject a handler that fails.
 */
class InvariantMonitor
{
public:
    using Handler = std::function<void(const std::string &violation)>;

    /** @param handler called for each violation, on the thread that detected it */
    explicit InvariantMonitor(Handler handler);

    /**
     * Reports a violation unless a condition holds.
     *
     * @param holds the condition
     * @param violation the description to report if the condition is false
     */
    void require(bool holds, const char *violation);

    /**
     * Reports violations.
     *
     * @param violations a description of each violation
     */
    void report(const std::vector<std::string> &violations);

    /** @return the number of reported violations */
    std::uint64_t violationCount() const;

private:
    void report(const std::string &violation);

    Handler m_handler;
    std::atomic<std::uint64_t> m_violations{0};
};

}
