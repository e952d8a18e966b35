#include "ctl/table.h"

#include <algorithm>

namespace briarhead {

namespace {

/// Spaces between two columns.
constexpr std::size_t columnGap = 2;

std::string formatLine(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        if (i + 1 < cells.size()) {
            line.append(widths[i] + columnGap - std::min(cells[i].size(), widths[i]), ' ');
        }
    }
    return line + '\n';
}

}

std::string toText(const text_table &table)
{
    std::vector<std::size_t> widths(table.header.size());
    const auto widen = [&widths](const std::vector<std::string> &cells) {
        for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    };
    widen(table.header);
    std::for_each(table.rows.begin(), table.rows.end(), widen);
    std::string text = formatLine(table.header, widths);
    for (const auto &row : table.rows) {
        text += formatLine(row, widths);
    }
    return text;
}

}
