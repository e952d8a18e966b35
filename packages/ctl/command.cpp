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

/// Everything a command needs.
struct command
{
    const arguments_map &given;
    admin_access access;
    bool asJson = false;

    bool flag(const char *name) const
    {
        return given.at(name).isBool() && given.at(name).asBool();
    }
    std::string text(const char *name, const std::string &otherwise = "") const
    {
        const docopt::value &value = given.at(name);
        return value.isString() ? value.asString() : otherwise;
    }
};

std::string environment(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value == nullptr || *value == '\0' ? otherwise : value;
}

exit_code fail(exit_code code, const std::string &text)
{
    std::cerr << "briarheadctl: " << text << '\n';
    return code;
}

std::string readAll(std::istream &from)
{
    return {std::istreambuf_iterator<char>(from), std::istreambuf_iterator<char>()};
}

/// The key without the line's end that an editor or `echo` leaves behind it.
std::string trimmed(std::string text)
{
    text.erase(text.find_last_not_of(" \r\n\t") + 1);
    return text;
}

/// What a daemon's refusal means to a script.
exit_code codeOf(int status)
{
    if (status == 503) {
        return exit_code::Unreachable;
    }
    return status == 504 || status == 502 ? exit_code::Unknown : exit_code::Refused;
}

/// Makes a call and reads its JSON; where that fails it has printed why and set `code`.
std::optional<json> ask(const command &of, const std::string &method, const std::string &path,
    const std::string &body, exit_code &code)
{
    error why;
    const auto answer = callAdmin(of.access, method, path, body, why);
    if (!answer) {
        const bool sent = why.kind == error_kind::Timeout && method == "POST";
        code = fail(sent ? exit_code::Unknown : exit_code::Unreachable,
            "No daemon answered at " + of.access.url + ": " + why.detail
                + (sent ? ". It may have been carried out; send the same again, a patch is applied once by "
                          "its id."
                        : ". Name a running one with --daemon or BRIARHEAD_DAEMON."));
        return std::nullopt;
    }
    json page = json::parse(answer->body, nullptr, false);
    if (answer->status == 200 && !page.is_discarded()) {
        code = exit_code::Ok;
        return page;
    }
    std::string reason = "the daemon answered " + std::to_string(answer->status);
    if (page.is_object() && page.contains("error")) {
        reason = page["error"].value("message", reason);
    }
    if (of.asJson && page.is_object()) {
        std::cout << page.dump() << '\n';
    }
    code = fail(codeOf(answer->status), reason);
    return std::nullopt;
}

void print(const json &page)
{
    std::cout << page.dump(2) << '\n';
}

std::string cell(const json &row, const char *name)
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

/// Rows of a page as a table, sorted by their first column.
void printTable(const json &rows, const std::vector<std::pair<const char *, const char *>> &columns)
{
    text_table table;
    for (const auto &[title, key] : columns) {
        table.head.emplace_back(title);
    }
    for (const json &row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto &[title, key] : columns) {
            cells.push_back(cell(row, key));
        }
        table.rows.push_back(std::move(cells));
    }
    std::sort(table.rows.begin(), table.rows.end());
    std::cout << toText(table);
}

std::string timeText(std::int64_t atMs)
{
    const std::time_t seconds = atMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &parts);
    return text;
}

std::string newPatchId()
{
    std::random_device random;
    std::string id = "ctl-";
    for (int i = 0; i < 4; ++i) {
        id += std::to_string(random());
    }
    return id;
}

// ---- the commands

exit_code patch(const command &of)
{
    const std::string path = of.text("FILE");
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            return fail(exit_code::Usage,
                path + ": can't be read. Name an existing file, or '-' for standard input.");
        }
    }
    json body = json::parse(path == "-" ? readAll(std::cin) : readAll(file), nullptr, false);
    if (!body.is_object()) {
        return fail(
            exit_code::Usage, path + ": is not a JSON object. docs/OPERATIONS.md shows the form of a patch.");
    }
    if (!body.contains("id")) {
        body["id"] = newPatchId();
    }
    if (of.given.at("--by").isString() || !body.contains("by")) {
        body["by"] = of.text("--by", environment("USER", "operator"));
    }
    const bool dryRun = of.flag("--dry-run");
    exit_code code = exit_code::Ok;
    const auto page = ask(of, "POST", dryRun ? "/admin/patch?dry_run=1" : "/admin/patch", body.dump(), code);
    if (!page) {
        if (code == exit_code::Unknown) {
            std::cerr << "  patch id: " << cell(body, "id") << '\n';
        }
        return code;
    }
    if (of.asJson) {
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

exit_code show(const command &of)
{
    const std::string version = of.text("--version-number");
    exit_code code = exit_code::Ok;
    const auto page =
        ask(of, "GET", "/admin/config" + (version.empty() ? "" : "?version=" + version), "", code);
    if (!page) {
        return code;
    }
    json part = *page;
    for (const char *step : {"SECTION", "NAME"}) {
        const std::string name = of.text(step);
        if (name.empty()) {
            continue;
        }
        if (!part.is_object() || !part.contains(name)) {
            return fail(exit_code::Refused,
                name + ": is not in the configuration. 'briarheadctl show' prints all of it.");
        }
        part = json(part[name]);
    }
    print(part);
    return code;
}

exit_code history(const command &of)
{
    exit_code code = exit_code::Ok;
    const auto page = ask(of, "GET", "/admin/history?limit=" + of.text("--limit", "20"), "", code);
    if (!page) {
        return code;
    }
    if (of.asJson) {
        print(*page);
        return code;
    }
    text_table table{{"VERSION", "WHEN", "BY", "ID", "NOTE"}, {}};
    for (const json &row : page->value("patches", json::array())) {
        table.rows.push_back({cell(row, "version"), timeText(row.value("at_ms", std::int64_t{0})),
            cell(row, "by"), cell(row, "id"), cell(row, "note")});
    }
    std::cout << toText(table);
    if (page->contains("partial")) {
        std::cout << "Not all: " << cell(*page, "partial") << '\n';
    }
    return code;
}

exit_code list(const command &of, const std::string &path, const char *key,
    const std::vector<std::pair<const char *, const char *>> &columns)
{
    exit_code code = exit_code::Ok;
    const auto page = ask(of, "GET", path, "", code);
    if (!page) {
        return code;
    }
    if (of.asJson) {
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

exit_code drain(const command &of)
{
    const bool undo = of.flag("--undo");
    const json body{{of.flag("server") ? "server" : "instance", of.text("NAME")}, {"undo", undo}};
    exit_code code = exit_code::Ok;
    const auto page = ask(of, "POST", "/admin/drain", body.dump(), code);
    if (!page) {
        return code;
    }
    if (of.asJson) {
        print(*page);
    } else {
        std::cout << of.text("NAME") << (undo ? " takes work again.\n" : " is drained.\n");
    }
    return code;
}

exit_code burn(const command &of)
{
    exit_code code = exit_code::Ok;
    const auto page = ask(of, "GET", "/admin/burn", "", code);
    if (!page) {
        return code;
    }
    if (of.asJson) {
        print(*page);
        return code;
    }
    error why;
    const auto report = parseBurn(page->dump(), why);
    if (!report) {
        return fail(exit_code::Refused, message(why));
    }
    const std::string file = of.text("--html");
    if (file.empty()) {
        std::cout << burnTable(*report);
        return code;
    }
    std::ofstream out(file);
    out << burnPage(*report, wallNow());
    return out.good() ? code : fail(exit_code::Usage, file + ": can't be written. Name another file.");
}

exit_code hashKey()
{
    const std::string key = trimmed(readAll(std::cin));
    if (key.empty()) {
        return fail(exit_code::Usage, "No key on standard input. Pipe the key into this command.");
    }
    std::cout << keyHash(key) << '\n';
    return exit_code::Ok;
}

exit_code story(const command &of)
{
    std::string log;
    for (const std::string &path : of.given.at("LOG").asStringList()) {
        if (path == "-") {
            log += readAll(std::cin);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            return fail(exit_code::Usage, path + ": can't be read. Name a file with a daemon's log.");
        }
        log += readAll(file) + '\n';
    }
    const request_story told = tellStory(log, of.text("ID"));
    std::cout << storyText(told);
    return told.lines.empty() ? exit_code::Refused : exit_code::Ok;
}

exit_code run(const command &of)
{
    if (of.flag("patch")) {
        return patch(of);
    }
    if (of.flag("show")) {
        return show(of);
    }
    if (of.flag("history")) {
        return history(of);
    }
    if (of.flag("instances") && !of.flag("drain")) {
        return list(of, "/admin/instances", "instances",
            {{"NAME", "name"}, {"FAILURE DOMAIN", "failure_domain"}, {"STATE", "state"},
                {"VERSION", "config_version"}, {"OWNS", "owned"}});
    }
    if (of.flag("servers")) {
        return list(of, "/admin/servers", "servers",
            {{"NAME", "name"}, {"OWNER", "owner"}, {"ROLE", "role"}, {"FAILURE DOMAIN", "failure_domain"},
                {"SLOTS", "slots"}, {"USED", "used"}, {"RUNNING", "in_flight"}, {"BATCH", "batch_limit"},
                {"WAITING", "waiting"}, {"LEAVING", "leaving"}, {"DRAINED", "draining"}});
    }
    if (of.flag("adapters")) {
        const std::string name = of.text("NAME");
        return list(of, "/admin/adapters" + (name.empty() ? "" : "?name=" + name), "adapters",
            {{"ADAPTER", "adapter"}, {"SERVER", "server"}, {"OWNER", "owner"}, {"STATE", "state"},
                {"RUNNING", "in_flight"}});
    }
    return of.flag("drain") ? drain(of) : burn(of);
}

}

int runCommand(const std::map<std::string, docopt::value> &arguments)
{
    command of{arguments, {}, false};
    if (of.flag("hash-key")) {
        return static_cast<int>(hashKey());
    }
    if (of.flag("story")) {
        return static_cast<int>(story(of));
    }
    of.asJson = of.flag("--json");
    of.access.url = of.text("--daemon", environment("BRIARHEAD_DAEMON", "http://127.0.0.1:8080"));
    of.access.operatorKey = environment("BRIARHEAD_OPERATOR_KEY", "");
    if (const std::string path = of.text("--key-file"); !path.empty()) {
        std::ifstream file(path);
        of.access.operatorKey = trimmed(readAll(file));
    }
    if (of.access.operatorKey.empty()) {
        return static_cast<int>(fail(exit_code::Usage,
            "No operator's key. Put it into BRIARHEAD_OPERATOR_KEY or name a file with --key-file."));
    }
    return static_cast<int>(run(of));
}

}
