#pragma once

#include "exitcodes.h"

#include <string>
#include <vector>

namespace briarhinge::ctl
{

/** Formats rows of text under headings; each column is as wide as its longest cell. */
class Table
{
public:
    /** @param headings one heading for each column */
    explicit Table(std::vector<std::string> headings);

    /**
     * Appends a row.
     *
     * @param row one cell for each column
     */
    void add(std::vector<std::string> row);

    /** @return the table with one line per row, headings first */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/** Prints a text to standard output and flushes it. */
void print(const std::string &text);

/**
 * Prints an error to standard error.
 *
 * @param reason error message
 * @param code exit code for the error
 * @return the code
 */
ExitCode fail(const std::string &reason, ExitCode code = ExitCode::Failed);

}
