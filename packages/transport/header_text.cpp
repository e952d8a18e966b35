#include "transport/header_text.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace briarhead::detail {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

bool hasControlBytes(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return (c < 0x20 && c != '\t') || c == 0x7f;
    });
}

std::optional<int> parseStatusLine(std::string_view line)
{
    if (!line.starts_with("HTTP/")) {
        return std::nullopt;
    }
    const auto space = line.find(' ');
    if (space == std::string_view::npos) {
        return std::nullopt;
    }
    int status = 0;
    const auto parsed = std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    return parsed.ec == std::errc() ? std::optional(status) : std::nullopt;
}

void addHeader(std::map<std::string, std::string> &headers, std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    const auto [found, inserted] = headers.try_emplace(lowerCase(trimmed(line.substr(0, colon))), value);
    if (!inserted) {
        found->second.append(", ").append(value);
    }
}

}
