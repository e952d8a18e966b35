#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// Splits a stream of server-sent events into complete events. A caller then never receives an event that a
/// server cut off in the middle, and another server can resume after the last complete one.
struct event_stream
{
    std::string partial; ///< bytes of the event that is still incomplete
    std::string lastId; ///< id of the last event that had one, empty before the first
    bool anyEvent = false; ///< a complete event has been extracted
    std::uint64_t eventCount = 0; ///< complete events, without comments
    bool lastEventHasId = false; ///< the latest complete event had an id of its own

    // The parser's state.
    std::size_t scanned = 0; ///< start of the first line of `partial` that has not been read
    bool atStart = true; ///< no line of the current response has been read
    bool inEvent = false; ///< a field of the incomplete event has been read
    bool eventHasId = false; ///< an id of the incomplete event has been read
    bool endsLinesWithCr = false; ///< the latest line ended with a CR alone
    std::string eventId;
};

/// Longest event that is accepted. Callers that have so many bytes to read are disconnected.
constexpr std::size_t maxEventBytes = 1024 * 1024;

/// Appends `bytes` and returns all events and comments that are now complete, unchanged.
std::string extractEvents(event_stream &stream, std::string_view bytes);
/// Whether the bytes so far end in the middle of an event or of a line.
bool isInsideEvent(const event_stream &stream);
/// Whether another server can go on with the stream: its events so far have an id to go on after.
bool canResume(const event_stream &stream);
/// Drops the incomplete event, before the response of another server.
void beginNextResponse(event_stream &stream);

}
