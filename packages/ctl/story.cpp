#include "ctl/story.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace briarhead {

namespace {

using json = nlohmann::json;

/// A log line and the JSON object that it was read from.
struct parsed_line
{
    json object;
    story_line line;
};

/// The log lines that hold an event; others are skipped.
std::vector<parsed_line> parseLog(const std::string &log)
{
    std::vector<parsed_line> lines;
    std::istringstream in(log);
    for (std::string text; std::getline(in, text);) {
        const std::size_t brace = text.find('{');
        json object = brace == std::string::npos ? json() : json::parse(text.substr(brace), nullptr, false);
        if (!object.is_object() || !object.contains("event")) {
            continue;
        }
        parsed_line parsed;
        parsed.line.timeMs = object.value("t", std::int64_t{0});
        parsed.line.node = object.value("node", "");
        parsed.line.event = object.value("event", "");
        parsed.object = std::move(object);
        lines.push_back(std::move(parsed));
    }
    return lines;
}

/// A field that holds a string; empty if there is none.
std::string fieldOf(const parsed_line &parsed, const char *name)
{
    const auto found = parsed.object.find(name);
    return found != parsed.object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Whether a line that names no request is about a server or an instance that handled the request.
bool isBackground(
    const parsed_line &parsed, const std::set<std::string> &servers, const std::set<std::string> &nodes)
{
    if (!fieldOf(parsed, "id").empty()) {
        return false;
    }
    const bool isAboutServer = servers.count(fieldOf(parsed, "server")) != 0;
    const std::string &event = parsed.line.event;
    const bool isAboutNode = nodes.count(parsed.line.node) != 0
        && (event.starts_with("config.") || event.starts_with("store.") || event.starts_with("process.")
            || event.starts_with("version.") || event.starts_with("lease."));
    return isAboutServer || isAboutNode;
}

bool hasEvent(const request_story &story, const char *event)
{
    return std::any_of(story.lines.begin(), story.lines.end(), [event](const story_line &line) {
        return line.event == event;
    });
}

/// Records which lines a complete story would have, but this one lacks.
void findMissing(request_story &story, std::int64_t droppedLines)
{
    if (story.lines.empty()) {
        story.missing.emplace_back(
            "no log line has this request id: the request reached none of these instances, or its lines "
            "were dropped; look for lines_dropped and add the logs of the other instances");
        return;
    }
    if (!hasEvent(story, "request.accepted")) {
        story.missing.emplace_back("no request.accepted: the line was dropped under load, or the log was "
                                   "written by an older version");
    }
    if (!hasEvent(story, "request.ended")) {
        story.missing.emplace_back(
            "no request.ended: the instance crashed or stopped responding while it handled the request, "
            "or the line was dropped");
    }
    if (droppedLines > 0) {
        story.missing.emplace_back(
            std::to_string(droppedLines) + " lines were dropped by these instances around that time");
    }
}

}

request_story tellStory(const std::string &log, const std::string &id)
{
    const std::vector<parsed_line> parsedLines = parseLog(log);
    std::set<std::string> servers;
    std::set<std::string> nodes;
    std::int64_t firstMs = 0;
    std::int64_t lastMs = 0;
    for (const parsed_line &parsed : parsedLines) {
        if (fieldOf(parsed, "id") != id) {
            continue;
        }
        nodes.insert(parsed.line.node);
        if (const std::string server = fieldOf(parsed, "server"); !server.empty()) {
            servers.insert(server);
        }
        firstMs = firstMs == 0 ? parsed.line.timeMs : std::min(firstMs, parsed.line.timeMs);
        lastMs = std::max(lastMs, parsed.line.timeMs);
    }
    request_story story;
    std::int64_t droppedLines = 0;
    for (const parsed_line &parsed : parsedLines) {
        const bool namesRequest = fieldOf(parsed, "id") == id;
        const bool isCloseInTime =
            firstMs != 0 && parsed.line.timeMs >= firstMs - storyBackgroundMs && parsed.line.timeMs <= lastMs;
        if (isCloseInTime && nodes.count(parsed.line.node) != 0) {
            droppedLines += parsed.object.value("lines_dropped", std::int64_t{0});
        }
        if (!namesRequest && !(isCloseInTime && isBackground(parsed, servers, nodes))) {
            continue;
        }
        story_line line = parsed.line;
        json fields = parsed.object;
        for (const char *name : {"t", "node", "event"}) {
            fields.erase(name);
        }
        line.fields = fields.dump();
        story.lines.push_back(std::move(line));
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const story_line &a, const story_line &b) {
        return a.timeMs < b.timeMs;
    });
    findMissing(story, droppedLines);
    return story;
}

std::string storyText(const request_story &story)
{
    std::ostringstream out;
    const std::int64_t startMs = story.lines.empty() ? 0 : story.lines.front().timeMs;
    for (const story_line &line : story.lines) {
        out << line.timeMs - startMs << " ms  " << line.node << "  " << line.event << "  " << line.fields
            << '\n';
    }
    for (const std::string &missing : story.missing) {
        out << "missing: " << missing << '\n';
    }
    return out.str();
}

}
