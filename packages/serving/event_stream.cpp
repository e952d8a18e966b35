#include "serving/event_stream.h"

#include <algorithm>

namespace briarhead {

namespace {

/// The offset behind the blank line that ends the first event in `text`, or npos if no event is complete.
std::size_t endOfEvent(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t crlf = text.find("\r\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? crlf : crlf + 4;
    return std::min(plainEnd, crlfEnd);
}

void updateLastId(event_stream &stream, std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            stream.lastId = line;
        }
    }
}

}

std::string extractEvents(event_stream &stream, std::string_view bytes)
{
    stream.partial.append(bytes);
    std::size_t done = 0;
    for (;;) {
        const std::string_view rest = std::string_view(stream.partial).substr(done);
        const std::size_t end = endOfEvent(rest);
        if (end == std::string_view::npos) {
            break;
        }
        updateLastId(stream, rest.substr(0, end));
        done += end;
    }
    std::string events = stream.partial.substr(0, done);
    stream.partial.erase(0, done);
    return events;
}

}
