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
    std::uint32_t programCount(const std::string &runner) const
    {
        const auto found = m_programCounts.find(runner);
        return found == m_programCounts.end() ? 0 : found->second;
    }

    /**
     * Sets the home of a program.
     *
     * @param program the program
     * @param runner the runner of its current model call
     */
    void setHome(const base::ProgramId &program, const std::string &runner)
    {
        remove(program);
        m_homes[program] = runner;
        ++m_programCounts[runner];
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
        if (--m_programCounts[runner] == 0) {
            m_programCounts.erase(runner);
        }
        return runner;
    }

private:
    std::map<base::ProgramId, std::string> m_homes;
    std::unordered_map<std::string, std::uint32_t> m_programCounts;
};

}
