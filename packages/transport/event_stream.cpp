#include "transport/event_stream.h"

#include <utility>

namespace briarhead {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

/// One line of a stream and the offset behind its end.
struct stream_line
{
    std::string_view text;
    std::size_t next = 0; ///< 0: the line is incomplete
};

/// Lines end with LF, CR LF or CR. A CR at the end of the bytes may be followed by its LF, unless the stream
/// ends its lines with a CR alone.
stream_line lineAt(const event_stream &stream, std::size_t start)
{
    const std::string_view bytes = std::string_view(stream.partial).substr(start);
    const std::size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos) {
        return {};
    }
    const std::string_view text = bytes.substr(0, end);
    if (bytes[end] == '\n') {
        return {text, start + end + 1};
    }
    if (end + 1 < bytes.size()) {
        return {text, start + end + (bytes[end + 1] == '\n' ? 2 : 1)};
    }
    return stream.endsLinesWithCr ? stream_line{text, start + end + 1} : stream_line{};
}

void readField(event_stream &stream, std::string_view line)
{
    stream.inEvent = true;
    const std::size_t colon = line.find(':');
    if (line.substr(0, colon) != "id") {
        return;
    }
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    value.remove_prefix(value.starts_with(' ') ? 1 : 0);
    stream.eventHasId = true;
    stream.eventId = value;
}

/// Applies the fields of the event that has just ended.
void endEvent(event_stream &stream)
{
    if (!std::exchange(stream.inEvent, false)) {
        return;
    }
    stream.anyEvent = true;
    ++stream.eventCount;
    stream.lastEventHasId = std::exchange(stream.eventHasId, false);
    if (stream.lastEventHasId) {
        stream.lastId = std::exchange(stream.eventId, {});
    }
}

}

std::string extractEvents(event_stream &stream, std::string_view bytes)
{
    stream.partial.append(bytes);
    std::size_t done = 0;
    for (stream_line line = lineAt(stream, stream.scanned); line.next != 0;
         line = lineAt(stream, stream.scanned)) {
        stream.endsLinesWithCr = stream.partial[line.next - 1] == '\r';
        stream.scanned = line.next;
        std::string_view text = line.text;
        if (std::exchange(stream.atStart, false) && text.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
        }
        if (text.empty()) {
            endEvent(stream);
        } else if (text.front() != ':') {
            readField(stream, text);
        }
        done = stream.inEvent ? done : stream.scanned;
    }
    std::string complete = stream.partial.substr(0, done);
    stream.partial.erase(0, done);
    stream.scanned -= done;
    return complete;
}

bool isInsideEvent(const event_stream &stream)
{
    return !stream.partial.empty();
}

bool canResume(const event_stream &stream)
{
    return !stream.anyEvent || (stream.lastEventHasId && !stream.lastId.empty());
}

void beginNextResponse(event_stream &stream)
{
    stream.partial.clear();
    stream.scanned = 0;
    stream.atStart = true;
    stream.inEvent = false;
    stream.eventHasId = false;
    stream.eventId.clear();
}

}
