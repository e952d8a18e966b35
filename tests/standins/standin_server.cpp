#include "standins/standin_server.h"

#include "state/clock.h"

#include <algorithm>
#include <charconv>

namespace briarhead {

namespace {

constexpr std::size_t bodyLimitBytes = 16 * 1024 * 1024;
constexpr std::string_view controlPrefix = "/standin/";

}

standin_server::standin_server(loop &eventLoop, std::string name)
    : m_loop(eventLoop)
    , m_name(std::move(name))
{
    route("POST", "/standin/faults", [this](const http_request &request, const reply_ptr &reply) {
        try {
            setFaults(json::parse(request.body));
            answer(reply, 200, json::object());
        } catch (const json::exception &problem) {
            answer(reply, 400, {{"error", {{"code", "bad_request"}, {"message", problem.what()}}}});
        }
    });
    route("GET", "/standin/record", [this](const http_request &request, const reply_ptr &reply) {
        answer(reply, 200, recordSince(request));
    });
    route("GET", "/standin/summary", [this](const http_request &, const reply_ptr &reply) {
        answer(reply, 200, summary());
    });
}

standin_server::~standin_server() = default;

bool standin_server::listen(std::uint16_t port, error &why)
{
    const auto onArrival = [this](http_request request, reply_ptr reply) {
        onRequest(std::move(request), std::move(reply));
    };
    m_server = http_server::listen(m_loop, "127.0.0.1", port, bodyLimitBytes, onArrival, why);
    return m_server != nullptr;
}

std::uint16_t standin_server::port() const
{
    return m_server->port();
}

std::string standin_server::url() const
{
    return "http://127.0.0.1:" + std::to_string(port());
}

const std::string &standin_server::name() const
{
    return m_name;
}

loop &standin_server::eventLoop()
{
    return m_loop;
}

std::vector<nlohmann::json> standin_server::recorded(std::string_view kind) const
{
    std::vector<json> entries;
    for (const json &entry : m_record) {
        if (entry["kind"] == kind) {
            entries.push_back(entry);
        }
    }
    return entries;
}

nlohmann::json standin_server::summary() const
{
    json counts = json::object();
    for (const json &entry : m_record) {
        json &count = counts[entry["kind"].get<std::string>()];
        count = count.is_null() ? 1 : count.get<std::uint64_t>() + 1;
    }
    return {{"name", m_name}, {"record", counts}};
}

void standin_server::setFaults(const json &faults)
{
    if (faults.contains("words")) {
        m_words.clear();
        for (const auto &[field, value] : faults["words"].items()) {
            m_words.emplace_back(field, value.get<std::string>());
        }
    }
    m_stall = {faults.value("stall_ms", m_stall.count)};
    m_loseAnswers = faults.value("lose_answers", m_loseAnswers);
    m_down = faults.value("down", m_down);
    if (const millis downFor{faults.value("down_ms", std::int64_t{0})}; downFor.count > 0) {
        m_down = true;
        later(downFor, [this] {
            m_down = false;
        });
    }
    m_hang = faults.value("hang", m_hang);
    m_holdPath = faults.value("hold", m_holdPath);
    for (auto &[request, reply] : std::exchange(m_held, {})) {
        if (holds(request)) {
            m_held.emplace_back(std::move(request), std::move(reply));
        } else {
            dispatch(request, reply);
        }
    }
}

void standin_server::route(const std::string &method, const std::string &path, handler call)
{
    m_routes[method + ' ' + path] = std::move(call);
}

void standin_server::note(std::string_view kind, json entry)
{
    entry["index"] = m_record.size();
    entry["kind"] = kind;
    entry["at_ms"] = bootNow().count;
    m_record.push_back(std::move(entry));
}

void standin_server::later(millis delay, std::function<void()> call)
{
    const std::uint64_t id = ++m_lastTimer;
    m_timers[id] = m_loop.timer(delay, {}, [this, id, call = std::move(call)] {
        m_timers.erase(id);
        call();
    });
}

void standin_server::answer(
    const reply_ptr &reply, int status, const json &body, const header_list &more) const
{
    header_list headers{{"Content-Type", "application/json"}};
    headers.insert(headers.end(), m_words.begin(), m_words.end());
    headers.insert(headers.end(), more.begin(), more.end());
    reply->respond(status, headers, body.dump());
}

const header_list &standin_server::words() const
{
    return m_words;
}

std::string standin_server::headerOf(const http_request &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found != request.headers.end() ? found->second : std::string();
}

std::uint64_t standin_server::numberOf(const std::string &text, std::uint64_t otherwise)
{
    std::uint64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::size_t standin_server::held() const
{
    return m_held.size();
}

bool standin_server::holds(const http_request &request) const
{
    return m_hang || (!m_holdPath.empty() && request.path == m_holdPath);
}

void standin_server::onRequest(http_request request, reply_ptr reply)
{
    if (request.path.starts_with(controlPrefix)) {
        dispatch(request, reply);
        return;
    }
    if (m_down) {
        reply->abort();
        return;
    }
    if (m_loseAnswers > 0 && request.method == "POST") {
        --m_loseAnswers;
        reply->abort();
    }
    if (holds(request)) {
        m_held.emplace_back(std::move(request), std::move(reply));
        return;
    }
    if (m_stall.count > 0) {
        later(m_stall, [this, request = std::move(request), reply = std::move(reply)] {
            dispatch(request, reply);
        });
        return;
    }
    dispatch(request, reply);
}

void standin_server::dispatch(const http_request &request, const reply_ptr &reply)
{
    const handler *call = find(request.method, request.path);
    if (call == nullptr) {
        answer(reply, 404, {{"error", {{"code", "unknown_path"}}}});
        return;
    }
    (*call)(request, reply);
}

const standin_server::handler *standin_server::find(const std::string &method, const std::string &path) const
{
    if (const auto exact = m_routes.find(method + ' ' + path); exact != m_routes.end()) {
        return &exact->second;
    }
    const std::string wanted = method + ' ' + path;
    for (const auto &[pattern, call] : m_routes) {
        const std::string_view prefix = std::string_view(pattern).substr(0, pattern.size() - 1);
        if (pattern.back() == '*' && wanted.starts_with(prefix)) {
            return &call;
        }
    }
    return nullptr;
}

nlohmann::json standin_server::recordSince(const http_request &request) const
{
    const auto since = request.query.find("since");
    const std::size_t from = since != request.query.end() ? numberOf(since->second) : 0;
    const auto first = m_record.begin() + static_cast<std::ptrdiff_t>(std::min(from, m_record.size()));
    return {
        {"name", m_name}, {"next", m_record.size()}, {"entries", std::vector<json>(first, m_record.end())}};
}

}
