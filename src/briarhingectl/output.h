#pragma once

#include "exitcodes.h"

#include <string>
#include <vector>

namespace briarhinge::ctl
{

/** Rows of text under headings; columns are as wide as their longest text. */
class Table
{
public:
    /** @param headings one for each column */
    explicit Table(std::vector<std::string> headings);

    /** Adds a row. @param row one text for each column */
    void add(std::vector<std::string> row);

    /** @return the table, a line for each row */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/** Prints a text to standard output. */
void print(const std::string &text);

/** Prints an error. @param reason what is wrong @param code how the tool ends @return the code */
ExitCode fail(const std::string &reason, ExitCode code = ExitCode::Failed);

}
