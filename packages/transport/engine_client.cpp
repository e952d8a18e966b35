#include "transport/engine_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <memory>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr int httpOk = 200;
constexpr millis cancelTimeout{1'000};
constexpr int httpUnavailable = 503;
constexpr millis longestRetryAfter{24LL * 3'600 * 1'000};
constexpr std::int64_t maxAnswerMarginMs = 500;
constexpr std::int64_t answerMarginShare = 8;
/// An error's body is read for its code only; what an engine sends beyond this is dropped.
constexpr std::size_t maxErrorBodyBytes = 64 * 1024;

/// What an engine's error answer means. An engine sends these codes before a run began or an order took
/// effect, so each of them proves that nothing happened.
struct refusal_row
{
    int status;
    std::string_view code;
    error_kind kind;
};

constexpr std::array refusalTable{
    refusal_row{400, "bad_request", error_kind::BadRequest},
    refusal_row{404, "not_resident", error_kind::NoServer},
    refusal_row{409, "stale_fencing", error_kind::StaleFencing},
    refusal_row{409, "no_free_slot", error_kind::Overloaded},
    refusal_row{502, "load_failed", error_kind::LoadFailed},
    refusal_row{503, "busy", error_kind::Overloaded},
    refusal_row{503, "loading", error_kind::NotReady},
    refusal_row{503, "leaving", error_kind::NotReady},
};

/// An engine's error answer, as far as it could be read.
struct refusal
{
    error_kind kind = error_kind::None; ///< None: no known code, so nothing is proved
    std::string code;
    std::uint64_t fencingToken = 0;
    millis retryAfter;
};

json parseObject(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json::object();
}

std::uint64_t numberOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string textIn(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool flagIn(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

json listIn(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : json::array();
}

std::vector<adapter_ref> adaptersIn(const json &object, const char *name)
{
    std::vector<adapter_ref> adapters;
    for (const json &item : listIn(object, name)) {
        const auto ref =
            item.is_string() ? parseAdapterRef(item.get_ref<const std::string &>()) : std::nullopt;
        if (ref) {
            adapters.push_back(*ref);
        }
    }
    return adapters;
}

/// The body's "retry_after_ms" where the engine gives it, else the header's seconds.
millis retryAfterOf(const http_result &result, const json &problem)
{
    if (const auto ms = static_cast<std::int64_t>(numberOf(problem, "retry_after_ms")); ms > 0) {
        return {ms};
    }
    const auto header = result.headers.find("retry-after");
    return header == result.headers.end()
        ? millis{}
        : parseSeconds(header->second, longestRetryAfter).value_or(millis{});
}

refusal readRefusal(const http_result &result, std::string_view body)
{
    const json answer = parseObject(body);
    const json problem =
        answer.contains("error") && answer["error"].is_object() ? answer["error"] : json::object();
    refusal read;
    read.code = textIn(problem, "code");
    read.fencingToken = numberOf(problem, "fencing");
    read.retryAfter = retryAfterOf(result, problem);
    const auto row = std::find_if(refusalTable.begin(), refusalTable.end(), [&](const refusal_row &one) {
        return one.status == result.status && one.code == read.code;
    });
    read.kind = row != refusalTable.end() ? row->kind : error_kind::None;
    return read;
}

/// The reason of an end without a known refusal: the transport's own, or the status nobody expected.
error reasonOf(const http_result &result, const std::string &url)
{
    if (result.why.kind != error_kind::None) {
        return result.why;
    }
    if (result.status == httpOk) {
        return {error_kind::ConnectionLost, url, "the stream ended before its end mark"};
    }
    return {error_kind::Internal, url, "unexpected status " + std::to_string(result.status)};
}

/// Watches a stream of server-sent events for its end mark. Guards against telling a caller "done" for a
/// stream that broke off between two events, or that carries the engine's error in place of a token:
/// both look whole to the transport when the engine still closes the connection in order.
class stream_watch
{
public:
    void take(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto lineEnd = bytes.find('\n');
            append(bytes.substr(0, lineEnd));
            if (lineEnd == std::string_view::npos) {
                return;
            }
            endLine();
            bytes.remove_prefix(lineEnd + 1);
        }
    }
    bool whole() const
    {
        return m_done && !m_failed;
    }

private:
    static constexpr std::string_view endMark = "data: [DONE]";
    static constexpr std::string_view errorMark = R"(data: {"error")";
    /// Enough of a line to tell the marks from everything else, a "\r" at the end included.
    static constexpr std::size_t headBytes = 16;

    void append(std::string_view part)
    {
        m_head.append(part.substr(0, headBytes - m_head.size()));
    }
    void endLine()
    {
        std::string_view line = m_head;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        m_done = m_done || line == endMark;
        m_failed = m_failed || line.starts_with(errorMark);
        m_head.clear();
    }

    std::string m_head;
    bool m_done = false;
    bool m_failed = false;
};

/// What one run has brought so far.
struct run_progress
{
    stream_watch stream;
    std::string errorBody;
    bool started = false;
};

engine_run_end runEndOf(const http_result &result, const run_progress &progress, const std::string &url)
{
    if (result.status == httpOk && result.complete && progress.stream.whole()) {
        return {outcome::Done, {}, {}};
    }
    if (!result.sent) {
        return {outcome::NotRun, reasonOf(result, url), {}};
    }
    if (const refusal read = readRefusal(result, progress.errorBody); read.kind != error_kind::None) {
        return {outcome::NotRun, {read.kind, url, read.code}, read.retryAfter};
    }
    return {outcome::Unknown, reasonOf(result, url), {}};
}

engine_order_end orderEndOf(const http_result &result, const std::string &url)
{
    if (result.status == httpOk && result.complete) {
        return {true, true, {}, numberOf(parseObject(result.body), "fencing")};
    }
    const refusal read = readRefusal(result, result.body);
    if (read.kind != error_kind::None) {
        return {false, true, {read.kind, url, read.code}, read.fencingToken};
    }
    return {false, !result.sent, reasonOf(result, url), 0};
}

std::string fencingHeader(std::uint64_t fencingToken)
{
    return "X-Fencing-Token: " + std::to_string(fencingToken);
}

http_call postTo(const std::string &url, std::string body, millis timeout)
{
    http_call call;
    call.method = "POST";
    call.url = url;
    call.headers = {"Content-Type: application/json"};
    call.body = std::move(body);
    // A limit of 0 would mean none at all; time that has run out is the shortest one.
    call.timeout = {std::max<std::int64_t>(timeout.count, 1)};
    // Bytes the kernel still holds when the time is over are dropped by it, also while this process is
    // paused, so that no order or run reaches the engine long after its sender gave it up.
    call.userTimeout = call.timeout;
    // On a kept connection that turns out dead, libcurl sends the request again on a new one without a
    // word if no byte of an answer had come. A run would then run twice: the engine may have begun it and
    // died or closed before its first byte. An order would be sent anew after the fence had cut its
    // socket, past the end of the lease. On a connection of its own libcurl never repeats a request; the
    // price is one handshake. See docs/DESIGN.md for what it costs.
    call.freshConnection = true;
    return call;
}

/// The deadline told to the engine, a little before the one its caller waits for. Else an engine that
/// refuses a run whose time passed in its queue says so just after the call was given up, and a request
/// that surely never ran would have to be told as unknown.
millis engineDeadline(millis deadline)
{
    return {deadline.count - std::min(maxAnswerMarginMs, deadline.count / answerMarginShare)};
}

http_call getFrom(const std::string &url, millis timeout)
{
    http_call call;
    call.url = url;
    call.timeout = timeout;
    return call;
}

/// The object in a whole 200 answer, or the reason why there is none.
std::optional<json> objectOf(const http_result &result, const std::string &url, error &why)
{
    if (result.status != httpOk || !result.complete) {
        why = reasonOf(result, url);
        return std::nullopt;
    }
    json value = json::parse(result.body, nullptr, false);
    if (!value.is_object()) {
        why = {error_kind::Internal, url, "the answer is no JSON object"};
        return std::nullopt;
    }
    return value;
}

/// What an engine's answer says of it; its own codes count like the fields.
response_notice engineWords(const http_result &result, std::string_view body)
{
    response_notice words = readResponseNotice(result);
    if (result.status == httpUnavailable) {
        const refusal read = readRefusal(result, body);
        words.leaving = words.leaving || read.code == "leaving";
        words.pause = read.retryAfter;
    }
    return words;
}

/// Asks for an object and gives what `read` makes of it.
template <class answer, class reader>
void ask(http_client &http, const std::string &url, millis timeout, reader read,
    std::function<void(const http_result &, std::string_view)> tell,
    std::function<void(const std::optional<answer> &, const error &)> done)
{
    http.start(getFrom(url, timeout),
        [url, read, tell = std::move(tell), done = std::move(done)](const http_result &result) {
            tell(result, result.body);
            error why;
            const auto object = objectOf(result, url, why);
            done(object ? std::optional<answer>(read(*object)) : std::nullopt, why);
        });
}

engine_state readState(const json &object)
{
    engine_state state;
    state.incarnation = textIn(object, "incarnation");
    state.baseModel = textIn(object, "base_model");
    state.role = textIn(object, "role");
    state.leaving = flagIn(object, "leaving");
    state.checksFencing = flagIn(object, "checks_fencing");
    state.fencingToken = numberOf(object, "fencing");
    state.slots = static_cast<std::uint32_t>(numberOf(object, "slots"));
    state.batchLimit = static_cast<std::uint32_t>(numberOf(object, "batch_limit"));
    state.resident = adaptersIn(object, "resident");
    state.loading = adaptersIn(object, "loading");
    return state;
}

engine_report readReport(const json &object)
{
    engine_report report;
    report.asOfMs = static_cast<std::int64_t>(numberOf(object, "as_of_ms"));
    report.fencingToken = numberOf(object, "fencing");
    report.running = static_cast<std::uint32_t>(numberOf(object, "running"));
    report.queued = static_cast<std::uint32_t>(numberOf(object, "queued"));
    const auto counts = object.find("running_by_adapter");
    if (counts == object.end() || !counts->is_object()) {
        return report;
    }
    for (const auto &[name, count] : counts->items()) {
        if (const auto ref = parseAdapterRef(name); ref && count.is_number_unsigned()) {
            report.runningByAdapter.emplace_back(*ref, count.get<std::uint32_t>());
        }
    }
    return report;
}

engine_cache_events readCacheEvents(const json &object)
{
    engine_cache_events events;
    events.next = numberOf(object, "next");
    for (const json &item : listIn(object, "events")) {
        const auto ref = item.is_object() ? parseAdapterRef(textIn(item, "adapter")) : std::nullopt;
        if (ref) {
            events.events.push_back(
                {numberOf(item, "seq"), *ref, numberOf(item, "prefix"), textIn(item, "kind") == "stored"});
        }
    }
    return events;
}

}

std::optional<adapter_ref> parseAdapterRef(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return std::nullopt;
    }
    adapter_ref ref{std::string(text.substr(0, colon)), 0};
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, ref.version);
    if (read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return ref;
}

engine_client::engine_client(http_client &orders, std::string url)
    : m_http(orders)
    , m_url(std::move(url))
{
}

void engine_client::onResponseNotice(std::function<void(const response_notice &)> call)
{
    m_onWords = std::move(call);
}

std::function<void(const http_result &, std::string_view)> engine_client::teller() const
{
    return [onResponseNotice = m_onWords](const http_result &result, std::string_view body) {
        const response_notice words = engineWords(result, body);
        if (onResponseNotice && (words.leaving || words.pause > millis{})) {
            onResponseNotice(words);
        }
    };
}

void engine_client::order(const std::string &path, const std::string &body, std::uint64_t fencingToken,
    millis timeout, on_order done)
{
    http_call call = postTo(m_url + path, body, timeout);
    call.headers.push_back(fencingHeader(fencingToken));
    m_http.start(call, [url = call.url, tell = teller(), done = std::move(done)](const http_result &result) {
        tell(result, result.body);
        done(orderEndOf(result, url));
    });
}

void engine_client::claim(
    std::uint64_t fencingToken, const std::string &holder, millis timeout, on_order done)
{
    order("/v1/fence", json{{"holder", holder}}.dump(), fencingToken, timeout, std::move(done));
}

void engine_client::load(
    const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done)
{
    const std::string path = "store://" + adapter.adapter + '/' + std::to_string(adapter.version);
    const json body{{"lora_name", toString(adapter)}, {"lora_path", path}};
    order("/v1/load_lora_adapter", body.dump(), fencingToken, timeout, std::move(done));
}

void engine_client::unload(
    const adapter_ref &adapter, std::uint64_t fencingToken, millis timeout, on_order done)
{
    const json body{{"lora_name", toString(adapter)}};
    order("/v1/unload_lora_adapter", body.dump(), fencingToken, timeout, std::move(done));
}

void engine_client::role(const std::string &role, const std::string &baseModel, std::uint64_t fencingToken,
    millis timeout, on_order done)
{
    const json body{{"role", role}, {"base_model", baseModel}};
    order("/v1/role", body.dump(), fencingToken, timeout, std::move(done));
}

void engine_client::state(
    millis timeout, std::function<void(const std::optional<engine_state> &, const error &)> done)
{
    ask<engine_state>(m_http, m_url + "/v1/state", timeout, readState, teller(), std::move(done));
}

void engine_client::report(
    millis timeout, std::function<void(const std::optional<engine_report> &, const error &)> done)
{
    ask<engine_report>(m_http, m_url + "/v1/report", timeout, readReport, teller(), std::move(done));
}

void engine_client::cacheEvents(std::uint64_t since, millis timeout,
    std::function<void(const std::optional<engine_cache_events> &, const error &)> done)
{
    const std::string url = m_url + "/v1/events?since=" + std::to_string(since);
    ask<engine_cache_events>(m_http, url, timeout, readCacheEvents, teller(), std::move(done));
}

http_client::call_id engine_client::run(const engine_run &request,
    std::function<void(std::string_view adapter)> onStart,
    std::function<void(std::string_view bytes)> onBytes, std::function<void(const engine_run_end &)> onEnd)
{
    http_call call = postTo(m_url + request.path, request.body, request.deadline);
    call.headers.push_back("X-Request-Id: " + toString(request.id));
    call.headers.push_back(fencingHeader(request.fencingToken));
    call.headers.push_back("X-Priority: " + std::to_string(static_cast<int>(request.rank)));
    call.headers.push_back("X-Deadline-Ms: " + std::to_string(engineDeadline(call.timeout).count));
    if (!request.idempotent) {
        call.headers.emplace_back("X-Non-Idempotent: 1");
    }

    auto progress = std::make_shared<run_progress>();
    const auto onData = [progress, tell = teller(), onStart = std::move(onStart),
                            onBytes = std::move(onBytes)](const http_result &sofar, std::string_view bytes) {
        if (sofar.status != httpOk) {
            const std::size_t room = maxErrorBodyBytes - progress->errorBody.size();
            progress->errorBody.append(bytes.substr(0, room));
            return;
        }
        if (!std::exchange(progress->started, true)) {
            tell(sofar, {});
            const auto adapter = sofar.headers.find("x-adapter");
            onStart(adapter != sofar.headers.end() ? std::string_view(adapter->second) : std::string_view());
        }
        progress->stream.take(bytes);
        onBytes(bytes);
    };
    const auto onDone = [progress, url = call.url, tell = teller(), onEnd = std::move(onEnd)](
                            const http_result &result) {
        tell(result, progress->errorBody);
        onEnd(runEndOf(result, *progress, url));
    };
    return m_http.start(call, onDone, onData);
}

void engine_client::cancel(http_client::call_id call, const request_id &id, on_order done)
{
    m_http.cancel(call);
    // The closed stream tells most engines already; the order reaches those that only notice at the next
    // write, and those where the request still waits in the queue.
    const json body{{"request_id", toString(id)}};
    const http_call order = postTo(m_url + "/v1/cancel", body.dump(), cancelTimeout);
    m_http.start(order, [url = order.url, done = std::move(done)](const http_result &result) {
        if (done) {
            done(orderEndOf(result, url));
        }
    });
}

}
