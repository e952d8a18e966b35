// Admission of requests by the entry task: authentication, headers, rules and limits, idempotency keys. Also
// routing to plain services.
#include "coordination/rendezvous.h"
#include "coordination/request_attributes.h"
#include "daemon/entry_task.h"
#include "daemon/prompt_parts.h"
#include "daemon/responses.h"
#include "state/key_hash.h"
#include "transport/connect_probe.h"
#include "transport/http_wire.h"
#include "transport/response_notice.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace briarhead {

namespace {

/// The length of the prompt prefix that is hashed for prefix affinity.
constexpr std::size_t prefixBytes = 256;
constexpr std::size_t maxKeyBytes = 256;
/// Sent when no plain service instance can take a request and none has announced a pause.
constexpr millis defaultRetryAfter{1'000};
/// A plain server that announced that it is leaving is tried again after this long, because nothing tells
/// this daemon whether it has restarted.
constexpr millis serviceLeavingRetention{60'000};
/// A host answers for a closed port within a round trip.
constexpr millis processProbeTimeout{350};
/// The kernel closes the sockets of a crashed process one after another, the listening one perhaps last.
constexpr millis processExitTime{10};

std::string headerOf(const http_request &httpRequest, const char *name)
{
    const auto found = httpRequest.headers.find(name);
    return found == httpRequest.headers.end() ? std::string{} : found->second;
}

std::optional<std::int64_t> parseNumber(const std::string &text)
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
    const auto &versions = adapter.versions;
    return std::any_of(versions.begin(), versions.end(), [version](std::uint32_t configured) {
        return configured == version;
    });
}

/// Percent-encodes all but the unreserved URL characters and those in `unescaped`. The HTTP server decodes
/// paths and queries: forwarded without encoding, a space or '&' in a caller's query would change the meaning
/// of the call or break it.
std::string percentEncoded(std::string_view text, std::string_view unescaped)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool unreserved =
            std::isalnum(byte) != 0 || std::string_view("-._~").find(c) != std::string_view::npos;
        if (unreserved || unescaped.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & 15U];
    }
    return encoded;
}

/// The encoded path and query to forward to a service.
std::string urlPath(const http_request &httpRequest)
{
    std::string url = percentEncoded(httpRequest.path, "/");
    char separator = '?';
    for (const auto &[key, value] : httpRequest.query) {
        url += separator;
        url += percentEncoded(key, "");
        url += '=';
        url += percentEncoded(value, "");
        separator = '&';
    }
    return url;
}

std::string bearerToken(const http_request &httpRequest)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string text = headerOf(httpRequest, "authorization");
    return text.substr(0, scheme.size()) == scheme ? text.substr(scheme.size()) : std::string{};
}

std::uint64_t prefixHash(const nlohmann::json &body)
{
    std::string start;
    if (body.contains("prompt")) {
        start = body["prompt"].is_string() ? body["prompt"].get<std::string>() : body["prompt"].dump();
    } else if (body.contains("messages")) {
        start = body["messages"].dump();
    }
    start.resize(std::min(start.size(), prefixBytes));
    return start.empty() ? 0 : XXH3_64bits(start.data(), start.size());
}

}

void entry_task::onRequest(const http_request &httpRequest, std::shared_ptr<http_reply> reply)
{
    auto request = std::make_shared<pending_request>();
    request->reply = std::move(reply);
    request->receivedAt = bootNow();
    request->path = httpRequest.path;
    request->method = httpRequest.method;
    if (httpRequest.tooLarge) {
        refuse(*request->reply, error_kind::TooLarge, httpRequest.path, "the body is larger than the limit");
        return;
    }
    if (!ready()) {
        respondError(*request->reply,
            {outcome::NotRun, {error_kind::NotReady, m_options.self, "no configuration yet"}, {1'000}});
        return;
    }
    request->config = m_config;
    if (httpRequest.path == "/v1/models") {
        listModels(httpRequest, request->reply);
        return;
    }
    if (httpRequest.path == "/v1/completions" || httpRequest.path == "/v1/chat/completions") {
        if (httpRequest.method != "POST") {
            refuse(*request->reply, error_kind::BadRequest, httpRequest.path, "the method is not POST");
            return;
        }
        admitModel(request, httpRequest);
        return;
    }
    std::string name;
    if (findService(*m_config, httpRequest.path, name) != nullptr) {
        admitService(request, httpRequest, name);
        return;
    }
    refuse(*request->reply, error_kind::UnknownService, httpRequest.path, "no service has this path");
}

bool entry_task::authenticate(pending_request &request, const http_request &httpRequest)
{
    const std::string key = bearerToken(httpRequest);
    const std::string *caller = key.empty() ? nullptr : findCaller(*request.config, keyHash(key));
    if (caller == nullptr) {
        refuse(*request.reply, error_kind::Unauthorised, "Authorization", "no known key");
        return false;
    }
    request.caller = *caller;
    return true;
}

bool entry_task::applyRule(pending_request &request, const rule_config *rule, const std::string &target)
{
    if (rule == nullptr) {
        refuse(*request.reply, error_kind::Forbidden, target, "no rule lets " + request.caller + " reach it");
        return false;
    }
    // A caller may request a lower priority than the rule's, but not a higher one.
    request.rank = std::max(request.rank, rule->bestPriority);
    const std::string limitKey =
        request.caller + "\n" + rule->callers + "\n" + rule->adapters + "\n" + rule->service;
    if (const auto wait = acquireCallerLimit(m_callerLimits[limitKey], *rule, bootNow())) {
        const request_result end{
            outcome::NotRun, {error_kind::Overloaded, request.caller, "the rule's limit is reached"}, *wait};
        recordResult(request, end.result, end.why.kind);
        respondError(*request.reply, end);
        return false;
    }
    request.limitKey = limitKey;
    return true;
}

bool entry_task::readHeaders(pending_request &request, const http_request &httpRequest)
{
    const policy_config &policy = request.config->policy;
    request.deadline = request.receivedAt + policy.defaultDeadline;
    if (const std::string text = headerOf(httpRequest, "x-deadline-ms"); !text.empty()) {
        const auto value = parseNumber(text);
        if (!value || *value <= 0 || *value > policy.maxDeadline.count) {
            refuse(*request.reply, error_kind::BadRequest, "X-Deadline-Ms",
                "'" + text + "' is not a number from 1 to " + std::to_string(policy.maxDeadline.count));
            return false;
        }
        request.deadline = request.receivedAt + millis{*value};
    }
    request.rank = priority::Urgent;
    if (const std::string text = headerOf(httpRequest, "x-priority"); !text.empty()) {
        const auto value = priorityOf(text);
        if (!value) {
            refuse(*request.reply, error_kind::BadRequest, "X-Priority",
                "'" + text + "' is not urgent, high, normal or low");
            return false;
        }
        request.rank = *value;
    }
    const std::string key = headerOf(httpRequest, "idempotency-key");
    if (key.size() > maxKeyBytes) {
        refuse(*request.reply, error_kind::BadRequest, "Idempotency-Key", "longer than 256 bytes");
        return false;
    }
    if (!key.empty()) {
        request.key = request.caller + "\n" + key;
        request.idempotent = false;
    }
    // Any value but an explicit "no" marks the request: an unexpected spelling must not let it run twice.
    const std::string nonIdempotent = headerOf(httpRequest, "x-non-idempotent");
    if (!nonIdempotent.empty() && nonIdempotent != "false" && nonIdempotent != "0" && nonIdempotent != "no") {
        request.idempotent = false;
    }
    // The attempt number, from our own header or from the retry count that common client libraries send.
    if (const auto value = parseNumber(headerOf(httpRequest, "idempotency-attempt")); value && *value > 0) {
        request.declaredAttempt = static_cast<std::uint32_t>(*value);
    } else if (const auto retries = parseNumber(headerOf(httpRequest, "x-stainless-retry-count"));
               retries && *retries >= 0) {
        request.declaredAttempt = static_cast<std::uint32_t>(*retries) + 1;
    }
    return true;
}

void entry_task::admitModel(const request_ptr &request, const http_request &httpRequest)
{
    if (!authenticate(*request, httpRequest) || !readHeaders(*request, httpRequest)) {
        return;
    }
    nlohmann::json body = nlohmann::json::parse(httpRequest.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        refuse(*request->reply, error_kind::BadRequest, "model",
            "the body is not a JSON object with a string 'model'");
        return;
    }
    const std::string model = body["model"];
    const auto colon = model.find(':');
    const std::string name = model.substr(0, colon);
    const adapter_config *adapter = findAdapter(*request->config, name);
    // "name" selects the active version, "name:2" version 2 if it is configured.
    const std::int64_t requestedVersion =
        colon == std::string::npos ? 0 : parseNumber(model.substr(colon + 1)).value_or(-1);
    if (adapter == nullptr || (requestedVersion != 0 && !hasVersion(*adapter, requestedVersion))) {
        refuse(*request->reply, error_kind::UnknownAdapter, "model", "'" + model + "' is not configured");
        return;
    }
    request->adapter = {
        name, requestedVersion == 0 ? adapter->active : static_cast<std::uint32_t>(requestedVersion)};
    request->baseModel = adapter->baseModel;
    if (!applyRule(*request, findAdapterRule(*request->config, request->caller, name), name)) {
        return;
    }
    request->attributes =
        attributesOf({request->caller, request->method, {}, request->path, httpRequest.body},
            request->baseModel, promptPartsOf(body));
    request->chat = httpRequest.path == "/v1/chat/completions";
    request->stream = body.contains("stream") && body["stream"].is_boolean() && body["stream"].get<bool>();
    request->responseType = request->stream ? "text/event-stream" : "application/json";
    request->prefix = prefixHash(body);
    body["model"] = toString(request->adapter);
    body["stream"] = true;
    request->body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request->reply->onClosed([this, weak = std::weak_ptr<pending_request>(request)] {
        if (const auto pending = weak.lock()) {
            onCallerDisconnected(pending);
        }
    });
    if (request->key.empty()) {
        route(request);
    } else {
        claimKey(request);
    }
}

void entry_task::admitService(
    const request_ptr &request, const http_request &httpRequest, const std::string &name)
{
    if (!authenticate(*request, httpRequest) || !readHeaders(*request, httpRequest)) {
        return;
    }
    if (!applyRule(*request, findServiceRule(*request->config, request->caller, name), name)) {
        return;
    }
    const service_config &service = request->config->services.find(name)->second;
    request->service = name;
    request->body = httpRequest.body;
    request->contentType = headerOf(httpRequest, "content-type");
    request->deadline = std::min(request->deadline, request->receivedAt + service.timeout);
    const bool safeMethod = httpRequest.method == "GET" || httpRequest.method == "HEAD";
    request->idempotent = request->idempotent && (safeMethod || service.idempotent);
    request->path = urlPath(httpRequest);
    request->attributes = attributesOf(
        {request->caller, request->method, {}, request->path, request->body}, request->service, {});
    request->reply->onClosed([this, weak = std::weak_ptr<pending_request>(request)] {
        if (const auto pending = weak.lock()) {
            onCallerDisconnected(pending);
        }
    });
    if (request->key.empty()) {
        routeService(request);
    } else {
        claimKey(request);
    }
}

void entry_task::listModels(const http_request &httpRequest, const std::shared_ptr<http_reply> &reply)
{
    pending_request request;
    request.config = m_config;
    request.reply = reply;
    if (!authenticate(request, httpRequest)) {
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const adapter_shard &shard : m_config->adapters) {
        for (const auto &[name, adapter] : shard) {
            if (findAdapterRule(*m_config, request.caller, name) != nullptr) {
                list.push_back({{"id", name}, {"object", "model"},
                    {"owned_by", std::string(adapter.baseModel)}, {"version", adapter.active}});
            }
        }
    }
    reply->respond(200, {{"Content-Type", "application/json"}},
        nlohmann::json{{"object", "list"}, {"data", std::move(list)}}.dump());
}

// ---- idempotency keys

void entry_task::claimKey(const request_ptr &request)
{
    request->keyHome = rendezvousFirst(request->key, m_daemons);
    request->awaitingKeyHome = true;
    request->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[request->id] = request;
    key_begin begin;
    begin.id = request->id;
    begin.key = request->key;
    begin.attempt = request->declaredAttempt;
    begin.retentionMs = request->config->policy.idempotencyRetention.count;
    m_bus.post(send_to{request->keyHome, begin});
}

void entry_task::onKeyHomeLost(const request_ptr &request)
{
    request->awaitingKeyHome = false;
    // This attempt did not run. Whether an earlier one did, only the key's home knows, unless the caller
    // declares this attempt to be the first.
    const outcome requestOutcome = request->declaredAttempt == 1 ? outcome::NotRun : outcome::Unknown;
    respondFailure(request,
        {requestOutcome, {error_kind::KeyUnknown, request->keyHome, "the home of the key was lost"},
            {1'000}});
}

void entry_task::onKeyResponse(const std::string &, const key_response &response)
{
    const request_ptr request = removePending(response.id);
    if (!request) {
        // The caller disconnected or the deadline passed before anything was run.
        return;
    }
    request->awaitingKeyHome = false;
    switch (response.state) {
    case key_state::Fresh:
        request->keyClaimed = true;
        request->keyAttemptId = response.id;
        // The caller disconnected while the key's home was being queried. Nothing is run, and the home is
        // notified so that the next attempt may run. Otherwise each repetition would get an unknown outcome.
        if (request->callerDisconnected) {
            respondFailure(request,
                {outcome::NotRun, {error_kind::ConnectionLost, "caller", "gone before it was run"}, {}});
            return;
        }
        if (request->service.empty()) {
            route(request);
        } else {
            routeService(request);
        }
        return;
    case key_state::Finished:
        request->reply->respond(response.status,
            {{"Content-Type", response.contentType}, {"X-Briarhead-Replayed", "true"}}, response.answer);
        recordResult(*request, outcome::Done, error_kind::None);
        return;
    case key_state::Started:
        respondFailure(request,
            {outcome::Unknown,
                {error_kind::KeyInProgress, "Idempotency-Key", "an earlier attempt may be running"},
                {1'000}});
        return;
    case key_state::NotHome:
        if (++request->redirects < 20 && bootNow() < request->deadline) {
            m_pending[request->id = {m_options.self, m_options.incarnation, ++m_sequence}] = request;
            request->retryTimer = m_loop.timer({50}, {}, [this, id = request->id] {
                if (const request_ptr retried = removePending(id)) {
                    claimKey(retried);
                }
            });
            return;
        }
        onKeyHomeLost(request);
        return;
    case key_state::Undetermined:
        respondFailure(request,
            {outcome::Unknown,
                {error_kind::KeyUnknown, "Idempotency-Key",
                    "its home has no record, and only an attempt said to be the first may run then"},
                {}});
        return;
    }
}

void entry_task::reportToKeyHome(
    const pending_request &request, outcome result, int status, const std::string &responseBody)
{
    if (!request.keyClaimed) {
        return;
    }
    key_finish end;
    end.id = request.keyAttemptId;
    end.key = request.key;
    end.result = result;
    end.status = status;
    end.contentType = request.responseType;
    end.answer = responseBody;
    if (responseBody.size() > maxStoredResponseBytes) {
        // Too long to store: a repetition gets an unknown outcome rather than an empty response.
        end.result = outcome::Unknown;
        end.answer.clear();
    }
    m_bus.post(send_to{request.keyHome, std::move(end)});
}

// ---- plain services

void entry_task::routeService(const request_ptr &request)
{
    if (!mayRoute(request) || holdIfBlocked(request)) {
        return;
    }
    const millis now = bootNow();
    std::vector<std::string> candidates;
    std::uint32_t minSentHere = 0;
    for (auto &[name, server] : m_serviceServers) {
        const bool tried =
            std::find(request->tried.begin(), request->tried.end(), name) != request->tried.end();
        const bool unavailable = server.instance.leaving || isLeaving(m_notices, name)
            || pauseLeft(m_notices, name, m_options.self, now) > millis{};
        if (server.instance.service != request->service || unavailable || tried
            || breakerOpen(server.circuitBreaker, now)) {
            continue;
        }
        if (candidates.empty() || server.sentHere < minSentHere) {
            candidates.clear();
            minSentHere = server.sentHere;
        }
        if (server.sentHere == minSentHere) {
            candidates.push_back(name);
        }
    }
    if (candidates.empty()) {
        const error why = request->lastError.kind == error_kind::None ? error{error_kind::NoServer,
                              request->service, "no backend server of the service can take the request"}
                                                                      : request->lastError;
        respondFailure(request, {outcome::NotRun, why, serviceRetryAfter(request->service)});
        return;
    }
    request->server = candidates[m_random() % candidates.size()];
    server_state &server = m_serviceServers[request->server];
    breakerAllows(server.circuitBreaker, now);
    ++server.sentHere;
    beginSend(*request);
    request->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[request->id] = request;
    http_call call;
    call.method = request->method;
    call.url =
        "http://" + server.instance.address + ":" + std::to_string(server.instance.port) + request->path;
    call.body = request->body;
    call.timeout = std::max(millis{1}, request->deadline - now);
    // The HTTP library resends a call when a kept-alive connection turns out to be closed, which must not
    // happen to a call that is not idempotent.
    call.freshConnection = !request->idempotent;
    call.headers = {"X-Request-Id: " + toString(request->id)};
    if (!request->contentType.empty()) {
        call.headers.push_back("Content-Type: " + request->contentType);
    }
    if (!request->key.empty()) {
        call.headers.push_back("Idempotency-Key: " + request->key.substr(request->key.find('\n') + 1));
    }
    request->serviceCall = m_serviceClient.start(call, [this, id = request->id](const http_result &result) {
        onServiceResult(id, result);
    });
}

/// The retry time for callers when every instance of the service is unavailable: the time until the first
/// announced pause ends, randomized so that callers do not all return at once.
millis entry_task::serviceRetryAfter(const std::string &service)
{
    std::optional<millis> shortest;
    for (const auto &[name, server] : m_serviceServers) {
        const millis remaining = pauseLeft(m_notices, name, m_options.self, bootNow());
        if (server.instance.service == service && remaining > millis{}) {
            shortest = std::min(shortest.value_or(remaining), remaining);
        }
    }
    const double spread = std::uniform_real_distribution<double>(1, 1 + retryAfterSpread)(m_random);
    return shortest ? millis{static_cast<std::int64_t>(static_cast<double>(shortest->count) * spread)}
                    : defaultRetryAfter;
}

void entry_task::onServiceResult(const request_id &id, const http_result &result)
{
    const request_ptr request = removePending(id);
    if (!request) {
        return;
    }
    request->serviceCall = 0;
    const response_notice notice = readResponseNotice(result);
    std::erase_if(m_notices.leaving, [](const auto &entry) {
        return bootNow() - entry.second > serviceLeavingRetention;
    });
    if (notice.leaving && recordLeaving(m_notices, request->server, bootNow())) {
        spdlog::info(
            "entry: Server {} announced that it is leaving; it gets no new requests.", request->server);
    }
    if (recordPause(m_notices, request->server, m_options.self, notice.pause, bootNow())) {
        spdlog::info("entry: Server {} asked for a pause of {} ms; no requests are sent to it until it ends.",
            request->server, notice.pause.count);
    }
    if (resultOf(result.end) == send_result::Unknown) {
        checkServiceProcess(request, result);
    } else {
        concludeServiceCall(request, result);
    }
}

/// The kernel closes the connections of a crashed process in order. So where an orderly close is all that
/// ended a response, a server whose process has ended has cut it off.
void entry_task::checkServiceProcess(const request_ptr &request, const http_result &result)
{
    const auto server = m_serviceServers.find(request->server);
    if (server == m_serviceServers.end()) {
        concludeServiceCall(request, result);
        return;
    }
    setStage(*request, request_stage::CheckingEnd);
    m_pending[request->id] = request;
    const peer_address address{server->second.instance.address, server->second.instance.port};
    request->retryTimer = m_loop.timer(processExitTime, {}, [this, id = request->id, address, result] {
        if (const auto found = m_pending.find(id); found != m_pending.end()) {
            probeServiceProcess(found->second, address, result);
        }
    });
}

void entry_task::probeServiceProcess(
    const request_ptr &request, const peer_address &address, const http_result &result)
{
    request->processProbe = probeConnect(
        m_loop, address, processProbeTimeout, [this, id = request->id, result](connect_result probed) {
            const request_ptr checked = removePending(id);
            if (!checked) {
                return;
            }
            const auto probe =
                std::exchange(checked->processProbe, nullptr); // kept until the end of this call
            checked->serverSurvived = probed == connect_result::Accepted;
            http_result known = result;
            if (probed == connect_result::Refused) {
                known.end.connection = connection_end::Reset;
                known.why = {error_kind::ConnectionLost, checked->server, "the server ended"};
            }
            concludeServiceCall(checked, known);
        });
}

/// Lets the crash task find out whether the plain server has crashed under the request. The platform's list
/// has no start times of plain servers, so the name stands for the incarnation: a server that crashes twice
/// under its name counts once.
void entry_task::reportSuspectedCrash(const pending_request &request)
{
    const auto server = m_serviceServers.find(request.server);
    if (server != m_serviceServers.end() && !server->second.instance.leaving) {
        m_crashes.onResponseBroken(request.attributes,
            {request.server, request.server,
                {server->second.instance.address, server->second.instance.port}});
    }
}

void entry_task::concludeServiceCall(const request_ptr &request, const http_result &result)
{
    setStage(*request, request_stage::Judged);
    if (!result.sent) {
        recordNotSent(request->progress, request->server);
    }
    const send_result ended = resultOf(result.end);
    if (ended == send_result::Complete || ended == send_result::Unknown) {
        respondFromService(request, result);
        return;
    }
    const auto server = m_serviceServers.find(request->server);
    if (server != m_serviceServers.end()) {
        breakerFailure(server->second.circuitBreaker, bootNow());
    }
    if (result.sent) {
        reportSuspectedCrash(*request);
    }
    attempt_result end;
    end.result = result.sent ? outcome::Unknown : outcome::NotRun;
    end.why = result.why.kind;
    end.idempotent = request->idempotent;
    end.attempts = request->attempts;
    end.deadlineLeft = request->deadline - bootNow();
    request->lastError = {result.why.kind, request->server, result.why.detail};
    if (decideRetry(end, m_retryBudget) == retry_decision::RetryOtherServer) {
        request->tried.push_back(request->server);
        routeService(request);
        return;
    }
    respondFailure(request, {end.result, request->lastError, {1'000}});
}

/// Passes on a response that is whole, or one of unknown end without framing: its caller then knows no more
/// than this daemon, and a repetition by its key is told that the outcome is unknown.
void entry_task::respondFromService(const request_ptr &request, const http_result &result)
{
    const bool whole = resultOf(result.end) == send_result::Complete;
    if (const auto server = m_serviceServers.find(request->server); server != m_serviceServers.end()) {
        breakerSuccess(server->second.circuitBreaker);
    }
    countSuccess(m_retryBudget);
    const auto type = result.headers.find("content-type");
    request->responseType = type == result.headers.end() ? "application/octet-stream" : type->second;
    const header_list headers{{"Content-Type", request->responseType},
        {"X-Briarhead-Server", request->server}, {"X-Request-Id", toString(request->id)}};
    if ((whole || request->serverSurvived) && isSuccess(result.status)) {
        m_crashes.onServerSurvived(request->attributes);
    }
    if (whole) {
        reportToKeyHome(*request, outcome::Done, result.status, result.body);
        request->reply->respond(result.status, headers, result.body);
    } else {
        reportToKeyHome(*request, outcome::Unknown, result.status, {});
        request->reply->beginUnframed(result.status, headers);
        request->reply->write(result.body);
        request->reply->end();
    }
    setStage(*request, request_stage::Finished);
    recordResult(*request, outcome::Done, error_kind::None);
}

}
