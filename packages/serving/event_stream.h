#pragma once

#include <string>
#include <string_view>

namespace briarhead {

/// Splits a stream of server-sent events into complete events. A caller then never receives an event that a
/// server cut off in the middle, and another server can resume after the last complete one.
struct event_stream
{
    std::string partial; ///< bytes of the event that is still incomplete
    std::string lastId; ///< id of the last complete event, empty before the first
};

/// Appends `bytes` and returns all events that are now complete, unchanged.
std::string extractEvents(event_stream &stream, std::string_view bytes);

}
