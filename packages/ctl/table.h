#pragma once

#include <string>
#include <vector>

namespace briarhead {

/// A table for people: a head, then rows; columns as wide as their widest text, two spaces between.
struct text_table
{
    std::vector<std::string> head;
    std::vector<std::vector<std::string>> rows;
};

std::string toText(const text_table &table);

}
