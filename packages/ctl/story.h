#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace briarhead {

/// One log line of a daemon that belongs to the story of a request.
struct story_line
{
    std::int64_t timeMs = 0; ///< ms since the Unix epoch, by the clock of the instance that logged it
    std::string node; ///< the instance that logged the line
    std::string event;
    std::string fields; ///< the remaining fields as a JSON object
};

/// What the logs of one or more daemons record about a request.
struct request_story
{
    std::vector<story_line> lines; ///< sorted by time
    std::vector<std::string> missing; ///< expected lines that were not found, each with the likely reason
};

/// Lines about a server or an instance are included from this long before the request's first line, in ms.
/// The state that an instance assumes of others changes within seconds, so older lines say nothing about the
/// request.
constexpr std::int64_t storyBackgroundMs = 3'000;

/// Collects the log lines of the request with the given id. A line of `log` should hold a JSON object, which
/// may be preceded by other text; lines without one are skipped. Lines about the servers and instances that
/// handled the request are included from storyBackgroundMs before its first line to its last line.
request_story tellStory(const std::string &log, const std::string &id);

/// Formats a story as text, one line per event, with times relative to the first.
std::string storyText(const request_story &story);

}
