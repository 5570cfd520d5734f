#include "ctl/listing.h"

#include <algorithm>
#include <ostream>

#include <fmt/ostream.h>
#include <nlohmann/json.hpp>

namespace ibisfork::ctl {

namespace {

constexpr const char *columnGap = "  ";

void printCells(std::ostream &out, const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    for (std::size_t column = 0; column + 1 < cells.size(); ++column) {
        fmt::print(out, "{:<{}}{}", cells[column], widths[column], columnGap);
    }
    fmt::print(out, "{}\n", cells.back());
}

} // namespace

Listing::Listing(std::vector<std::string> columns)
    : m_columns(std::move(columns))
{ }

void Listing::add(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

void Listing::print(std::ostream &out, OutputFormat format) const
{
    if (format == OutputFormat::Json) {
        printJson(out);
    } else {
        printText(out);
    }
}

void Listing::printText(std::ostream &out) const
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < m_columns.size(); ++column) {
        std::size_t width = m_columns[column].size();
        for (const auto &row : m_rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    printCells(out, m_columns, widths);
    for (const auto &row : m_rows) {
        printCells(out, row, widths);
    }
}

void Listing::printJson(std::ostream &out) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &row : m_rows) {
        nlohmann::json item;
        for (std::size_t column = 0; column < m_columns.size(); ++column) {
            item[m_columns[column]] = row[column];
        }
        list.push_back(item);
    }
    fmt::print(out, "{}\n", list.dump(2));
}

} // namespace ibisfork::ctl
