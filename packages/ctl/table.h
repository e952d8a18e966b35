#pragma once

#include <string>
#include <vector>

namespace briarhead {

/// A plain-text table: a header line, then the rows. A row has at most as many cells as the header.
struct text_table
{
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows;
};

/// Formats the table with left-aligned columns, each as wide as its widest cell, two spaces apart.
std::string toText(const text_table &table);

}
