#include "transport/response_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace briarhead {

namespace {

constexpr int httpUnavailable = 503;
constexpr double msPerSecond = 1'000;
constexpr millis maxPause{24LL * 3'600 * 1'000};

}

std::optional<double> parseDecimal(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    if (first == std::string_view::npos) {
        return std::nullopt;
    }
    text = text.substr(first, last - first + 1);
    double value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return valid && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::optional<millis> parseSeconds(std::string_view text, millis maxValue)
{
    const auto seconds = parseDecimal(text);
    if (!seconds) {
        return std::nullopt;
    }
    const double ms = std::min(std::ceil(*seconds * msPerSecond), static_cast<double>(maxValue.count));
    return millis{static_cast<std::int64_t>(ms)};
}

response_notice readResponseNotice(const http_result &response)
{
    response_notice notice;
    const auto leaving = response.headers.find("x-leaving");
    notice.leaving = leaving != response.headers.end() && parseDecimal(leaving->second) == 1.0;
    const auto pause = response.headers.find("retry-after");
    if (response.status == httpUnavailable && pause != response.headers.end()) {
        notice.pause = parseSeconds(pause->second, maxPause).value_or(millis{});
    }
    return notice;
}

}
