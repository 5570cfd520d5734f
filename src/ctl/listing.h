#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// Rows under named columns, printed as aligned text or as a JSON list of objects.
class Listing
{
public:
    explicit Listing(std::vector<std::string> columns);

    /// Adds a row with one cell for each column.
    void add(std::vector<std::string> cells);
    void print(std::ostream &out, OutputFormat format) const;

private:
    void printText(std::ostream &out) const;
    void printJson(std::ostream &out) const;

    std::vector<std::string> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace ibisfork::ctl
