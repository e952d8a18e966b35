#include "transport/header_text.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
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

constexpr int statusDigits = 3;
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int statusSwitchingProtocols = 101;

/// Checks a field that says how long the body is.
const char *findFramingFault(head_check &check, const std::string &name, std::string_view value)
{
    if (name == "transfer-encoding") {
        check.hasTransferCoding = true;
    } else if (name == "content-length") {
        std::uint64_t length = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), length);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
            return "its length is not a number of 64 bits";
        }
        if (check.length && *check.length != value) {
            return "it has two lengths";
        }
        check.length = value;
    }
    return check.length && check.hasTransferCoding ? "it has a length beside a transfer coding" : nullptr;
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
    const char *first = line.data() + space + 1;
    const auto parsed = std::from_chars(first, line.data() + line.size(), status);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr - first == statusDigits && status >= 0;
    return isNumber ? std::optional(status) : std::nullopt;
}

bool isToken(std::string_view text)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || others.find(c) != std::string_view::npos;
    });
}

bool isResponseStatus(int status)
{
    return status >= firstStatus && status <= lastStatus && status != statusSwitchingProtocols;
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

const char *findFault(head_check &check, std::string_view line)
{
    const bool isEnded = line.ends_with('\n');
    line.remove_suffix(isEnded ? 1 : 0);
    line.remove_suffix(isEnded && line.ends_with('\r') ? 1 : 0);
    if (!check.inTrailers && check.status == 0) {
        const auto status = parseStatusLine(line);
        if (!status || !isResponseStatus(*status) || hasControlBytes(line)) {
            return "its status line is not valid";
        }
        check.status = *status;
        return nullptr;
    }
    if (line.empty()) {
        const bool isFinal = check.inTrailers || check.status >= firstFinalStatus;
        check = {};
        check.inTrailers = isFinal;
        return nullptr;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return "the name of a field is not a token";
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (hasControlBytes(line.substr(colon + 1))) {
        return "the value of a field has control characters";
    }
    return check.inTrailers ? nullptr : findFramingFault(check, lowerCase(line.substr(0, colon)), value);
}

}
