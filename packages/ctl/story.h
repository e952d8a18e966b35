#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarhead {

/// One line of a daemon's log that says something about a request.
struct story_line
{
    std::int64_t at = 0; ///< ms since the Unix epoch, by that instance's clock
    std::string node;
    std::string event;
    std::string rest; ///< the other fields as JSON
};

/// What the logs of one or more daemons tell of a request.
struct request_story
{
    std::vector<story_line> lines; ///< in order of time
    std::vector<std::string> missing; ///< what should be there and isn't, and why that may be
};

/// Lines about a server or a configuration belong to a story if they are at most this much older than its
/// first line, in ms: beliefs change within seconds.
constexpr std::int64_t storyBackgroundMs = 3'000;

/// The story of the request with that id, out of log lines (one JSON object each, anything may stand in front
/// of it). Lines about the servers and instances that the request met are told with it.
request_story tellStory(const std::string &log, const std::string &id);

/// For people: a line each, times relative to the first.
std::string storyText(const request_story &story);

}
