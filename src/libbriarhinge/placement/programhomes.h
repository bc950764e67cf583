#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace briarhinge::placement
{

/**
 * Maps each program of this entry to its home: the runner of its last model call, whose engine caches its history. Not
 * thread-safe.
 */
class ProgramHomes
{
public:
    /**
     * @param program a program
     * @return the runner of its last model call; nothing when there was none
     */
    std::optional<std::string> home(const base::ProgramId &program) const
    {
        const auto found = m_homes.find(program);
        return found == m_homes.end() ? std::nullopt : std::optional(found->second);
    }

    /**
     * @param runner a runner
     * @return the number of programs whose home it is
     */
    std::uint32_t programs(const std::string &runner) const
    {
        const auto found = m_counts.find(runner);
        return found == m_counts.end() ? 0 : found->second;
    }

    /**
     * Sets the home of a program.
     *
     * @param program the program
     * @param runner the runner of its current model call
     */
    void settle(const base::ProgramId &program, const std::string &runner)
    {
        remove(program);
        m_homes[program] = runner;
        ++m_counts[runner];
    }

    /**
     * Removes a program.
     *
     * @param program the program
     * @return its former home; nothing when it had none
     */
    std::optional<std::string> remove(const base::ProgramId &program)
    {
        const auto found = m_homes.find(program);
        if (found == m_homes.end()) {
            return std::nullopt;
        }
        std::string runner = std::move(found->second);
        m_homes.erase(found);
        if (--m_counts[runner] == 0) {
            m_counts.erase(runner);
        }
        return runner;
    }

private:
    std::map<base::ProgramId, std::string> m_homes;
    std::unordered_map<std::string, std::uint32_t> m_counts;
};

}
