#include "daemon/entry_task.h"

#include "coordination/key_task.h"
#include "coordination/rendezvous.h"
#include "daemon/answers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 100;
/// An owner enforces the deadline itself; the entry answers on its own this much later, for an owner that
/// can't be heard.
constexpr std::int64_t deadlineSlackMs = 250;
constexpr std::int64_t replicaHintMs = 10'000;
/// A server that said it takes no work is asked again after this.
constexpr std::int64_t closedHintMs = 2'000;
/// A caller's limit that was not used for this long has filled up again, whatever its rate.
constexpr std::int64_t limitIdleMs = 60'000;
constexpr std::int64_t lostServerRetryMs = 500;
/// Pause before asking again while a server changes hands.
constexpr std::int64_t redirectPauseMs = 50;
constexpr std::uint32_t maxRedirects = 40;

}

entry_task::entry_task(bus &messages, loop &eventLoop, http_client &services, crash_task &crashes,
    metrics &counts, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_services(services)
    , m_crashes(crashes)
    , m_metrics(counts)
    , m_options(std::move(given))
    , m_random(std::random_device{}())
{
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
        followConfig(m_metrics, *m_config, bootNow());
    });
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_members = news.members;
        m_daemons = homesOf(news.members);
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &news) {
        onLiveList(news.view);
    });
    m_bus.on<received<run_started>>([this](const received<run_started> &news) {
        onStarted(news.body);
    });
    m_bus.on<received<run_bytes>>([this](const received<run_bytes> &news) {
        onBytes(news.body);
    });
    m_bus.on<received<run_end>>([this](const received<run_end> &news) {
        onEnd(news.body);
    });
    m_bus.on<received<key_response>>([this](const received<key_response> &news) {
        onKeyVerdict(news.from, news.body);
    });
    m_bus.on<link_broken>([this](const link_broken &news) {
        onBroken(news.peer);
    });
    m_timer = m_loop.timer({tickMs}, {tickMs}, [this] {
        tick();
    });
}

std::size_t entry_task::open() const
{
    return m_pending.size();
}

bool entry_task::ready() const
{
    return m_config != nullptr && m_config->version > 0 && !m_members.empty() && m_listHeard;
}

void entry_task::onLiveList(const live_view &view)
{
    m_listHeard = true;
    const auto keep = [this, &view](std::map<std::string, server_state> &servers, instance_kind kind) {
        for (const auto &[name, instance] : view.instances) {
            if (instance.kind == kind) {
                servers[name].where = instance;
            }
        }
        for (auto entry = servers.begin(); entry != servers.end();) {
            const bool gone = view.instances.count(entry->first) == 0;
            if (gone && !entry->second.where.leaving) {
                m_crashes.onServerEnded(entry->first);
            }
            entry = gone ? servers.erase(entry) : std::next(entry);
        }
    };
    keep(m_servers, instance_kind::Engine);
    keep(m_serviceServers, instance_kind::Service);
}

// ---- routing to the owner of an engine

std::string entry_task::ownerOf(const std::string &server) const
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.owner.empty()) {
        return found->second.owner;
    }
    return rendezvousFirst("server/" + server, m_daemons);
}

std::vector<server_view> entry_task::views(const std::string &baseModel) const
{
    const millis now = bootNow();
    std::vector<server_view> list;
    for (const auto &[name, server] : m_servers) {
        if (server.where.service != baseModel) {
            continue;
        }
        server_view view;
        view.name = name;
        view.failureDomain = server.where.failureDomain;
        view.baseModel = server.where.service;
        const bool closed = server.hint.closed && now - server.hintAt < millis{closedHintMs};
        view.leaving = server.where.leaving || closed;
        view.open = breakerOpen(server.health, now);
        view.sentHere = server.sentHere;
        view.sentSinceHint = server.sentSinceHint;
        view.hintedInFlight = server.hint.inFlight;
        view.hintedWaiting = server.hint.waiting;
        view.batchLimit = std::max<std::uint32_t>(1, server.hint.batchLimit);
        view.freeSlots = server.hint.freeSlots;
        view.hintAge = server.hintAt == millis{} ? millis{1'000'000} : now - server.hintAt;
        list.push_back(std::move(view));
    }
    return list;
}

/// Before each hand-over, first or repeated: a request under which servers ended goes to no further one,
/// unless its wait is over and this daemon is the one that tries it. Whether it is held for that answer, or
/// refused.
bool entry_task::holdBlocked(const pending_ptr &one)
{
    if (one->trial || !m_crashes.isBlocked(one->fingerprint)) {
        return false;
    }
    // Kept in the table, so that a deadline or a closed connection finds it meanwhile.
    one->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[one->id] = one;
    m_crashes.askTrial(one->fingerprint, [this, id = one->id](bool granted) {
        onTrial(id, granted);
    });
    return true;
}

void entry_task::onTrial(const request_id &id, bool granted)
{
    const pending_ptr one = take(id);
    if (!one) {
        return;
    }
    one->trial = granted;
    if (!granted) {
        answer(one,
            {outcome::NotRun, {error_kind::CrashesServers, one->path, "servers ended under this request"},
                m_crashes.comeBackAfter(one->fingerprint)});
    } else if (one->service.empty()) {
        route(one);
    } else {
        routeService(one);
    }
}

void entry_task::route(const pending_ptr &one)
{
    if (holdBlocked(one)) {
        return;
    }
    const millis now = bootNow();
    route_query query;
    query.adapter = one->adapter;
    query.baseModel = one->baseModel;
    query.failureDomain = m_options.failureDomain;
    query.prefix = one->prefix;
    query.tried = one->tried;
    const auto hint = m_replicas.find(one->adapter.adapter);
    if (hint != m_replicas.end() && now - hint->second.at < millis{replicaHintMs}) {
        query.replicas = hint->second.servers;
    }
    const auto servers = views(one->baseModel);
    const auto server =
        chooseServer(query, servers, one->config->policy.stallWeight, m_options.routing, m_random);
    if (!server) {
        request_result end{outcome::NotRun, one->lastWhy, one->lastRetryAfter};
        if (end.why.kind == error_kind::None) {
            end.why = {error_kind::NoServer, one->baseModel, "no backend server can take the request"};
        }
        if (end.retryAfter.count == 0) {
            end.retryAfter = {1'000};
        }
        answer(one, end);
        return;
    }
    one->server = *server;
    send(one, ownerOf(*server));
}

void entry_task::send(const pending_ptr &one, const std::string &owner)
{
    const bool reachable = std::find(m_daemons.begin(), m_daemons.end(), owner) != m_daemons.end();
    if (!reachable) {
        m_servers[one->server].owner.clear();
        retryLater(one, redirectPauseMs);
        return;
    }
    server_state &server = m_servers[one->server];
    breakerAllows(server.health, bootNow());
    one->id = {m_options.self, m_options.incarnation, ++m_sequence};
    one->owner = owner;
    one->running = false;
    one->placed = true;
    ++one->attempts;
    ++server.sentHere;
    ++server.sentSinceHint;
    m_pending[one->id] = one;
    run_request request;
    request.id = one->id;
    request.server = one->server;
    request.adapter = one->adapter;
    request.configVersion = one->config->version;
    request.caller = one->caller;
    request.rank = one->rank;
    request.deadlineMs = std::max<std::int64_t>(1, (one->deadline - bootNow()).count);
    request.idempotent = one->idempotent;
    request.prefix = one->prefix;
    request.path = one->path;
    request.body = one->body;
    request.fingerprint = one->fingerprint;
    request.isProbe = one->trial;
    m_bus.post(send_to{owner, std::move(request)});
}

void entry_task::retryLater(const pending_ptr &one, std::int64_t pauseMs)
{
    if (++one->redirects > maxRedirects || bootNow() + millis{pauseMs} >= one->deadline) {
        answer(one,
            {outcome::NotRun, {error_kind::NoServer, one->server, "its owner can't be reached"}, {1'000}});
        return;
    }
    // Keeps the request in the table, so that a deadline or a closed connection finds it while it pauses.
    one->id = {m_options.self, m_options.incarnation, ++m_sequence};
    m_pending[one->id] = one;
    one->retryTimer = m_loop.timer({pauseMs}, {}, [this, id = one->id] {
        if (const pending_ptr again = take(id)) {
            route(again);
        }
    });
}

entry_task::pending_ptr entry_task::take(const request_id &id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return {};
    }
    pending_ptr one = found->second;
    m_pending.erase(found);
    release(*one);
    return one;
}

void entry_task::release(pending &one)
{
    if (!one.placed) {
        return;
    }
    one.placed = false;
    auto &servers = one.service.empty() ? m_servers : m_serviceServers;
    const auto server = servers.find(one.server);
    if (server != servers.end() && server->second.sentHere > 0) {
        --server->second.sentHere;
    }
}

void entry_task::learn(const server_hint &hint)
{
    const auto found = m_servers.find(hint.server);
    if (found != m_servers.end()) {
        found->second.hint = hint;
        found->second.hintAt = bootNow();
        found->second.sentSinceHint = 0;
    }
}

// ---- what owners answer

void entry_task::onStarted(const run_started &news)
{
    const auto found = m_pending.find(news.id);
    // A late or stray answer matches no attempt under way and is dropped.
    if (found == m_pending.end()) {
        return;
    }
    pending &one = *found->second;
    one.running = true;
    one.stall = {news.stallMs};
    one.queued = {news.queuedMs};
    // Guards against: an answer from another adapter or version. The owner has checked the engine's word;
    // this checks the owner's, against what the request was bound to at admission, before the first byte goes
    // out.
    if (news.adapter != toString(one.adapter)) {
        spdlog::error("entry: {} answered with {} for {}.", one.owner, news.adapter, toString(one.adapter));
        const pending_ptr wrong = take(news.id);
        m_bus.post(send_to{wrong->owner, run_cancel{news.id}});
        attemptEnded(wrong, outcome::Unknown, error_kind::Internal, "wrong adapter", {});
    }
}

void entry_task::onBytes(const run_bytes &news)
{
    const auto found = m_pending.find(news.id);
    if (found == m_pending.end()) {
        return;
    }
    pending &one = *found->second;
    if (one.firstByte == millis{}) {
        one.firstByte = bootNow();
    }
    one.tokens += countTokens(news.bytes);
    if (!one.stream || !one.key.empty()) {
        one.collected += news.bytes;
    }
    if (!one.stream) {
        return;
    }
    if (!one.begun) {
        one.begun = true;
        one.reply->begin(200,
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"},
                {"X-Briarhead-Adapter", toString(one.adapter)}, {"X-Briarhead-Server", one.server},
                {"X-Request-Id", toString(one.id)}});
    }
    one.reply->write(news.bytes);
}

void entry_task::onEnd(const run_end &news)
{
    learn(news.hint);
    const pending_ptr one = take(news.id);
    if (!one) {
        return;
    }
    if (!news.replicas.empty()) {
        m_replicas[one->adapter.adapter] = {news.replicas, bootNow()};
    }
    if (news.why == error_kind::NotOwner) {
        m_servers[one->server].owner = news.owner == one->owner ? "" : news.owner;
    }
    attemptEnded(one, news.result, news.why, news.detail, {news.retryAfterMs});
}

void entry_task::attemptEnded(
    const pending_ptr &one, outcome result, error_kind why, const std::string &detail, millis retryAfter)
{
    const millis now = bootNow();
    server_state *server = m_servers.count(one->server) != 0 ? &m_servers[one->server] : nullptr;
    if (result == outcome::Done) {
        if (server != nullptr) {
            breakerSuccess(server->health);
        }
        countSuccess(m_budget);
        answerDone(one);
        return;
    }
    const bool serverFailed = result == outcome::Unknown || why == error_kind::ConnectionLost;
    if (server != nullptr && serverFailed) {
        breakerFailure(server->health, now);
    }
    one->mayHaveRun = one->mayHaveRun || result == outcome::Unknown;
    one->lastWhy = {why, one->server, detail};
    one->lastRetryAfter = retryAfter;
    attempt_end end;
    end.result = result;
    end.why = why;
    end.idempotent = one->idempotent;
    end.bytesToCaller = one->begun;
    end.attempts = one->attempts;
    end.deadlineLeft = one->deadline - now;
    switch (decideRetry(end, m_budget)) {
    case retry_decision::SameOwner:
        --one->attempts;
        retryLater(one, m_servers[one->server].owner.empty() ? redirectPauseMs : 0);
        return;
    case retry_decision::Elsewhere:
        one->tried.push_back(one->server);
        one->collected.clear();
        one->tokens = 0;
        route(one);
        return;
    case retry_decision::Stop:
        break;
    }
    answer(one, {result, one->lastWhy, retryAfter});
}

void entry_task::onBroken(const std::string &peer)
{
    std::vector<request_id> lost;
    std::vector<request_id> keyed;
    for (const auto &[id, one] : m_pending) {
        if (one->placed && one->owner == peer) {
            lost.push_back(id);
        } else if (one->askingHome && one->home == peer) {
            keyed.push_back(id);
        }
    }
    for (const request_id &id : lost) {
        const pending_ptr one = take(id);
        for (auto &entry : m_servers) {
            if (entry.second.owner == peer) {
                entry.second.owner.clear();
            }
        }
        one->redirects = 0;
        attemptEnded(
            one, outcome::Unknown, error_kind::ConnectionLost, "the owner " + peer + " was lost", {});
    }
    for (const request_id &id : keyed) {
        if (const pending_ptr one = take(id)) {
            homeLost(one);
        }
    }
}

// ---- the one answer

void entry_task::answerDone(const pending_ptr &one)
{
    if (one->stream) {
        finishKeyed(*one, outcome::Done, 200, one->collected);
        if (!one->begun) {
            one->reply->begin(200, {{"Content-Type", "text/event-stream"}});
        }
        one->reply->end();
    } else {
        const std::string body = assembleCompletion(one->collected, one->chat, toString(one->adapter));
        if (body.empty()) {
            answer(one,
                {outcome::Unknown, {error_kind::Internal, one->server, "the engine's answer can't be read"},
                    {}});
            return;
        }
        finishKeyed(*one, outcome::Done, 200, body);
        one->reply->respond(200,
            {{"Content-Type", "application/json"}, {"X-Briarhead-Adapter", toString(one->adapter)},
                {"X-Briarhead-Server", one->server}, {"X-Request-Id", toString(one->id)},
                {"X-Briarhead-Stall-Ms", std::to_string(one->stall.count)}},
            body);
    }
    record(*one, outcome::Done, error_kind::None);
}

void entry_task::answer(const pending_ptr &one, const request_result &last)
{
    // Guards against: an idempotent request runs on a server that is lost, is sent again and refused, and its
    // caller is told that it was not run. The last attempt's outcome is the request's only if none before it
    // may have run.
    request_result end = last;
    if (one->mayHaveRun && end.result == outcome::NotRun) {
        end.result = outcome::Unknown;
    }
    // A server that was lost says nothing of when to come back; without a time, callers come back at once.
    if (end.result == outcome::NotRun && end.retryAfter.count <= 0) {
        end.retryAfter = {lostServerRetryMs};
    }
    finishKeyed(*one, end.result, 0, "");
    record(*one, end.result, end.why.kind);
    if (!one->begun) {
        respondError(*one->reply, end);
        return;
    }
    // Part of a stream is out: the error goes into it as an event, and the connection breaks off without the
    // closing chunk, so that no client takes the part for the whole.
    one->reply->write("data: " + errorBody(end) + "\n\n");
    one->reply->abort();
}

void entry_task::record(const pending &one, outcome result, error_kind why)
{
    const millis now = bootNow();
    const auto limit = m_limits.find(one.limitKey);
    if (!one.limitKey.empty() && limit != m_limits.end()) {
        releaseLimit(limit->second, now - one.arrived);
    }
    request_record entry;
    entry.caller = one.caller;
    entry.adapter = one.adapter.adapter;
    entry.server = one.server;
    entry.service = !one.service.empty();
    entry.result = result;
    entry.why = why;
    entry.rank = one.rank;
    entry.firstToken = one.firstByte == millis{} ? millis{} : one.firstByte - one.arrived;
    entry.whole = now - one.arrived;
    entry.stall = one.stall;
    entry.queued = one.queued;
    entry.tokens = one.tokens;
    observe(m_metrics, entry, *one.config, now);
}

void entry_task::closed(const pending_ptr &one)
{
    const auto found = m_pending.find(one->id);
    if (found == m_pending.end() || found->second != one) {
        return;
    }
    // Guards against: a caller whose connection broke repeats a request that may not run twice. It shows as
    // an answer lost for good. The run goes on to its end and its answer is kept at the key's home for the
    // repeat.
    if (one->keyHeld || one->askingHome) {
        one->gone = true;
        return;
    }
    // Nobody will read the answer, so the engine's place is freed for others.
    const bool handedOver = one->placed;
    take(one->id);
    if (one->call != 0) {
        m_services.cancel(one->call);
    } else if (handedOver) {
        m_bus.post(send_to{one->owner, run_cancel{one->id}});
    }
    const auto limit = m_limits.find(one->limitKey);
    if (!one->limitKey.empty() && limit != m_limits.end()) {
        releaseLimit(limit->second, bootNow() - one->arrived);
    }
}

/// Drops what is kept by adapter or by caller and no longer of use, so that memory follows use and not the
/// number of adapters ever asked for.
void entry_task::forget(millis now)
{
    m_forgetAt = now + millis{replicaHintMs};
    std::erase_if(m_replicas, [now](const auto &entry) {
        return now - entry.second.at >= millis{replicaHintMs};
    });
    std::erase_if(m_limits, [now](const auto &entry) {
        return entry.second.inFlight == 0 && now - entry.second.filled >= millis{limitIdleMs};
    });
}

void entry_task::tick()
{
    const millis now = bootNow();
    if (now >= m_forgetAt) {
        forget(now);
    }
    std::vector<request_id> over;
    for (const auto &[id, one] : m_pending) {
        if (now > one->deadline + millis{deadlineSlackMs}) {
            over.push_back(id);
        }
    }
    for (const request_id &id : over) {
        const bool handedOver = m_pending.at(id)->placed;
        const pending_ptr one = take(id);
        if (handedOver && one->service.empty()) {
            m_bus.post(send_to{one->owner, run_cancel{id}});
        }
        if (one->call != 0) {
            m_services.cancel(one->call);
        }
        answer(one,
            {handedOver ? outcome::Unknown : outcome::NotRun,
                {error_kind::Timeout, one->server, "no answer by the deadline"}, {}});
    }
}

}
