#include "standins/engine_standin.h"

#include "transport/engine_client.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr std::size_t prefixBytes = 256;
constexpr std::uint32_t defaultTokens = 16;
constexpr std::uint32_t maxTokens = 100'000;
constexpr std::uint64_t defaultDeadlineMs = 600'000;
constexpr std::int64_t busyRetryMs = 500;
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::uint64_t lowestRank = 3;
constexpr millis reportInterval{100};
constexpr millis fatalAfter{60};
constexpr std::size_t maxEvents = 4096;

std::string promptText(const json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        return prompt->get<std::string>();
    }
    return prompt != body.end() ? prompt->dump() : body.value("messages", json::array()).dump();
}

std::string hexOf(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> shift) & 0xf];
    }
    return text;
}

json objectOf(const http_request &request)
{
    json body = json::parse(request.body, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string textIn(const json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t tokensIn(const json &body)
{
    const auto found = body.find("max_tokens");
    const bool given = found != body.end() && found->is_number_unsigned();
    return std::clamp(given ? found->get<std::uint32_t>() : defaultTokens, 1U, maxTokens);
}

int statusOf(std::string_view code)
{
    return code == "not_resident" ? 404 : 503;
}

json namesOf(const auto &byName)
{
    json names = json::array();
    for (const auto &[name, value] : byName) {
        names.push_back(name);
    }
    return names;
}

}

std::string standinPromptHash(const json &body)
{
    const std::string text = promptText(body);
    return hexOf(XXH64(text.data(), text.size(), 0));
}

std::uint64_t standinPrefix(const json &body)
{
    const std::string text = promptText(body);
    return XXH64(text.data(), std::min(text.size(), prefixBytes), 0);
}

engine_standin::engine_standin(loop &eventLoop, engine_options options, weight_store_standin *store)
    : standin_server(eventLoop, options.name)
    , m_options(std::move(options))
    , m_store(store)
{
    m_batch = std::make_unique<engine_batch>(
        eventLoop, m_options.batch,
        [this](const standin_run &run, std::string_view how) {
            onRunEnd(run, how);
        },
        [this](const std::string &adapter, std::uint64_t prefix, bool stored) {
            onCache(adapter, prefix, stored);
        });
    addRoutes();
    coldStart();
    if (m_options.reportLag.count > 0) {
        sampleReport();
        m_reportTimer = eventLoop.timer(reportInterval, reportInterval, [this] {
            sampleReport();
        });
    }
}

engine_standin::~engine_standin()
{
    abortLoads();
}

void engine_standin::addRoutes()
{
    using member = void (engine_standin::*)(const http_request &, const reply_ptr &);
    const std::array<std::pair<std::string, member>, 5> orders{
        {{"/v1/fence", &engine_standin::onFence}, {"/v1/load_lora_adapter", &engine_standin::onLoad},
            {"/v1/unload_lora_adapter", &engine_standin::onUnload}, {"/v1/role", &engine_standin::onRole},
            {"/v1/cancel", &engine_standin::onCancel}}};
    for (const auto &[path, call] : orders) {
        route("POST", path, [this, call = call](const http_request &request, const reply_ptr &reply) {
            (this->*call)(request, reply);
        });
    }
    for (const bool chat : {false, true}) {
        const std::string path = chat ? "/v1/chat/completions" : "/v1/completions";
        route("POST", path, [this, chat](const http_request &request, const reply_ptr &reply) {
            onRun(request, reply, chat);
        });
    }
    route("GET", "/v1/state", [this](const http_request &, const reply_ptr &reply) {
        answer(reply, 200, state());
    });
    route("GET", "/v1/report", [this](const http_request &, const reply_ptr &reply) {
        answer(reply, 200, m_reports.empty() ? report() : m_reports.front().second);
    });
    route("GET", "/v1/events", [this](const http_request &request, const reply_ptr &reply) {
        onEvents(request, reply);
    });
}

json engine_standin::summary() const
{
    json counts = standin_server::summary();
    counts["violations"] = m_violations;
    counts["busy_steps"] = m_batch->busySteps();
    counts["batch_fill"] = m_batch->meanFill();
    counts["tokens"] = m_batch->tokensMade();
    counts["queued"] = m_batch->queued();
    counts["running"] = json::array();
    for (const standin_run_ptr &run : m_batch->running()) {
        counts["running"].push_back(run->requestId);
    }
    return counts;
}

json engine_standin::state() const
{
    return {{"incarnation", m_incarnation}, {"base_model", m_baseModel}, {"role", m_role},
        {"leaving", m_leaving}, {"checks_fencing", checksFencing()}, {"fencing", m_fencing},
        {"slots", m_options.slots}, {"batch_limit", m_options.batch.limit}, {"resident", m_resident},
        {"loading", namesOf(m_loads)}};
}

json engine_standin::report() const
{
    std::map<std::string, std::uint32_t> byAdapter;
    for (const standin_run_ptr &run : m_batch->running()) {
        ++byAdapter[run->ran];
    }
    return {{"as_of_ms", bootNow().count}, {"fencing", m_fencing}, {"running", m_batch->running().size()},
        {"queued", m_batch->queued()}, {"running_by_adapter", byAdapter}};
}

void engine_standin::sampleReport()
{
    const millis now = bootNow();
    m_reports.emplace_back(now, report());
    // The front is the youngest one that is old enough, once there is such a one.
    while (m_reports.size() > 1 && m_reports[1].first + m_options.reportLag <= now) {
        m_reports.pop_front();
    }
}

void engine_standin::setFaults(const json &faults)
{
    m_failLoads = faults.value("fail_loads", m_failLoads);
    m_leaving = faults.value("leaving", m_leaving);
    m_refuseRuns = faults.value("refuse_runs", m_refuseRuns);
    m_pause = faults.value("pause", m_pause);
    m_keepRuns = faults.value("keep_runs", m_keepRuns);
    m_ignoreFencing = faults.value("ignore_fencing", m_ignoreFencing);
    m_runAs = faults.value("run_as", m_runAs);
    m_fatalPrompt = faults.value("fatal_prompt", m_fatalPrompt);
    m_fatalText = faults.value("fatal_text", m_fatalText);
    if (faults.contains("drop_after_tokens")) {
        m_batch->dropAfter(faults["drop_after_tokens"].get<std::int64_t>());
    }
    if (faults.contains("drop_inside_event")) {
        m_batch->dropInsideEvent(faults["drop_inside_event"].get<bool>());
    }
    if (faults.contains("paused")) {
        m_batch->setPaused(faults["paused"].get<bool>());
    }
    if (faults.value("reset", false)) {
        coldStart();
    }
    standin_server::setFaults(faults);
}

void engine_standin::coldStart()
{
    m_batch->breakOff(
        [](const standin_run &) {
            return true;
        },
        "broken");
    m_batch->clearCache();
    abortLoads();
    m_resident.clear();
    m_events.clear();
    m_lastEvent = 0;
    m_fencing = 0;
    ++m_starts;
    m_incarnation = name() + '-' + std::to_string(bootNow().count) + '-' + std::to_string(m_starts);
    note("cold_start", {{"incarnation", m_incarnation}});
    loadBase(m_options.baseModel);
}

void engine_standin::loadBase(const std::string &baseModel)
{
    m_baseModel.clear();
    m_role = baseModel.empty() ? "idle" : "loading";
    // A later order or cold start makes this load void.
    const auto onLoaded = [this, baseModel, number = ++m_baseLoads] {
        if (number == m_baseLoads && !baseModel.empty()) {
            m_baseModel = baseModel;
            m_role = "serving";
        }
    };
    if (m_options.baseLoad.count > 0) {
        later(m_options.baseLoad, onLoaded);
    } else {
        onLoaded();
    }
}

// Runs

std::string_view engine_standin::whyNotRun(const std::string &model) const
{
    if (m_leaving) {
        return "leaving";
    }
    if (m_role != "serving") {
        return "loading";
    }
    if (!m_resident.contains(model)) {
        return "not_resident";
    }
    return m_refuseRuns || m_batch->queued() >= m_options.queueLimit ? "busy" : "";
}

void engine_standin::onRun(const http_request &request, const reply_ptr &reply, bool chat)
{
    const json body = objectOf(request);
    auto run = std::make_shared<standin_run>();
    run->asked = textIn(body, "model");
    if (run->asked.empty()) {
        refuse(request, reply, 400, "bad_request");
        return;
    }
    if (!takesFencing(request, reply, "run")) {
        return;
    }
    if (const std::string_view code = whyNotRun(run->asked); !code.empty()) {
        refuse(request, reply, statusOf(code), code);
        return;
    }
    run->requestId = headerOf(request, "x-request-id");
    run->ran = m_runAs.empty() ? run->asked : m_runAs;
    run->promptHash = standinPromptHash(body);
    run->prefix = standinPrefix(body);
    run->fencingToken = numberOf(headerOf(request, "x-fencing-token"));
    run->rank = static_cast<std::uint32_t>(
        std::min(numberOf(headerOf(request, "x-priority"), lowestRank - 1), lowestRank));
    run->nonIdempotent = !headerOf(request, "x-non-idempotent").empty();
    run->chat = chat;
    run->tokens = tokensIn(body);
    const auto deadlineMs = numberOf(headerOf(request, "x-deadline-ms"), defaultDeadlineMs);
    run->deadlineAt = bootNow() + millis{static_cast<std::int64_t>(deadlineMs)};
    run->reply = reply;
    run->words = words();
    if (!run->requestId.empty() && !m_seenIds.insert(run->requestId).second) {
        ++m_violations["same_id_twice"];
        note("violation", {{"what", "same_id_twice"}, {"request_id", run->requestId}});
    }
    reply->onClosed([this, closed = std::weak_ptr(run)] {
        if (m_keepRuns) {
            return;
        }
        m_batch->breakOff(
            [key = closed.lock()](const standin_run &one) {
                return &one == key.get();
            },
            "cancelled");
    });
    const bool hasFatalText = !m_fatalText.empty() && promptText(body).find(m_fatalText) != std::string::npos;
    const bool fatal = run->promptHash == m_fatalPrompt || hasFatalText;
    m_batch->accept(std::move(run));
    if (fatal) {
        m_fatalTimer = eventLoop().timer(fatalAfter, {}, [this] {
            coldStart();
        });
    }
}

void engine_standin::onCancel(const http_request &request, const reply_ptr &reply)
{
    const std::string id = textIn(objectOf(request), "request_id");
    m_batch->breakOff(
        [&](const standin_run &run) {
            return run.requestId == id;
        },
        "cancelled");
    answer(reply, 200, json::object());
}

void engine_standin::onRunEnd(const standin_run &run, std::string_view how)
{
    if (how == "expired") {
        const json problem{{"code", "busy"}, {"message", "the deadline passed in the queue"}};
        answer(run.reply, 503, {{"error", problem}}, {{"Retry-After", "1"}});
    }
    note(run.started.count > 0 ? "run" : "withdrawn",
        {{"request_id", run.requestId}, {"model", run.asked}, {"ran", run.ran}, {"prompt", run.promptHash},
            {"fencing", run.fencingToken}, {"priority", run.rank}, {"non_idempotent", run.nonIdempotent},
            {"accepted_ms", run.accepted.count}, {"start_ms", run.started.count}, {"end_ms", bootNow().count},
            {"tokens", run.made}, {"how", how}});
}

// Orders

bool engine_standin::checksFencing() const
{
    return m_options.checksFencing && !m_ignoreFencing;
}

bool engine_standin::takesFencing(const http_request &request, const reply_ptr &reply, std::string_view order)
{
    const std::uint64_t token = numberOf(headerOf(request, "x-fencing-token"));
    if (token >= m_fencing) {
        m_fencing = token;
        return true;
    }
    if (checksFencing()) {
        refuse(request, reply, 409, "stale_fencing");
        return false;
    }
    const std::string what = order == "run" ? "stale_run_taken" : "stale_taken";
    ++m_violations[what];
    note("violation", {{"what", what}, {"order", order}, {"token", token}, {"fencing", m_fencing}});
    return true;
}

void engine_standin::refuse(
    const http_request &request, const reply_ptr &reply, int status, std::string_view code)
{
    note("refused",
        {{"path", request.path}, {"code", code}, {"request_id", headerOf(request, "x-request-id")},
            {"token", headerOf(request, "x-fencing-token")}, {"fencing", m_fencing}});
    json problem{{"code", code}, {"message", code}, {"fencing", m_fencing}};
    header_list headers;
    if (status == 503 && m_pause.empty()) {
        problem["retry_after_ms"] = busyRetryMs;
        headers.emplace_back("Retry-After", std::to_string((busyRetryMs + msPerSecond - 1) / msPerSecond));
    }
    if (status == 503 && !m_pause.empty()) {
        headers.emplace_back("Retry-After", m_pause);
    }
    answer(reply, status, {{"error", problem}}, headers);
}

void engine_standin::onFence(const http_request &request, const reply_ptr &reply)
{
    if (!takesFencing(request, reply, "fence")) {
        return;
    }
    note("fence", {{"holder", textIn(objectOf(request), "holder")}, {"fencing", m_fencing}});
    answer(reply, 200, {{"fencing", m_fencing}});
}

void engine_standin::onLoad(const http_request &request, const reply_ptr &reply)
{
    const std::string adapter = textIn(objectOf(request), "lora_name");
    if (!parseAdapterRef(adapter)) {
        refuse(request, reply, 400, "bad_request");
        return;
    }
    if (!takesFencing(request, reply, "load")) {
        return;
    }
    if (m_resident.contains(adapter)) {
        answer(reply, 200, {{"fencing", m_fencing}});
        return;
    }
    if (m_leaving || m_role != "serving") {
        refuse(request, reply, 503, m_leaving ? "leaving" : "loading");
        return;
    }
    if (const auto found = m_loads.find(adapter); found != m_loads.end()) {
        found->second.waiting.push_back(reply);
        return;
    }
    if (m_resident.size() + m_loads.size() >= m_options.slots) {
        refuse(request, reply, 409, "no_free_slot");
        return;
    }
    beginLoad(adapter, reply, numberOf(headerOf(request, "x-fencing-token")));
}

void engine_standin::beginLoad(const std::string &adapter, const reply_ptr &reply, std::uint64_t fencingToken)
{
    adapter_load &load = m_loads[adapter];
    load.waiting.push_back(reply);
    load.fencingToken = fencingToken;
    load.begun = bootNow();
    if (m_store == nullptr) {
        endLoad(adapter, true);
        return;
    }
    load.id = m_store->load("store://" + adapter, [this, adapter](bool ok) {
        endLoad(adapter, ok);
    });
}

void engine_standin::endLoad(const std::string &adapter, bool ok)
{
    const auto found = m_loads.find(adapter);
    const adapter_load load = std::move(found->second);
    m_loads.erase(found);
    const bool fails = !ok || m_failLoads > 0;
    m_failLoads -= m_failLoads > 0 ? 1 : 0;
    note("load",
        {{"adapter", adapter}, {"fencing", load.fencingToken}, {"begun_ms", load.begun.count},
            {"result", fails ? "load_failed" : "loaded"}});
    if (!fails) {
        m_resident.insert(adapter);
    }
    for (const reply_ptr &reply : load.waiting) {
        if (fails) {
            answer(reply, 502, {{"error", {{"code", "load_failed"}}}});
        } else {
            answer(reply, 200, {{"fencing", m_fencing}});
        }
    }
}

void engine_standin::cancelLoad(const adapter_load &load)
{
    if (m_store != nullptr) {
        m_store->cancel(load.id);
    }
}

void engine_standin::abortLoads()
{
    for (const auto &[adapter, load] : std::exchange(m_loads, {})) {
        cancelLoad(load);
        note("load",
            {{"adapter", adapter}, {"fencing", load.fencingToken}, {"begun_ms", load.begun.count},
                {"result", "aborted"}});
        for (const reply_ptr &reply : load.waiting) {
            reply->abort();
        }
    }
}

void engine_standin::onUnload(const http_request &request, const reply_ptr &reply)
{
    const std::string adapter = textIn(objectOf(request), "lora_name");
    if (!takesFencing(request, reply, "unload")) {
        return;
    }
    const std::string token = headerOf(request, "x-fencing-token");
    if (const auto loading = m_loads.find(adapter); loading != m_loads.end()) {
        cancelLoad(loading->second);
        endLoad(adapter, false);
    }
    note("unload", {{"adapter", adapter}, {"token", token}, {"serving", m_batch->serves(adapter)}});
    drop(adapter, token);
    answer(reply, 200, {{"fencing", m_fencing}});
}

void engine_standin::drop(const std::string &adapter, const std::string &token)
{
    m_resident.erase(adapter);
    if (!m_batch->serves(adapter)) {
        return;
    }
    ++m_violations["unload_while_serving"];
    note("violation", {{"what", "unload_while_serving"}, {"adapter", adapter}, {"token", token}});
    m_batch->breakOff(
        [&](const standin_run &run) {
            return run.ran == adapter;
        },
        "broken");
}

void engine_standin::onRole(const http_request &request, const reply_ptr &reply)
{
    const json body = objectOf(request);
    const std::string role = textIn(body, "role");
    const std::string baseModel = textIn(body, "base_model");
    if ((role != "serving" && role != "idle") || (role == "serving" && baseModel.empty())) {
        refuse(request, reply, 400, "bad_request");
        return;
    }
    if (!takesFencing(request, reply, "role")) {
        return;
    }
    note("role", {{"role", role}, {"base_model", baseModel}, {"fencing", m_fencing}});
    const bool changes =
        role == "idle" || m_role == "idle" || (m_role == "serving" && m_baseModel != baseModel);
    if (changes) {
        abortLoads();
        for (const std::string &adapter : std::set(m_resident)) {
            drop(adapter, headerOf(request, "x-fencing-token"));
        }
        loadBase(role == "idle" ? "" : baseModel);
    }
    answer(reply, 200, {{"fencing", m_fencing}});
}

// Cache events

void engine_standin::onCache(const std::string &adapter, std::uint64_t prefix, bool stored)
{
    const std::uint64_t sequence = ++m_lastEvent;
    m_events.push_back({bootNow(), sequence,
        {{"seq", sequence}, {"adapter", adapter}, {"prefix", prefix},
            {"kind", stored ? "stored" : "removed"}}});
    if (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

void engine_standin::onEvents(const http_request &request, const reply_ptr &reply) const
{
    const auto since = request.query.find("since");
    const std::uint64_t from = since != request.query.end() ? numberOf(since->second) : 0;
    std::uint64_t next = 1;
    json events = json::array();
    for (const cache_event &event : m_events) {
        if (event.at + m_options.eventLag > bootNow()) {
            break;
        }
        next = event.sequence + 1;
        const bool lost = m_options.eventGap > 0 && event.sequence % m_options.eventGap == 0;
        if (event.sequence >= from && !lost) {
            events.push_back(event.body);
        }
    }
    answer(reply, 200, {{"next", next}, {"events", std::move(events)}});
}

}
