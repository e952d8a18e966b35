#include "transport/response_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace briarhead {

namespace {

constexpr int unavailable = 503;
constexpr double msPerSecond = 1'000;
constexpr millis longestSaid{24LL * 3'600 * 1'000};

}

std::optional<double> parseDecimal(std::string_view text)
{
    const std::size_t from = text.find_first_not_of(" \t");
    const std::size_t to = text.find_last_not_of(" \t");
    if (from == std::string_view::npos) {
        return std::nullopt;
    }
    text = text.substr(from, to - from + 1);
    double value = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool whole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::optional<millis> parseSeconds(std::string_view text, millis most)
{
    const auto seconds = parseDecimal(text);
    if (!seconds) {
        return std::nullopt;
    }
    const double ms = std::min(std::ceil(*seconds * msPerSecond), static_cast<double>(most.count));
    return millis{static_cast<std::int64_t>(ms)};
}

response_notice readResponseNotice(const http_result &answer)
{
    response_notice words;
    const auto leaving = answer.headers.find("x-leaving");
    words.leaving = leaving != answer.headers.end() && parseDecimal(leaving->second) == 1.0;
    const auto pause = answer.headers.find("retry-after");
    if (answer.status == unavailable && pause != answer.headers.end()) {
        words.pause = parseSeconds(pause->second, longestSaid).value_or(millis{});
    }
    return words;
}

}
