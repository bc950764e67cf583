#include "output.h"

#include <algorithm>
#include <iostream>

namespace briarhinge::ctl
{

Table::Table(std::vector<std::string> headings)
    : m_rows{std::move(headings)}
{
}

void Table::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

std::string Table::text() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isLast = i + 1 == row.size();
            text += row[i] + std::string(isLast ? 0 : widths[i] - row[i].size() + gap, ' ');
        }
        text += '\n';
    }
    return text;
}

void print(const std::string &text)
{
    std::cout << text << std::flush;
}

ExitCode fail(const std::string &reason, ExitCode code)
{
    std::cerr << "briarhingectl: " << reason << '\n';
    return code;
}

}
