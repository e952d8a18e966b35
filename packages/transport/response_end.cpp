#include "transport/response_end.h"

#include <array>
#include <cstddef>

namespace briarhead {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// The last of the comma-separated values in a header field.
std::string_view lastValue(std::string_view list)
{
    const std::size_t comma = list.rfind(',');
    std::string_view value = comma == std::string_view::npos ? list : list.substr(comma + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
        value.remove_prefix(1);
    }
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
        value.remove_suffix(1);
    }
    return value;
}

}

std::string_view nameOf(body_framing value)
{
    static constexpr std::array<std::string_view, 4> names{"none", "length", "chunked", "connection"};
    return names[static_cast<std::size_t>(value)];
}

body_framing framingOf(const http_head &head, bool noBody)
{
    if (noBody || head.status < firstFinalStatus || head.status == statusNoContent
        || head.status == statusNotModified) {
        return body_framing::None;
    }
    std::string_view lastCoding;
    bool hasLength = false;
    for (const http_field &field : head.fields) {
        if (equalsIgnoreCase(field.name, "transfer-encoding")) {
            lastCoding = lastValue(field.value);
        }
        hasLength = hasLength || equalsIgnoreCase(field.name, "content-length");
    }
    if (!lastCoding.empty()) {
        return equalsIgnoreCase(lastCoding, "chunked") ? body_framing::Chunked : body_framing::Connection;
    }
    return hasLength ? body_framing::Length : body_framing::Connection;
}

std::string_view nameOf(connection_end value)
{
    static constexpr std::array<std::string_view, 4> names{"open", "orderly", "reset", "timeout"};
    return names[static_cast<std::size_t>(value)];
}

send_result resultOf(const response_end &end)
{
    if (!end.sent) {
        return send_result::NotSent;
    }
    if (end.insideEvent) {
        return send_result::Broken;
    }
    if (end.framing != body_framing::Connection) {
        return end.framingComplete ? send_result::Complete : send_result::Broken;
    }
    const bool mayBeWhole = end.connection == connection_end::Orderly && !end.endPromised;
    return mayBeWhole ? send_result::Unknown : send_result::Broken;
}

response_end unsentEnd()
{
    response_end end;
    end.sent = false;
    return end;
}

response_end brokenEnd(connection_end connection)
{
    response_end end;
    end.connection = connection;
    return end;
}

}
