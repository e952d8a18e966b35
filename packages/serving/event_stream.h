#pragma once

#include <string>
#include <string_view>

namespace briarhead {

/// Cuts a stream of server-sent events into whole events, so that one that a server broke off in the middle
/// never reaches a caller and another server can go on after the last whole one.
struct event_stream
{
    std::string partial; ///< the event that is coming in
    std::string lastId; ///< id of the last whole event, empty before the first
};

/// Takes bytes in and returns the events that are whole now, as sent.
std::string extractEvents(event_stream &stream, std::string_view bytes);

}
