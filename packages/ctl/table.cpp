#include "ctl/table.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::size_t gap = 2;

std::string lineOf(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        if (i + 1 < cells.size()) {
            line.append(widths[i] + gap - std::min(cells[i].size(), widths[i]), ' ');
        }
    }
    return line + '\n';
}

}

std::string toText(const text_table &table)
{
    std::vector<std::size_t> widths(table.head.size());
    const auto widen = [&widths](const std::vector<std::string> &cells) {
        for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    };
    widen(table.head);
    std::for_each(table.rows.begin(), table.rows.end(), widen);
    std::string text = lineOf(table.head, widths);
    for (const auto &row : table.rows) {
        text += lineOf(row, widths);
    }
    return text;
}

}
