#include "serving/server_path_send.h"

#include "coordination/rendezvous.h"
#include "protocol/codec.h"

#include <utility>

// Sends requests over either path.
namespace briarhead {

namespace {

constexpr std::size_t maxRelaysTried = 3;
/// A peer that failed to relay is not tried again for this long, unless there is no other.
constexpr millis relayBackoff{1'000};
constexpr millis probeInterval{500};
constexpr millis silenceCheckInterval{200};

}

server_path_task::server_path_task(loop &eventLoop, bus &messages, store_task &store,
    server_notice_task &notices, backend_pool &pool, const request_codec &codec,
    const node_settings &settings, decision_log &log)
    : m_loop(eventLoop)
    , m_bus(messages)
    , m_store(store)
    , m_notices(notices)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
{
    m_pool.setConnectObserver([this](const peer_address &to, bool connected) {
        onConnectAttempt(to, connected);
    });
    messages.on<view_changed>([this](const view_changed &change) {
        for (const std::string &server : change.removedServers) {
            forgetPath(m_paths, server);
            if (const backend_server *restarted = findServer(server)) {
                m_pool.forget(restarted->address); // drop connections to the previous incarnation
            }
        }
    });
    m_probeTimer = m_loop.timer(probeInterval, probeInterval, [this] {
        probeCuts();
    });
    m_silenceTimer = m_loop.timer(silenceCheckInterval, silenceCheckInterval, [this] {
        breakSilentSends();
        checkSilence();
    });
}

bool server_path_task::isCutOff() const
{
    return m_paths.cutOff;
}

const path_counters &server_path_task::counters() const
{
    return m_counters;
}

const backend_server *server_path_task::findServer(const std::string &id) const
{
    const auto found = m_store.view().servers.find(id);
    return found == m_store.view().servers.end() ? nullptr : &found->second;
}

server_path_task::send_id server_path_task::start(path_request request, send_handlers handlers)
{
    auto send = std::make_shared<active_send>();
    send->id = ++m_lastId;
    send->request = std::move(request);
    send->handlers = std::move(handlers);
    send->lastByteAt = bootNow();
    m_sends.emplace(send->id, send);
    if (routeTo(m_paths, send->request.server) == send_route::Relayed) {
        startRelayed(send);
    } else {
        startDirect(send);
    }
    return send->id;
}

void server_path_task::cancel(send_id id)
{
    const auto found = m_sends.find(id);
    if (found == m_sends.end()) {
        return;
    }
    const send_ptr send = found->second;
    m_sends.erase(found);
    if (send->poolId) {
        m_pool.cancel(*send->poolId);
        releaseRelay(*send);
    }
}

void server_path_task::setReceiving(send_id id, bool receiving)
{
    const auto found = m_sends.find(id);
    if (found != m_sends.end() && found->second->poolId) {
        m_pool.setReceiving(*found->second->poolId, receiving);
    }
}

void server_path_task::startDirect(const send_ptr &send)
{
    const backend_server *server = findServer(send->request.server);
    const auto bytes = server == nullptr ? std::nullopt : send->request.write();
    if (!bytes) {
        endUnsentLater(send, {error_kind::NoServer, send->request.server, "it is closed"});
        return;
    }
    const std::weak_ptr<active_send> weak = send;
    send_handlers handlers;
    handlers.onHead = [this, weak](const http_head &head) {
        m_lastByteAt = bootNow();
        const auto locked = weak.lock();
        if (!locked) {
            return true;
        }
        locked->lastByteAt = m_lastByteAt;
        return locked->handlers.onHead(head);
    };
    handlers.onBody = [this, weak](std::string received) {
        m_lastByteAt = bootNow();
        if (const auto locked = weak.lock()) {
            locked->lastByteAt = m_lastByteAt;
            locked->handlers.onBody(std::move(received));
        }
    };
    handlers.onEnd = [this, weak](const response_end &how, const error &why) {
        if (const auto locked = weak.lock()) {
            onDirectEnd(locked, how, why);
        }
    };
    send->poolId = m_pool.start(server->address, *bytes, send->request.noBody, std::move(handlers));
    if (m_pool.isConnecting(*send->poolId)) {
        send->slowTimer = m_loop.timer(slowConnect, {}, [this, weak] {
            const auto locked = weak.lock();
            if (locked && locked->poolId && locked->relay.empty() && m_pool.isConnecting(*locked->poolId)) {
                onConnectFailed(locked->request.server);
            }
        });
    }
}

void server_path_task::onDirectEnd(const send_ptr &send, const response_end &how, const error &why)
{
    send->poolId.reset();
    send->slowTimer.reset();
    if (resultOf(how) != send_result::NotSent) {
        end(send, how, why);
        return;
    }
    if (isCut(m_paths, send->request.server)) {
        startRelayed(send);
    } else if (m_reachChecks.count(send->request.server) != 0) {
        m_waitingForReach[send->request.server].push_back(send);
    } else {
        end(send, how, why);
    }
}

/// Ends a request of which nothing was sent, in the next round of the loop, so that no handler runs inside
/// start().
void server_path_task::endUnsentLater(const send_ptr &send, const error &why)
{
    m_loop.post([this, weak = std::weak_ptr<active_send>(send), why] {
        if (const auto locked = weak.lock()) {
            end(locked, unsentEnd(), why);
        }
    });
}

void server_path_task::end(const send_ptr &send, const response_end &how, const error &why)
{
    if (m_sends.erase(send->id) != 0) {
        send->handlers.onEnd(how, why);
    }
}

bool server_path_task::isOtherDomain(const std::string &node) const
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    return peer == nullptr || peer->failureDomain != m_settings.failureDomain;
}

/// The peer to send a request through, or null. Peers whose record has expired have lost the store, but may
/// still reach servers; those and the ones that failed lately are used only if there is no other.
const daemon_record *server_path_task::nextRelay(
    const std::string &id, const std::set<std::string> &tried, relay_scope scope) const
{
    const store_view &view = m_store.view();
    for (const auto &[daemons, evenFailed] : {std::pair(&view.daemons, false),
             std::pair(&view.expiredDaemons, false), std::pair(&view.daemons, true)}) {
        if (const daemon_record *peer = chooseRelayOf(*daemons, evenFailed, id, tried, scope)) {
            return peer;
        }
    }
    return nullptr;
}

const daemon_record *server_path_task::chooseRelayOf(const daemon_map &daemons, bool evenFailed,
    const std::string &id, const std::set<std::string> &tried, relay_scope scope) const
{
    const millis now = bootNow();
    std::vector<const daemon_record *> peers;
    std::vector<relay_candidate> candidates;
    for (const auto &[node, record] : daemons) {
        const bool sameDomain = record.failureDomain == m_settings.failureDomain;
        if (node == m_settings.node || (sameDomain && scope == relay_scope::OtherDomains)) {
            continue;
        }
        const auto failed = m_relayFailedAt.find(node);
        const auto inFlight = m_relaysInFlight.find(node);
        const bool backsOff =
            !evenFailed && failed != m_relayFailedAt.end() && now - failed->second < relayBackoff;
        peers.push_back(&record);
        candidates.push_back(
            {sameDomain, tried.count(node) != 0 || m_store.view().cutOffDaemons.count(node) != 0 || backsOff,
                inFlight == m_relaysInFlight.end() ? 0 : inFlight->second, rendezvousScore(id, node)});
    }
    const auto chosen = chooseRelay(candidates);
    return chosen ? peers[*chosen] : nullptr;
}

void server_path_task::startRelayed(const send_ptr &send)
{
    const path_request &request = send->request;
    const daemon_record *peer = send->relaysTried.size() < maxRelaysTried
        ? nextRelay(request.id, send->relaysTried, relay_scope::All)
        : nullptr;
    const backend_server *server = findServer(request.server);
    const auto bytes = peer == nullptr || server == nullptr ? std::nullopt : request.write();
    if (!bytes) {
        const char *detail = peer == nullptr ? "the link is cut and no peer reaches it" : "it is closed";
        endUnsentLater(send, {error_kind::NoServer, request.server, detail});
        return;
    }
    send->relay = peer->node;
    send->relaysTried.insert(peer->node);
    send->relayStatus = 0;
    send->relayBytes.clear();
    ++m_relaysInFlight[peer->node];
    (isOtherDomain(peer->node) ? m_counters.relayedOtherDomain : m_counters.relayedSameDomain) += 1;
    const std::string body =
        encode(relay_request{request.id, request.server, incarnationOf(*server), request.granted,
            request.noBody, std::max<std::int64_t>((request.deadlineAt - bootNow()).count, 1), *bytes});
    countBytes(*send, body.size());
    m_log.ordinary("request.relayed")
        .add("id", request.id)
        .add("server", request.server)
        .add("peer", peer->node)
        .add("peer_domain", peer->failureDomain)
        .add("try", static_cast<std::int64_t>(send->relaysTried.size()));
    const std::weak_ptr<active_send> weak = send;
    send_handlers handlers;
    handlers.onHead = [weak](const http_head &head) {
        if (const auto locked = weak.lock()) {
            locked->relayStatus = head.status;
        }
        return true;
    };
    handlers.onBody = [this, weak](const std::string &received) {
        if (const auto locked = weak.lock()) {
            onRelayBytes(locked, received);
        }
    };
    handlers.onEnd = [this, weak](const response_end &how, const error &why) {
        if (const auto locked = weak.lock()) {
            onRelayEnd(locked, how, why);
        }
    };
    send->poolId = m_pool.start({peer->ip, peer->port},
        peerCall("POST", relayTarget, body, relayEndsField + ": 1\r\n"), false, std::move(handlers));
    if (m_pool.isConnecting(*send->poolId)) {
        send->slowTimer = m_loop.timer(slowConnect, {}, [this, weak] {
            if (const auto locked = weak.lock()) {
                onRelaySlow(locked);
            }
        });
    }
}

/// Takes another peer if the connection to this one is not established yet: nothing has been sent.
void server_path_task::onRelaySlow(const send_ptr &send)
{
    if (!send->poolId || send->relay.empty() || !m_pool.isConnecting(*send->poolId)) {
        return;
    }
    const auto timer = std::exchange(send->slowTimer, nullptr); // kept alive until the end of this call
    m_relayFailedAt[send->relay] = bootNow();
    m_pool.cancel(*send->poolId);
    releaseRelay(*send);
    startRelayed(send);
}

void server_path_task::countBytes(const active_send &send, std::size_t bytes)
{
    (isOtherDomain(send.relay) ? m_counters.relayedBytesOtherDomain : m_counters.relayedBytesSameDomain) +=
        bytes;
}

void server_path_task::releaseRelay(active_send &send)
{
    send.poolId.reset();
    if (!send.relay.empty() && --m_relaysInFlight[send.relay] <= 0) {
        m_relaysInFlight.erase(send.relay);
    }
    send.relay.clear();
}

void server_path_task::onRelayBytes(const send_ptr &send, const std::string &bytes)
{
    countBytes(*send, bytes.size());
    send->relayBytes += bytes;
    if (send->relayStatus != relayedStatus) {
        return; // the bytes are the reason of a refusal
    }
    bool valid = true;
    while (m_sends.count(send->id) != 0) {
        const auto part = takePart(send->relayBytes, valid);
        if (!valid) {
            m_pool.cancel(*send->poolId);
            releaseRelay(*send);
            end(send, brokenEnd(connection_end::Open),
                {error_kind::BadFrame, "peer", "its relayed response is malformed"});
            return;
        }
        if (!part) {
            return;
        }
        onRelayPart(send, *part);
    }
}

namespace {

/// The end of a relayed response as an older build describes it, which takes an orderly close for its end.
response_end endOf(const relay_end &last, body_framing framing)
{
    if (!last.complete) {
        return brokenEnd(connection_end::Reset);
    }
    response_end end;
    end.framing = framing;
    end.framingComplete = framing != body_framing::Connection;
    end.connection = end.framingComplete ? connection_end::Open : connection_end::Orderly;
    return end;
}

response_end endOf(const relay_response_end &last)
{
    const auto framing = static_cast<body_framing>(last.framing);
    const auto connection = static_cast<connection_end>(last.connection);
    if (framing > lastOf(body_framing{}) || connection > lastOf(connection_end{})) {
        return brokenEnd(connection_end::Reset); // of a newer build
    }
    response_end end = brokenEnd(connection);
    end.framing = framing;
    end.framingComplete = last.framingComplete;
    return end;
}

}

void server_path_task::onRelayPart(const send_ptr &send, const relay_part &part)
{
    if (const auto *head = std::get_if<relay_head>(&part)) {
        http_head converted;
        converted.status = head->status;
        converted.reason = head->reason;
        for (const auto &[name, value] : head->fields) {
            converted.fields.push_back({name, value});
        }
        send->framing = framingOf(converted, send->request.noBody);
        // The peer has discarded the responses to other requests.
        if (!send->handlers.onHead(converted) && m_sends.count(send->id) != 0) {
            m_pool.cancel(*send->poolId);
            releaseRelay(*send);
            end(send, brokenEnd(connection_end::Open),
                {error_kind::ConnectionLost, "backend server", "its response belongs to another request"});
        }
    } else if (const auto *body = std::get_if<relay_body>(&part)) {
        send->handlers.onBody(body->bytes);
    } else if (const auto *last = std::get_if<relay_end>(&part)) {
        // The peer's connection completes by itself and is kept.
        releaseRelay(*send);
        end(send, endOf(*last, send->framing), {error_kind::ConnectionLost, "backend server", last->detail});
    } else if (const auto *ended = std::get_if<relay_response_end>(&part)) {
        releaseRelay(*send);
        end(send, endOf(*ended), {error_kind::ConnectionLost, "backend server", ended->detail});
    }
}

void server_path_task::onRelayEnd(const send_ptr &send, const response_end &how, const error &why)
{
    const std::string peer = send->relay;
    releaseRelay(*send);
    const send_result result = resultOf(how);
    const bool refused = send->relayStatus != 0 && send->relayStatus != relayedStatus;
    if (!refused && result != send_result::NotSent) {
        end(send, brokenEnd(connection_end::Reset),
            {error_kind::ConnectionLost, "backend server", "the relaying peer broke off: " + why.detail});
        return;
    }
    m_log.important("relay.refused")
        .add("id", send->request.id)
        .add("server", send->request.server)
        .add("peer", peer)
        .add("status", send->relayStatus)
        .add("why", refused ? send->relayBytes : why.detail);
    if (result == send_result::NotSent || send->relayStatus == statusNotFound) {
        m_relayFailedAt[peer] = bootNow();
    }
    startRelayed(send);
}

}
