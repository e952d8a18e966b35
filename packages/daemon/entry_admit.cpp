// How the entry task takes a request in: who it is from, what it asks for, and whether it may.
#include "coordination/rendezvous.h"
#include "coordination/request_fingerprint.h"
#include "daemon/answers.h"
#include "daemon/entry_task.h"
#include "state/key_hash.h"
#include "transport/response_notice.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace briarhead {

namespace {

/// The part of a prompt that decides prefix affinity.
constexpr std::size_t prefixBytes = 256;
constexpr std::size_t maxKeyBytes = 256;
/// Of a refusal by a plain service where nothing tells a better time.
constexpr millis usualComeBack{1'000};
/// A plain server that said it leaves is tried again after this long: nobody tells whether it has started
/// anew.
constexpr millis plainLeavingKept{60'000};

std::string headerOf(const http_request &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
}

std::optional<std::int64_t> numberOf(const std::string &text)
{
    std::int64_t value = 0;
    const auto end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end ? std::optional{value} : std::nullopt;
}

void refuse(http_reply &reply, error_kind kind, const std::string &where, const std::string &detail)
{
    respondError(reply, {outcome::NotRun, {kind, where, detail}, {}});
}

bool hasVersion(const adapter_config &adapter, std::int64_t version)
{
    const auto &all = adapter.versions;
    return std::any_of(all.begin(), all.end(), [version](std::uint32_t one) {
        return one == version;
    });
}

/// Percent-encodes what a URL can't carry as it is. The server hands out decoded text: sent on without this,
/// a space or '&' in a caller's query would change the meaning of the call, or break it.
std::string percentEncoded(std::string_view text, std::string_view alsoKept)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain =
            std::isalnum(byte) != 0 || std::string_view("-._~").find(c) != std::string_view::npos;
        if (plain || alsoKept.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

/// The path and query of a request as they go on to a service.
std::string urlPath(const http_request &request)
{
    std::string url = percentEncoded(request.path, "/");
    char separator = '?';
    for (const auto &[key, value] : request.query) {
        url += separator;
        url += percentEncoded(key, "");
        url += '=';
        url += percentEncoded(value, "");
        separator = '&';
    }
    return url;
}

std::string bearerOf(const http_request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string text = headerOf(request, "authorization");
    return text.substr(0, scheme.size()) == scheme ? text.substr(scheme.size()) : std::string{};
}

std::uint64_t prefixHash(const nlohmann::json &body)
{
    std::string head;
    if (body.contains("prompt")) {
        head = body["prompt"].is_string() ? body["prompt"].get<std::string>() : body["prompt"].dump();
    } else if (body.contains("messages")) {
        head = body["messages"].dump();
    }
    head.resize(std::min(head.size(), prefixBytes));
    return head.empty() ? 0 : XXH3_64bits(head.data(), head.size());
}

}

void entry_task::onRequest(const http_request &request, std::shared_ptr<http_reply> reply)
{
    auto one = std::make_shared<pending>();
    one->reply = std::move(reply);
    one->arrived = bootNow();
    one->path = request.path;
    one->method = request.method;
    if (request.tooLarge) {
        refuse(*one->reply, error_kind::TooLarge, request.path, "the body is larger than the limit");
        return;
    }
    if (!ready()) {
        respondError(*one->reply,
            {outcome::NotRun, {error_kind::NotReady, m_options.self, "no configuration yet"}, {1'000}});
        return;
    }
    one->config = m_config;
    if (request.path == "/v1/models") {
        listModels(request, one->reply);
        return;
    }
    if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
        if (request.method != "POST") {
            refuse(*one->reply, error_kind::BadRequest, request.path, "the method is not POST");
            return;
        }
        admitModel(one, request);
        return;
    }
    std::string name;
    if (findService(*m_config, request.path, name) != nullptr) {
        admitService(one, request, name);
        return;
    }
    refuse(*one->reply, error_kind::UnknownService, request.path, "no service has this path");
}

bool entry_task::authenticate(pending &one, const http_request &request)
{
    const std::string key = bearerOf(request);
    const std::string *caller = key.empty() ? nullptr : findCaller(*one.config, keyHash(key));
    if (caller == nullptr) {
        refuse(*one.reply, error_kind::Unauthorised, "Authorization", "no known key");
        return false;
    }
    one.caller = *caller;
    return true;
}

bool entry_task::applyRule(pending &one, const rule_config *rule, const std::string &what)
{
    if (rule == nullptr) {
        refuse(*one.reply, error_kind::Forbidden, what, "no rule lets " + one.caller + " reach it");
        return false;
    }
    // A caller may ask for a worse priority than the rule's, never for a better one.
    one.rank = std::max(one.rank, rule->bestPriority);
    const std::string limitKey =
        one.caller + "\n" + rule->callers + "\n" + rule->adapters + "\n" + rule->service;
    if (const auto wait = acquireCallerLimit(m_limits[limitKey], *rule, bootNow())) {
        const request_result end{
            outcome::NotRun, {error_kind::Overloaded, one.caller, "the rule's limit is reached"}, *wait};
        record(one, end.result, end.why.kind);
        respondError(*one.reply, end);
        return false;
    }
    one.limitKey = limitKey;
    return true;
}

bool entry_task::readHeaders(pending &one, const http_request &request)
{
    const policy_config &policy = one.config->policy;
    one.deadline = one.arrived + policy.defaultDeadline;
    if (const std::string text = headerOf(request, "x-deadline-ms"); !text.empty()) {
        const auto value = numberOf(text);
        if (!value || *value <= 0 || *value > policy.maxDeadline.count) {
            refuse(*one.reply, error_kind::BadRequest, "X-Deadline-Ms",
                "'" + text + "' is not a number from 1 to " + std::to_string(policy.maxDeadline.count));
            return false;
        }
        one.deadline = one.arrived + millis{*value};
    }
    one.rank = priority::Urgent;
    if (const std::string text = headerOf(request, "x-priority"); !text.empty()) {
        const auto value = priorityOf(text);
        if (!value) {
            refuse(*one.reply, error_kind::BadRequest, "X-Priority",
                "'" + text + "' is not urgent, high, normal or low");
            return false;
        }
        one.rank = *value;
    }
    const std::string key = headerOf(request, "idempotency-key");
    if (key.size() > maxKeyBytes) {
        refuse(*one.reply, error_kind::BadRequest, "Idempotency-Key", "longer than 256 bytes");
        return false;
    }
    if (!key.empty()) {
        one.key = one.caller + "\n" + key;
        one.idempotent = false;
    }
    // Whatever is not a plain no counts: a mark written in another way must not let a request run twice.
    const std::string mark = headerOf(request, "x-non-idempotent");
    if (!mark.empty() && mark != "false" && mark != "0" && mark != "no") {
        one.idempotent = false;
    }
    // Attempt numbers: our own header, or the retry count that common client libraries send by themselves.
    if (const auto value = numberOf(headerOf(request, "idempotency-attempt")); value && *value > 0) {
        one.attemptSaid = static_cast<std::uint32_t>(*value);
    } else if (const auto retries = numberOf(headerOf(request, "x-stainless-retry-count"));
               retries && *retries >= 0) {
        one.attemptSaid = static_cast<std::uint32_t>(*retries) + 1;
    }
    return true;
}

void entry_task::admitModel(const pending_ptr &one, const http_request &request)
{
    if (!authenticate(*one, request) || !readHeaders(*one, request)) {
        return;
    }
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        refuse(*one->reply, error_kind::BadRequest, "model",
            "the body is not a JSON object with a string 'model'");
        return;
    }
    const std::string model = body["model"];
    const auto colon = model.find(':');
    const std::string name = model.substr(0, colon);
    const adapter_config *adapter = findAdapter(*one->config, name);
    // "name" runs on the active version, "name:2" on that one if it is configured.
    const std::int64_t asked =
        colon == std::string::npos ? 0 : numberOf(model.substr(colon + 1)).value_or(-1);
    if (adapter == nullptr || (asked != 0 && !hasVersion(*adapter, asked))) {
        refuse(*one->reply, error_kind::UnknownAdapter, "model", "'" + model + "' is not configured");
        return;
    }
    one->adapter = {name, asked == 0 ? adapter->active : static_cast<std::uint32_t>(asked)};
    one->baseModel = adapter->baseModel;
    if (!applyRule(*one, findAdapterRule(*one->config, one->caller, name), name)) {
        return;
    }
    one->fingerprint = fingerprintOf({one->caller, one->method, {}, one->path, request.body});
    one->chat = request.path == "/v1/chat/completions";
    one->stream = body.contains("stream") && body["stream"].is_boolean() && body["stream"].get<bool>();
    one->answerType = one->stream ? "text/event-stream" : "application/json";
    one->prefix = prefixHash(body);
    body["model"] = toString(one->adapter);
    body["stream"] = true;
    one->body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    one->reply->onClosed([this, weak = std::weak_ptr<pending>(one)] {
        if (const auto still = weak.lock()) {
            closed(still);
        }
    });
    if (one->key.empty()) {
        route(one);
    } else {
        beginKeyed(one);
    }
}

void entry_task::admitService(const pending_ptr &one, const http_request &request, const std::string &name)
{
    if (!authenticate(*one, request) || !readHeaders(*one, request)) {
        return;
    }
    if (!applyRule(*one, findServiceRule(*one->config, one->caller, name), name)) {
        return;
    }
    const service_config &service = one->config->services.find(name)->second;
    one->service = name;
    one->body = request.body;
    one->contentType = headerOf(request, "content-type");
    one->deadline = std::min(one->deadline, one->arrived + service.timeout);
    const bool safeMethod = request.method == "GET" || request.method == "HEAD";
    one->idempotent = one->idempotent && (safeMethod || service.idempotent);
    one->path = urlPath(request);
    one->fingerprint = fingerprintOf({one->caller, one->method, {}, one->path, one->body});
    one->reply->onClosed([this, weak = std::weak_ptr<pending>(one)] {
        if (const auto still = weak.lock()) {
            closed(still);
        }
    });
    if (one->key.empty()) {
        routeService(one);
    } else {
        beginKeyed(one);
    }
}

void entry_task::listModels(const http_request &request, const std::shared_ptr<http_reply> &reply)
{
    pending one;
    one.config = m_config;
    one.reply = reply;
    if (!authenticate(one, request)) {
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const adapter_shard &shard : m_config->adapters) {
        for (const auto &[name, adapter] : shard) {
            if (findAdapterRule(*m_config, one.caller, name) != nullptr) {
                list.push_back({{"id", name}, {"object", "model"},
                    {"owned_by", std::string(adapter.baseModel)}, {"version", adapter.active}});
            }
        }
    }
    reply->respond(200, {{"Content-Type", "application/json"}},
        nlohmann::json{{"object", "list"}, {"data", std::move(list)}}.dump());
}

// ---- idempotency keys

void entry_task::beginKeyed(const pending_ptr &one)
{
    one->home = rendezvousFirst(one->key, m_daemons);
    one->askingHome = true;
    one->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[one->id] = one;
    key_begin ask;
    ask.id = one->id;
    ask.key = one->key;
    ask.attempt = one->attemptSaid;
    ask.retentionMs = one->config->policy.idempotencyRetention.count;
    m_bus.post(send_to{one->home, ask});
}

void entry_task::homeLost(const pending_ptr &one)
{
    one->askingHome = false;
    // This attempt was not run. Whether an earlier one was, only its home could tell, unless the caller says
    // that there is no earlier one.
    const outcome known = one->attemptSaid == 1 ? outcome::NotRun : outcome::Unknown;
    answer(one, {known, {error_kind::KeyUnknown, one->home, "the home of the key was lost"}, {1'000}});
}

void entry_task::onKeyVerdict(const std::string &, const key_response &verdictOfHome)
{
    const pending_ptr one = take(verdictOfHome.id);
    if (!one) {
        // The caller went away or the deadline passed before anything was run.
        return;
    }
    one->askingHome = false;
    switch (verdictOfHome.state) {
    case key_state::Fresh:
        one->keyHeld = true;
        one->keyId = verdictOfHome.id;
        // Guards against: the caller hangs up while its key's home is asked, nothing is run, and each repeat
        // hears that the outcome is unknown. The home is told, so that the next attempt may run.
        if (one->gone) {
            answer(
                one, {outcome::NotRun, {error_kind::ConnectionLost, "caller", "gone before it was run"}, {}});
            return;
        }
        if (one->service.empty()) {
            route(one);
        } else {
            routeService(one);
        }
        return;
    case key_state::Finished:
        one->reply->respond(verdictOfHome.status,
            {{"Content-Type", verdictOfHome.contentType}, {"X-Briarhead-Replayed", "true"}},
            verdictOfHome.answer);
        record(*one, outcome::Done, error_kind::None);
        return;
    case key_state::Started:
        answer(one,
            {outcome::Unknown,
                {error_kind::KeyInProgress, "Idempotency-Key", "an earlier attempt may be running"},
                {1'000}});
        return;
    case key_state::NotHome:
        if (++one->redirects < 20 && bootNow() < one->deadline) {
            m_pending[one->id = {m_options.self, m_options.incarnation, ++m_sequence}] = one;
            one->retryTimer = m_loop.timer({50}, {}, [this, id = one->id] {
                if (const pending_ptr again = take(id)) {
                    beginKeyed(again);
                }
            });
            return;
        }
        homeLost(one);
        return;
    case key_state::Undetermined:
        answer(one,
            {outcome::Unknown,
                {error_kind::KeyUnknown, "Idempotency-Key",
                    "its home has no record, and only an attempt said to be the first may run then"},
                {}});
        return;
    }
}

void entry_task::finishKeyed(const pending &one, outcome result, int status, const std::string &answerBody)
{
    if (!one.keyHeld) {
        return;
    }
    key_finish end;
    end.id = one.keyId;
    end.key = one.key;
    end.result = result;
    end.status = status;
    end.contentType = one.answerType;
    end.answer = answerBody;
    if (answerBody.size() > maxStoredResponseBytes) {
        // Too long to keep: a repeat is told that the outcome is unknown rather than given an empty answer.
        end.result = outcome::Unknown;
        end.answer.clear();
    }
    m_bus.post(send_to{one.home, std::move(end)});
}

// ---- plain services

void entry_task::routeService(const pending_ptr &one)
{
    if (holdBlocked(one)) {
        return;
    }
    const millis now = bootNow();
    std::vector<std::string> fit;
    std::uint32_t least = 0;
    for (auto &[name, server] : m_serviceServers) {
        const bool tried = std::find(one->tried.begin(), one->tried.end(), name) != one->tried.end();
        const bool closed = server.where.leaving || isLeaving(m_words, name)
            || pauseLeft(m_words, name, m_options.self, now) > millis{};
        if (server.where.service != one->service || closed || tried || breakerOpen(server.health, now)) {
            continue;
        }
        if (fit.empty() || server.sentHere < least) {
            fit.clear();
            least = server.sentHere;
        }
        if (server.sentHere == least) {
            fit.push_back(name);
        }
    }
    if (fit.empty()) {
        const error why = one->lastWhy.kind == error_kind::None ? error{error_kind::NoServer, one->service,
                              "no backend server of the service can take the request"}
                                                                : one->lastWhy;
        answer(one, {outcome::NotRun, why, firstPauseEnd(one->service)});
        return;
    }
    one->server = fit[m_random() % fit.size()];
    server_state &server = m_serviceServers[one->server];
    breakerAllows(server.health, now);
    ++server.sentHere;
    ++one->attempts;
    one->placed = true;
    one->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[one->id] = one;
    http_call call;
    call.method = one->method;
    call.url = "http://" + server.where.address + ":" + std::to_string(server.where.port) + one->path;
    call.body = one->body;
    call.timeout = std::max(millis{1}, one->deadline - now);
    // A kept connection that died is resent on by the HTTP library; a call that may not be repeated must not
    // be.
    call.freshConnection = !one->idempotent;
    call.headers = {"X-Request-Id: " + toString(one->id)};
    if (!one->contentType.empty()) {
        call.headers.push_back("Content-Type: " + one->contentType);
    }
    if (!one->key.empty()) {
        call.headers.push_back("Idempotency-Key: " + one->key.substr(one->key.find('\n') + 1));
    }
    one->call = m_services.start(call, [this, id = one->id](const http_result &result) {
        onService(id, result);
    });
}

/// When a caller may find a server again that now wants a pause, apart from other callers.
millis entry_task::firstPauseEnd(const std::string &service)
{
    std::optional<millis> first;
    for (const auto &[name, server] : m_serviceServers) {
        const millis left = pauseLeft(m_words, name, m_options.self, bootNow());
        if (server.where.service == service && left > millis{}) {
            first = std::min(first.value_or(left), left);
        }
    }
    const double share = std::uniform_real_distribution<double>(1, 1 + retryAfterSpread)(m_random);
    return first ? millis{static_cast<std::int64_t>(static_cast<double>(first->count) * share)}
                 : usualComeBack;
}

void entry_task::onService(const request_id &id, const http_result &result)
{
    const pending_ptr one = take(id);
    if (!one) {
        return;
    }
    one->call = 0;
    const response_notice said = readResponseNotice(result);
    std::erase_if(m_words.leaving, [](const auto &each) {
        return bootNow() - each.second > plainLeavingKept;
    });
    if (said.leaving && recordLeaving(m_words, one->server, bootNow())) {
        spdlog::info("entry: {} says that it is leaving.", one->server);
    }
    if (recordPause(m_words, one->server, m_options.self, said.pause, bootNow())) {
        spdlog::info("entry: {} wants nothing for {} ms.", one->server, said.pause.count);
    }
    const auto server = m_serviceServers.find(one->server);
    if (result.complete) {
        m_crashes.onResponseComplete(one->fingerprint);
        const auto type = result.headers.find("content-type");
        one->answerType = type == result.headers.end() ? "application/octet-stream" : type->second;
        if (server != m_serviceServers.end()) {
            breakerSuccess(server->second.health);
        }
        countSuccess(m_budget);
        finishKeyed(*one, outcome::Done, result.status, result.body);
        one->reply->respond(result.status,
            {{"Content-Type", one->answerType}, {"X-Briarhead-Server", one->server},
                {"X-Request-Id", toString(id)}},
            result.body);
        record(*one, outcome::Done, error_kind::None);
        return;
    }
    if (server != m_serviceServers.end()) {
        breakerFailure(server->second.health, bootNow());
        if (result.sent && !server->second.where.leaving) {
            // The list tells no starts of plain services: one that ends twice under its name counts once.
            m_crashes.onResponseBroken(one->fingerprint,
                {one->server, one->server, {server->second.where.address, server->second.where.port}});
        }
    }
    attempt_result end;
    end.result = result.sent ? outcome::Unknown : outcome::NotRun;
    end.why = result.why.kind;
    end.idempotent = one->idempotent;
    end.attempts = one->attempts;
    end.deadlineLeft = one->deadline - bootNow();
    one->mayHaveRun = one->mayHaveRun || result.sent;
    one->lastWhy = {result.why.kind, one->server, result.why.detail};
    if (decideRetry(end, m_budget) == retry_decision::RetryOtherServer) {
        one->tried.push_back(one->server);
        routeService(one);
        return;
    }
    answer(one, {end.result, one->lastWhy, {1'000}});
}

}
