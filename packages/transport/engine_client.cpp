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
/// Within maxOrderLatencyMs, in which an order or run has to reach the engine.
constexpr millis maxUserTimeout{5'000};
constexpr int httpUnavailable = 503;
constexpr millis maxRetryAfter{24LL * 3'600 * 1'000};
/// The engine's deadline precedes the caller's by an eighth of the time left, but at most by this.
constexpr std::int64_t maxDeadlineMarginMs = 500;
constexpr std::int64_t deadlineMarginDivisor = 8;
/// An error's body is only read for its code; bytes beyond this limit are dropped.
constexpr std::size_t maxErrorBodyBytes = 64 * 1024;

/// The meaning of an engine's error response. An engine sends these codes only before a run has begun or an
/// order has taken effect, so each of them proves that nothing was executed.
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

/// An engine's error response, as far as it could be parsed.
struct refusal
{
    error_kind kind = error_kind::None; ///< None: no known code; the run or order may have been executed
    std::string code;
    std::uint64_t fencingToken = 0;
    millis retryAfter;
};

json parseObject(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json::object();
}

std::uint64_t numberIn(const json &object, const char *name)
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

/// Returns "retry_after_ms" of the body if present, otherwise the seconds of the Retry-After header.
millis retryAfterOf(const http_result &result, const json &problem)
{
    if (const auto ms = static_cast<std::int64_t>(numberIn(problem, "retry_after_ms")); ms > 0) {
        return {ms};
    }
    const auto header = result.headers.find("retry-after");
    return header == result.headers.end() ? millis{}
                                          : parseSeconds(header->second, maxRetryAfter).value_or(millis{});
}

refusal parseRefusal(const http_result &result, std::string_view body)
{
    const json response = parseObject(body);
    const json problem =
        response.contains("error") && response["error"].is_object() ? response["error"] : json::object();
    refusal parsed;
    parsed.code = textIn(problem, "code");
    parsed.fencingToken = numberIn(problem, "fencing");
    parsed.retryAfter = retryAfterOf(result, problem);
    const auto row =
        std::find_if(refusalTable.begin(), refusalTable.end(), [&](const refusal_row &candidate) {
            return candidate.status == result.status && candidate.code == parsed.code;
        });
    parsed.kind = row != refusalTable.end() ? row->kind : error_kind::None;
    return parsed;
}

/// Returns the reason why a call failed without a known refusal: the transport's error or the unexpected
/// status.
error failureOf(const http_result &result, const std::string &url)
{
    if (result.why.kind != error_kind::None) {
        return result.why;
    }
    if (result.status == httpOk) {
        return {error_kind::ConnectionLost, url, "the stream ended before its end mark"};
    }
    return {error_kind::Internal, url, "unexpected status " + std::to_string(result.status)};
}

/// Checks whether a stream of server-sent events ended with its end mark and without an error. A stream that
/// breaks off between two events, or carries the engine's error in place of a token, looks complete to the
/// transport if the engine then closes the connection normally; it must not be reported to a caller as done.
class stream_checker
{
public:
    void feed(std::string_view bytes)
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
    bool complete() const
    {
        return m_done && !m_failed;
    }

private:
    static constexpr std::string_view endMark = "data: [DONE]";
    static constexpr std::string_view errorMark = R"(data: {"error")";
    /// Length of a line's start that is kept: enough to recognise both marks, including a "\r" at the end.
    static constexpr std::size_t lineStartBytes = 16;

    void append(std::string_view bytes)
    {
        m_lineStart.append(bytes.substr(0, lineStartBytes - m_lineStart.size()));
    }
    void endLine()
    {
        std::string_view line = m_lineStart;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        m_done = m_done || line == endMark;
        m_failed = m_failed || line.starts_with(errorMark);
        m_lineStart.clear();
    }

    std::string m_lineStart;
    bool m_done = false;
    bool m_failed = false;
};

/// What has been received of one run so far.
struct run_progress
{
    stream_checker stream;
    std::string errorBody;
    bool started = false;
};

engine_run_end toRunEnd(const http_result &result, const run_progress &progress, const std::string &url)
{
    if (result.status == httpOk && endedInOrder(result) && progress.stream.complete()) {
        return {outcome::Done, {}, {}};
    }
    if (!result.sent) {
        return {outcome::NotRun, failureOf(result, url), {}};
    }
    if (const refusal refused = parseRefusal(result, progress.errorBody); refused.kind != error_kind::None) {
        return {outcome::NotRun, {refused.kind, url, refused.code}, refused.retryAfter};
    }
    return {outcome::Unknown, failureOf(result, url), {}};
}

engine_order_end toOrderEnd(const http_result &result, const std::string &url)
{
    if (result.status == httpOk && endedInOrder(result)) {
        return {true, true, {}, numberIn(parseObject(result.body), "fencing")};
    }
    const refusal refused = parseRefusal(result, result.body);
    if (refused.kind != error_kind::None) {
        return {false, true, {refused.kind, url, refused.code}, refused.fencingToken};
    }
    return {false, !result.sent, failureOf(result, url), 0};
}

std::string fencingHeader(std::uint64_t fencingToken)
{
    return "X-Fencing-Token: " + std::to_string(fencingToken);
}

http_call makePost(const std::string &url, std::string body, millis timeout)
{
    http_call call;
    call.method = "POST";
    call.url = url;
    call.headers = {"Content-Type: application/json"};
    call.body = std::move(body);
    // 0 would mean no timeout; a deadline that has passed becomes the shortest one.
    call.timeout = {std::max<std::int64_t>(timeout.count, 1)};
    // At the timeout the kernel drops the bytes that it still buffers, also while this process is paused. So
    // no order or run reaches the engine long after its sender has abandoned it. It also decides when
    // keep-alive probes give up, so a long run's would not notice an engine that is gone.
    call.userTimeout = std::min(call.timeout, maxUserTimeout);
    // When a kept connection turns out to be dead and no byte of a response has arrived, libcurl silently
    // resends the request on a new one. A run would then be executed twice if the engine had begun it and
    // then crashed or closed the connection before its first byte. An order would be sent again after the
    // fence had reset its socket, past the end of the lease. On a new connection libcurl never resends; this
    // takes one handshake per request (see docs/DESIGN.md for the cost).
    call.freshConnection = true;
    return call;
}

/// Returns the deadline to send to the engine, somewhat earlier than the caller's. Otherwise an engine that
/// refuses a run because its deadline passed in the queue would do so just after this side has abandoned the
/// call, and a request that certainly never ran would have to be reported as Unknown.
millis engineDeadline(millis deadline)
{
    return {deadline.count - std::min(maxDeadlineMarginMs, deadline.count / deadlineMarginDivisor)};
}

http_call makeGet(const std::string &url, millis timeout)
{
    http_call call;
    call.url = url;
    call.timeout = timeout;
    return call;
}

/// Returns the JSON object of a complete response with status 200, or nothing and the reason in `why`.
std::optional<json> parseObjectResponse(const http_result &result, const std::string &url, error &why)
{
    if (result.status != httpOk || !endedInOrder(result)) {
        why = failureOf(result, url);
        return std::nullopt;
    }
    json value = json::parse(result.body, nullptr, false);
    if (!value.is_object()) {
        why = {error_kind::Internal, url, "the answer is no JSON object"};
        return std::nullopt;
    }
    return value;
}

/// Reads the notice in an engine's response. The engine's error codes and "retry_after_ms" count as well as
/// the header fields.
response_notice readEngineNotice(const http_result &result, std::string_view body)
{
    response_notice notice = readResponseNotice(result);
    if (result.status == httpUnavailable) {
        const refusal refused = parseRefusal(result, body);
        notice.leaving = notice.leaving || refused.code == "leaving";
        notice.pause = refused.retryAfter;
    }
    return notice;
}

/// Requests a JSON object and passes it to `done` as parsed by `parse`.
template <class parsed, class parser>
void requestObject(http_client &http, const std::string &url, millis timeout, parser parse,
    std::function<void(const http_result &, std::string_view)> forwardNotice,
    std::function<void(const std::optional<parsed> &, const error &)> done)
{
    http.start(makeGet(url, timeout),
        [url, parse, forwardNotice = std::move(forwardNotice), done = std::move(done)](
            const http_result &result) {
            forwardNotice(result, result.body);
            error why;
            const auto object = parseObjectResponse(result, url, why);
            done(object ? std::optional<parsed>(parse(*object)) : std::nullopt, why);
        });
}

engine_state parseState(const json &object)
{
    engine_state state;
    state.incarnation = textIn(object, "incarnation");
    state.baseModel = textIn(object, "base_model");
    state.role = textIn(object, "role");
    state.leaving = flagIn(object, "leaving");
    state.checksFencing = flagIn(object, "checks_fencing");
    state.fencingToken = numberIn(object, "fencing");
    state.slots = static_cast<std::uint32_t>(numberIn(object, "slots"));
    state.batchLimit = static_cast<std::uint32_t>(numberIn(object, "batch_limit"));
    state.resident = adaptersIn(object, "resident");
    state.loading = adaptersIn(object, "loading");
    return state;
}

engine_report parseReport(const json &object)
{
    engine_report report;
    report.asOfMs = static_cast<std::int64_t>(numberIn(object, "as_of_ms"));
    report.fencingToken = numberIn(object, "fencing");
    report.running = static_cast<std::uint32_t>(numberIn(object, "running"));
    report.queued = static_cast<std::uint32_t>(numberIn(object, "queued"));
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

engine_cache_events parseCacheEvents(const json &object)
{
    engine_cache_events events;
    events.next = numberIn(object, "next");
    for (const json &item : listIn(object, "events")) {
        const auto ref = item.is_object() ? parseAdapterRef(textIn(item, "adapter")) : std::nullopt;
        if (ref) {
            events.events.push_back(
                {numberIn(item, "seq"), *ref, numberIn(item, "prefix"), textIn(item, "kind") == "stored"});
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
    const auto parsed = std::from_chars(text.data() + colon + 1, end, ref.version);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
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
    m_onResponseNotice = std::move(call);
}

std::function<void(const http_result &, std::string_view)> engine_client::noticeForwarder() const
{
    return [onResponseNotice = m_onResponseNotice](const http_result &result, std::string_view body) {
        const response_notice notice = readEngineNotice(result, body);
        if (onResponseNotice && (notice.leaving || notice.pause > millis{})) {
            onResponseNotice(notice);
        }
    };
}

void engine_client::order(const std::string &path, const std::string &body, std::uint64_t fencingToken,
    millis timeout, on_order done)
{
    http_call call = makePost(m_url + path, body, timeout);
    call.headers.push_back(fencingHeader(fencingToken));
    m_http.start(call,
        [url = call.url, forwardNotice = noticeForwarder(), done = std::move(done)](
            const http_result &result) {
            forwardNotice(result, result.body);
            done(toOrderEnd(result, url));
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
    requestObject<engine_state>(
        m_http, m_url + "/v1/state", timeout, parseState, noticeForwarder(), std::move(done));
}

void engine_client::report(
    millis timeout, std::function<void(const std::optional<engine_report> &, const error &)> done)
{
    requestObject<engine_report>(
        m_http, m_url + "/v1/report", timeout, parseReport, noticeForwarder(), std::move(done));
}

void engine_client::cacheEvents(std::uint64_t since, millis timeout,
    std::function<void(const std::optional<engine_cache_events> &, const error &)> done)
{
    const std::string url = m_url + "/v1/events?since=" + std::to_string(since);
    requestObject<engine_cache_events>(
        m_http, url, timeout, parseCacheEvents, noticeForwarder(), std::move(done));
}

http_client::call_id engine_client::run(const engine_run &request,
    std::function<void(std::string_view adapter)> onStart,
    std::function<void(std::string_view bytes)> onBytes, std::function<void(const engine_run_end &)> onEnd)
{
    http_call call = makePost(m_url + request.path, request.body, request.deadline);
    call.headers.push_back("X-Request-Id: " + toString(request.id));
    call.headers.push_back(fencingHeader(request.fencingToken));
    call.headers.push_back("X-Priority: " + std::to_string(static_cast<int>(request.rank)));
    call.headers.push_back("X-Deadline-Ms: " + std::to_string(engineDeadline(call.timeout).count));
    if (!request.idempotent) {
        call.headers.emplace_back("X-Non-Idempotent: 1");
    }

    auto progress = std::make_shared<run_progress>();
    const auto onData = [progress, forwardNotice = noticeForwarder(), onStart = std::move(onStart),
                            onBytes = std::move(onBytes)](const http_result &sofar, std::string_view bytes) {
        if (sofar.status != httpOk) {
            const std::size_t remaining = maxErrorBodyBytes - progress->errorBody.size();
            progress->errorBody.append(bytes.substr(0, remaining));
            return;
        }
        if (!std::exchange(progress->started, true)) {
            forwardNotice(sofar, {});
            const auto adapter = sofar.headers.find("x-adapter");
            onStart(adapter != sofar.headers.end() ? std::string_view(adapter->second) : std::string_view());
        }
        progress->stream.feed(bytes);
        onBytes(bytes);
    };
    const auto onDone = [progress, url = call.url, forwardNotice = noticeForwarder(),
                            onEnd = std::move(onEnd)](const http_result &result) {
        forwardNotice(result, progress->errorBody);
        onEnd(toRunEnd(result, *progress, url));
    };
    return m_http.start(call, onDone, onData);
}

void engine_client::cancel(http_client::call_id call, const request_id &id, on_order done)
{
    m_http.cancel(call);
    // Most engines stop when the stream is closed. The order is for those that only notice at their next
    // write, and for requests that are still queued.
    const json body{{"request_id", toString(id)}};
    const http_call order = makePost(m_url + "/v1/cancel", body.dump(), cancelTimeout);
    m_http.start(order, [url = order.url, done = std::move(done)](const http_result &result) {
        if (done) {
            done(toOrderEnd(result, url));
        }
    });
}

}
