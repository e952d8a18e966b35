#include "ctl/command.h"

#include "ctl/admin_client.h"
#include "ctl/burn_page.h"
#include "ctl/burn_report.h"
#include "ctl/story.h"
#include "ctl/table.h"
#include "state/config.h"
#include "state/key_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace briarhead {

namespace {

using json = nlohmann::json;
using arguments_map = std::map<std::string, docopt::value>;

/// The parsed command line and the daemon to call.
struct command_context
{
    const arguments_map &arguments;
    admin_endpoint endpoint;
    bool asJson = false; ///< print JSON instead of a table

    /// Whether a flag or a command word was given.
    bool flag(const char *name) const
    {
        return arguments.at(name).isBool() && arguments.at(name).asBool();
    }
    /// The value of an option or argument, or `fallback` if it was not given.
    std::string text(const char *name, const std::string &fallback = "") const
    {
        const docopt::value &value = arguments.at(name);
        return value.isString() ? value.asString() : fallback;
    }
};

/// An environment variable, or `fallback` if it is not set or empty.
std::string environment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr || *value == '\0' ? fallback : value;
}

/// Prints an error to standard error and returns `code`.
exit_code fail(exit_code code, const std::string &text)
{
    std::cerr << "briarheadctl: " << text << '\n';
    return code;
}

std::string readAll(std::istream &input)
{
    return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

/// Removes trailing white space, such as the newline that an editor or `echo` appends to a key.
std::string trimmed(std::string text)
{
    text.erase(text.find_last_not_of(" \r\n\t") + 1);
    return text;
}

/// The exit code for a response with an error status.
exit_code exitCodeOf(int status)
{
    if (status == 503) {
        return exit_code::Unreachable;
    }
    return status == 504 || status == 502 ? exit_code::Unknown : exit_code::Refused;
}

/// Sends a request to the daemon and returns the JSON of its response. On failure prints the error and
/// returns nullopt. Sets `code` in either case.
std::optional<json> callDaemon(const command_context &context, const std::string &method,
    const std::string &path, const std::string &body, exit_code &code)
{
    error why;
    const auto response = callAdmin(context.endpoint, method, path, body, why);
    if (!response) {
        const bool maybeApplied = why.kind == error_kind::Timeout && method == "POST";
        code = fail(maybeApplied ? exit_code::Unknown : exit_code::Unreachable,
            "No response from a daemon at " + context.endpoint.url + ": " + why.detail
                + (maybeApplied
                        ? ". The request may have been carried out. Send it again: a patch with the same "
                          "id is applied only once."
                        : ". Set the address of a running daemon with --daemon or BRIARHEAD_DAEMON."));
        return std::nullopt;
    }
    json page = json::parse(response->body, nullptr, false);
    if (response->status == 200 && !page.is_discarded()) {
        code = exit_code::Ok;
        return page;
    }
    std::string reason = "the daemon responded with status " + std::to_string(response->status);
    if (page.is_object() && page.contains("error")) {
        reason = page["error"].value("message", reason);
    }
    if (context.asJson && page.is_object()) {
        std::cout << page.dump() << '\n';
    }
    code = fail(exitCodeOf(response->status), reason);
    return std::nullopt;
}

void print(const json &page)
{
    std::cout << page.dump(2) << '\n';
}

/// A field of a JSON object as a table cell; "-" if it is absent or null.
std::string cellText(const json &row, const char *name)
{
    const auto found = row.find(name);
    if (found == row.end() || found->is_null()) {
        return "-";
    }
    if (found->is_boolean()) {
        return found->get<bool>() ? "yes" : "no";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Prints JSON objects as a table, sorted by the first column. A column is a heading and the key of its
/// field.
void printTable(const json &rows, const std::vector<std::pair<const char *, const char *>> &columns)
{
    text_table table;
    for (const auto &[heading, key] : columns) {
        table.header.emplace_back(heading);
    }
    for (const json &row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto &[heading, key] : columns) {
            cells.push_back(cellText(row, key));
        }
        table.rows.push_back(std::move(cells));
    }
    std::sort(table.rows.begin(), table.rows.end());
    std::cout << toText(table);
}

std::string timeText(std::int64_t timeMs)
{
    const std::time_t seconds = timeMs / 1000;
    std::tm calendarTime{};
    gmtime_r(&seconds, &calendarTime);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &calendarTime);
    return text;
}

/// A random id, under which the daemon applies the patch at most once.
std::string newPatchId()
{
    std::random_device random;
    std::string id = "ctl-";
    for (int i = 0; i < 4; ++i) {
        id += std::to_string(random());
    }
    return id;
}

// Commands. Each returns the exit code of the process.

exit_code patch(const command_context &context)
{
    const std::string path = context.text("FILE");
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            return fail(exit_code::Usage,
                path + ": cannot be read. Name an existing file, or '-' for standard input.");
        }
    }
    json body = json::parse(path == "-" ? readAll(std::cin) : readAll(file), nullptr, false);
    if (!body.is_object()) {
        return fail(exit_code::Usage,
            path + ": not a JSON object. docs/OPERATIONS.md describes the format of a patch.");
    }
    if (!body.contains("id")) {
        body["id"] = newPatchId();
    }
    if (context.arguments.at("--by").isString() || !body.contains("by")) {
        body["by"] = context.text("--by", environment("USER", "operator"));
    }
    const bool dryRun = context.flag("--dry-run");
    exit_code code = exit_code::Ok;
    const auto page =
        callDaemon(context, "POST", dryRun ? "/admin/patch?dry_run=1" : "/admin/patch", body.dump(), code);
    if (!page) {
        if (code == exit_code::Unknown) {
            std::cerr << "  patch id: " << cellText(body, "id") << '\n';
        }
        return code;
    }
    if (context.asJson) {
        print(*page);
    } else if (dryRun) {
        for (const json &line : page->value("changes", json::array())) {
            std::cout << line.get<std::string>() << '\n';
        }
    } else {
        std::cout << "Version " << page->value("version", 0) << " is accepted"
                  << (page->value("repeated", false) ? " (it already was)." : ".") << '\n';
    }
    return code;
}

exit_code show(const command_context &context)
{
    const std::string version = context.text("--version-number");
    exit_code code = exit_code::Ok;
    const auto page = callDaemon(
        context, "GET", "/admin/config" + (version.empty() ? "" : "?version=" + version), "", code);
    if (!page) {
        return code;
    }
    json selected = *page;
    for (const char *argument : {"SECTION", "NAME"}) {
        const std::string name = context.text(argument);
        if (name.empty()) {
            continue;
        }
        if (!selected.is_object() || !selected.contains(name)) {
            return fail(exit_code::Refused,
                name + ": not found in the configuration. 'briarheadctl show' prints all of it.");
        }
        selected = json(selected[name]);
    }
    print(selected);
    return code;
}

exit_code history(const command_context &context)
{
    exit_code code = exit_code::Ok;
    const auto page =
        callDaemon(context, "GET", "/admin/history?limit=" + context.text("--limit", "20"), "", code);
    if (!page) {
        return code;
    }
    if (context.asJson) {
        print(*page);
        return code;
    }
    text_table table{{"VERSION", "WHEN", "BY", "ID", "NOTE"}, {}};
    for (const json &row : page->value("patches", json::array())) {
        table.rows.push_back({cellText(row, "version"), timeText(row.value("at_ms", std::int64_t{0})),
            cellText(row, "by"), cellText(row, "id"), cellText(row, "note")});
    }
    std::cout << toText(table);
    if (page->contains("partial")) {
        std::cout << "Not all: " << cellText(*page, "partial") << '\n';
    }
    return code;
}

/// Prints the array `key` of an admin page as a table.
exit_code list(const command_context &context, const std::string &path, const char *key,
    const std::vector<std::pair<const char *, const char *>> &columns)
{
    exit_code code = exit_code::Ok;
    const auto page = callDaemon(context, "GET", path, "", code);
    if (!page) {
        return code;
    }
    if (context.asJson) {
        print(*page);
        return code;
    }
    printTable(page->value(key, json::array()), columns);
    const int answered = page->value("instances_answered", 0);
    const int known = page->value("instances_known", 0);
    if (answered < known) {
        std::cout << answered << " of " << known << " instances answered.\n";
    }
    return code;
}

exit_code drain(const command_context &context)
{
    const bool undo = context.flag("--undo");
    const json body{{context.flag("server") ? "server" : "instance", context.text("NAME")}, {"undo", undo}};
    exit_code code = exit_code::Ok;
    const auto page = callDaemon(context, "POST", "/admin/drain", body.dump(), code);
    if (!page) {
        return code;
    }
    if (context.asJson) {
        print(*page);
    } else {
        std::cout << context.text("NAME") << (undo ? " takes work again.\n" : " is drained.\n");
    }
    return code;
}

exit_code burn(const command_context &context)
{
    exit_code code = exit_code::Ok;
    const auto page = callDaemon(context, "GET", "/admin/burn", "", code);
    if (!page) {
        return code;
    }
    if (context.asJson) {
        print(*page);
        return code;
    }
    error why;
    const auto report = parseBurn(page->dump(), why);
    if (!report) {
        return fail(exit_code::Refused, message(why));
    }
    const std::string file = context.text("--html");
    if (file.empty()) {
        std::cout << burnTable(*report);
        return code;
    }
    std::ofstream out(file);
    out << burnPage(*report, wallNow());
    return out.good() ? code : fail(exit_code::Usage, file + ": cannot be written. Name another file.");
}

/// Prints the hash of the key on standard input.
exit_code hashKey()
{
    const std::string key = trimmed(readAll(std::cin));
    if (key.empty()) {
        return fail(exit_code::Usage, "No key on standard input. Pipe the key into this command.");
    }
    std::cout << keyHash(key) << '\n';
    return exit_code::Ok;
}

exit_code story(const command_context &context)
{
    std::string log;
    for (const std::string &path : context.arguments.at("LOG").asStringList()) {
        if (path == "-") {
            log += readAll(std::cin);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            return fail(exit_code::Usage, path + ": cannot be read. Name a file with a daemon's log.");
        }
        log += readAll(file) + '\n';
    }
    const request_story found = tellStory(log, context.text("ID"));
    std::cout << storyText(found);
    return found.lines.empty() ? exit_code::Refused : exit_code::Ok;
}

/// Runs a command that calls a daemon.
exit_code run(const command_context &context)
{
    if (context.flag("patch")) {
        return patch(context);
    }
    if (context.flag("show")) {
        return show(context);
    }
    if (context.flag("history")) {
        return history(context);
    }
    if (context.flag("instances") && !context.flag("drain")) {
        return list(context, "/admin/instances", "instances",
            {{"NAME", "name"}, {"FAILURE DOMAIN", "failure_domain"}, {"STATE", "state"},
                {"VERSION", "config_version"}, {"OWNS", "owned"}});
    }
    if (context.flag("servers")) {
        return list(context, "/admin/servers", "servers",
            {{"NAME", "name"}, {"OWNER", "owner"}, {"ROLE", "role"}, {"FAILURE DOMAIN", "failure_domain"},
                {"SLOTS", "slots"}, {"USED", "used"}, {"RUNNING", "in_flight"}, {"BATCH", "batch_limit"},
                {"WAITING", "waiting"}, {"LEAVING", "leaving"}, {"DRAINED", "draining"}});
    }
    if (context.flag("adapters")) {
        const std::string name = context.text("NAME");
        return list(context, "/admin/adapters" + (name.empty() ? "" : "?name=" + name), "adapters",
            {{"ADAPTER", "adapter"}, {"SERVER", "server"}, {"OWNER", "owner"}, {"STATE", "state"},
                {"RUNNING", "in_flight"}});
    }
    return context.flag("drain") ? drain(context) : burn(context);
}

}

int runCommand(const std::map<std::string, docopt::value> &arguments)
{
    command_context context{arguments, {}, false};
    if (context.flag("hash-key")) {
        return static_cast<int>(hashKey());
    }
    if (context.flag("story")) {
        return static_cast<int>(story(context));
    }
    context.asJson = context.flag("--json");
    context.endpoint.url = context.text("--daemon", environment("BRIARHEAD_DAEMON", "http://127.0.0.1:8080"));
    context.endpoint.operatorKey = environment("BRIARHEAD_OPERATOR_KEY", "");
    if (const std::string path = context.text("--key-file"); !path.empty()) {
        std::ifstream file(path);
        context.endpoint.operatorKey = trimmed(readAll(file));
    }
    if (context.endpoint.operatorKey.empty()) {
        return static_cast<int>(fail(
            exit_code::Usage, "No operator key. Set BRIARHEAD_OPERATOR_KEY or name a file with --key-file."));
    }
    return static_cast<int>(run(context));
}

}
