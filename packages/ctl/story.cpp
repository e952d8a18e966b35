#include "ctl/story.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace briarhead {

namespace {

using json = nlohmann::json;

struct parsed_line
{
    json object;
    story_line line;
};

std::vector<parsed_line> parseLog(const std::string &log)
{
    std::vector<parsed_line> out;
    std::istringstream in(log);
    for (std::string text; std::getline(in, text);) {
        const std::size_t brace = text.find('{');
        json object = brace == std::string::npos ? json() : json::parse(text.substr(brace), nullptr, false);
        if (!object.is_object() || !object.contains("event")) {
            continue;
        }
        parsed_line one;
        one.line.at = object.value("t", std::int64_t{0});
        one.line.node = object.value("node", "");
        one.line.event = object.value("event", "");
        one.object = std::move(object);
        out.push_back(std::move(one));
    }
    return out;
}

std::string fieldOf(const parsed_line &one, const char *name)
{
    const auto found = one.object.find(name);
    return found != one.object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Whether a line of no request says something about what the request met.
bool isBackground(
    const parsed_line &one, const std::set<std::string> &servers, const std::set<std::string> &nodes)
{
    if (!fieldOf(one, "id").empty()) {
        return false;
    }
    const bool ofServer = servers.count(fieldOf(one, "server")) != 0;
    const std::string &event = one.line.event;
    const bool ofNode = nodes.count(one.line.node) != 0
        && (event.starts_with("config.") || event.starts_with("store.") || event.starts_with("process.")
            || event.starts_with("version.") || event.starts_with("lease."));
    return ofServer || ofNode;
}

bool has(const request_story &story, const char *event)
{
    return std::any_of(story.lines.begin(), story.lines.end(), [event](const story_line &line) {
        return line.event == event;
    });
}

void findMissing(request_story &story, std::int64_t dropped)
{
    if (story.lines.empty()) {
        story.missing.emplace_back(
            "no line names this request: it reached none of these instances, or its lines "
            "were dropped; look for lines_dropped and add the other instances' logs");
        return;
    }
    if (!has(story, "request.accepted")) {
        story.missing.emplace_back(
            "no request.accepted: the line was dropped under load, or it is an older log");
    }
    if (!has(story, "request.ended")) {
        story.missing.emplace_back(
            "no request.ended: the instance died or was frozen while it had the request, "
            "or the line was dropped");
    }
    if (dropped > 0) {
        story.missing.emplace_back(
            std::to_string(dropped) + " lines were dropped on these instances around that time");
    }
}

}

request_story tellStory(const std::string &log, const std::string &id)
{
    const std::vector<parsed_line> all = parseLog(log);
    std::set<std::string> servers;
    std::set<std::string> nodes;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const parsed_line &one : all) {
        if (fieldOf(one, "id") != id) {
            continue;
        }
        nodes.insert(one.line.node);
        if (const std::string server = fieldOf(one, "server"); !server.empty()) {
            servers.insert(server);
        }
        first = first == 0 ? one.line.at : std::min(first, one.line.at);
        last = std::max(last, one.line.at);
    }
    request_story story;
    std::int64_t dropped = 0;
    for (const parsed_line &one : all) {
        const bool own = fieldOf(one, "id") == id;
        const bool near = first != 0 && one.line.at >= first - storyBackgroundMs && one.line.at <= last;
        if (near && nodes.count(one.line.node) != 0) {
            dropped += one.object.value("lines_dropped", std::int64_t{0});
        }
        if (!own && !(near && isBackground(one, servers, nodes))) {
            continue;
        }
        story_line line = one.line;
        json rest = one.object;
        for (const char *told : {"t", "node", "event"}) {
            rest.erase(told);
        }
        line.rest = rest.dump();
        story.lines.push_back(std::move(line));
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const story_line &a, const story_line &b) {
        return a.at < b.at;
    });
    findMissing(story, dropped);
    return story;
}

std::string storyText(const request_story &story)
{
    std::ostringstream out;
    const std::int64_t start = story.lines.empty() ? 0 : story.lines.front().at;
    for (const story_line &line : story.lines) {
        out << line.at - start << " ms  " << line.node << "  " << line.event << "  " << line.rest << '\n';
    }
    for (const std::string &gap : story.missing) {
        out << "missing: " << gap << '\n';
    }
    return out.str();
}

}
