#include "serving/server_path_task.h"

#include "coordination/rendezvous.h"
#include "protocol/codec.h"
#include "serving/crash_store.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <utility>

// Sends over either path, and finding out which of them reaches a server.
namespace briarhead {

namespace {

const std::string relayTarget = "/relay";
/// Followed by a server's id.
const std::string reachTarget = "/reach?server=";
/// A reachable server accepts a connection within a few milliseconds. After this time peers are asked whether
/// they reach it, while the attempt goes on.
constexpr millis slowConnect{250};
constexpr millis probeTimeout{350};
/// Timeout of the attempt that confirms a cut.
constexpr millis confirmTimeout{150};
/// Timeout of the question to a peer, which probes the server itself.
constexpr millis reachTimeout{500};
/// Peers asked about a server: one of the own failure domain and the others from elsewhere, since a whole
/// domain may be cut off.
constexpr std::size_t peersAsked = 3;
constexpr std::size_t maxRelaysTried = 3;
/// A peer that failed to relay is not tried again for this long.
constexpr millis relayBackoff{1'000};
/// Requests of peers relayed at once, so that a daemon whose neighbours are cut off can still serve its own
/// callers.
constexpr std::size_t maxRelayed = 128;
constexpr millis probeInterval{500};
/// If no server has sent a byte for this long although requests are in progress, the links are probed.
constexpr millis maxSilence{500};
/// The same for a single request to a server whose link is cut.
constexpr millis maxSilenceAtCut{400};
constexpr millis silenceCheckInterval{100};
constexpr millis silenceProbeInterval{1'000};
constexpr std::size_t silenceProbes = 2;
/// Servers probed when the link to another one has turned out to be cut.
constexpr std::size_t othersProbed = 3;
constexpr int statusReached = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

std::string peerCall(const std::string &method, const std::string &target, const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: peer\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

}

/// A request from start() until its end.
struct server_path_task::active_send
{
    send_id id = 0;
    path_request request;
    send_handlers handlers;
    std::optional<backend_pool::send_id> poolId; ///< of the send in progress on either path
    std::string relay; ///< node of the relaying peer; empty: direct
    std::set<std::string> relaysTried;
    int relayStatus = 0; ///< of the relay's response
    std::string relayBytes; ///< received and not decoded yet
    millis lastByteAt; ///< from the server, or when the send began
    std::shared_ptr<void> slowTimer;
};

/// Peers are being asked whether they reach a server.
struct server_path_task::reach_check
{
    std::size_t open = 0; ///< answers of peers still expected
    bool reached = false; ///< by a peer
    std::shared_ptr<void> ownAttempt; ///< while this daemon tries once more
    std::vector<reach_callback> callbacks;
};

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

// ---- sending

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

void server_path_task::startDirect(const send_ptr &send)
{
    const backend_server *server = findServer(send->request.server);
    const auto bytes = server == nullptr ? std::nullopt : send->request.write();
    if (!bytes) {
        endLater(send, send_result::NotSent, {error_kind::NoServer, send->request.server, "it is closed"});
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
    handlers.onEnd = [this, weak](send_result result, const error &why) {
        if (const auto locked = weak.lock()) {
            onDirectEnd(locked, result, why);
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

void server_path_task::onDirectEnd(const send_ptr &send, send_result result, const error &why)
{
    send->poolId.reset();
    send->slowTimer.reset();
    if (result != send_result::NotSent) {
        end(send, result, why);
        return;
    }
    if (isCut(m_paths, send->request.server)) {
        startRelayed(send);
    } else if (m_reachChecks.count(send->request.server) != 0) {
        m_waitingForReach[send->request.server].push_back(send);
    } else {
        end(send, result, why);
    }
}

/// Ends a request in the next round of the loop, so that no handler runs inside start().
void server_path_task::endLater(const send_ptr &send, send_result result, const error &why)
{
    m_loop.post([this, weak = std::weak_ptr<active_send>(send), result, why] {
        if (const auto locked = weak.lock()) {
            end(locked, result, why);
        }
    });
}

void server_path_task::end(const send_ptr &send, send_result result, const error &why)
{
    if (m_sends.erase(send->id) != 0) {
        send->handlers.onEnd(result, why);
    }
}

// ---- sending through a peer

bool server_path_task::isOtherDomain(const std::string &node) const
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    return peer == nullptr || peer->failureDomain != m_settings.failureDomain;
}

/// The peer to send a request through, or null. Peers whose record has expired have lost the store, but may
/// still reach servers; those and the ones that failed lately are used only if there is no other.
const daemon_record *server_path_task::nextRelay(
    const std::string &id, const std::set<std::string> &tried) const
{
    const store_view &view = m_store.view();
    for (const auto &[daemons, evenFailed] : {std::pair(&view.daemons, false),
             std::pair(&view.expiredDaemons, false), std::pair(&view.daemons, true)}) {
        if (const daemon_record *peer = chooseRelayOf(*daemons, evenFailed, id, tried)) {
            return peer;
        }
    }
    return nullptr;
}

const daemon_record *server_path_task::chooseRelayOf(const daemon_map &daemons, bool evenFailed,
    const std::string &id, const std::set<std::string> &tried) const
{
    const millis now = bootNow();
    std::vector<const daemon_record *> peers;
    std::vector<relay_candidate> candidates;
    for (const auto &[node, record] : daemons) {
        if (node == m_settings.node) {
            continue;
        }
        const auto failed = m_relayFailedAt.find(node);
        const auto inFlight = m_relaysInFlight.find(node);
        const bool backsOff =
            !evenFailed && failed != m_relayFailedAt.end() && now - failed->second < relayBackoff;
        peers.push_back(&record);
        candidates.push_back({record.failureDomain == m_settings.failureDomain,
            tried.count(node) != 0 || m_store.view().cutOffDaemons.count(node) != 0 || backsOff,
            inFlight == m_relaysInFlight.end() ? 0 : inFlight->second, rendezvousScore(id, node)});
    }
    const auto chosen = chooseRelay(candidates);
    return chosen ? peers[*chosen] : nullptr;
}

void server_path_task::startRelayed(const send_ptr &send)
{
    const path_request &request = send->request;
    const daemon_record *peer =
        send->relaysTried.size() < maxRelaysTried ? nextRelay(request.id, send->relaysTried) : nullptr;
    const backend_server *server = findServer(request.server);
    const auto bytes = peer == nullptr || server == nullptr ? std::nullopt : request.write();
    if (!bytes) {
        const char *detail = peer == nullptr ? "the link is cut and no peer reaches it" : "it is closed";
        endLater(send, send_result::NotSent, {error_kind::NoServer, request.server, detail});
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
    handlers.onEnd = [this, weak](send_result result, const error &why) {
        if (const auto locked = weak.lock()) {
            onRelayEnd(locked, result, why);
        }
    };
    send->poolId =
        m_pool.start({peer->ip, peer->port}, peerCall("POST", relayTarget, body), false, std::move(handlers));
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
    if (send->relayStatus != relayedStatus) {
        send->relayBytes += bytes; // the reason of a refusal
        return;
    }
    send->relayBytes += bytes;
    bool valid = true;
    while (m_sends.count(send->id) != 0) {
        const auto part = takePart(send->relayBytes, valid);
        if (!valid) {
            m_pool.cancel(*send->poolId);
            releaseRelay(*send);
            end(send, send_result::Broken,
                {error_kind::BadFrame, "peer", "its relayed response is malformed"});
            return;
        }
        if (!part) {
            return;
        }
        onRelayPart(send, *part);
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
        // The peer has discarded the responses to other requests.
        if (!send->handlers.onHead(converted) && m_sends.count(send->id) != 0) {
            m_pool.cancel(*send->poolId);
            releaseRelay(*send);
            end(send, send_result::Broken,
                {error_kind::ConnectionLost, "backend server", "its response belongs to another request"});
        }
    } else if (const auto *body = std::get_if<relay_body>(&part)) {
        send->handlers.onBody(body->bytes);
    } else if (const auto *last = std::get_if<relay_end>(&part)) {
        // The peer's connection completes by itself and is kept.
        releaseRelay(*send);
        end(send, last->complete ? send_result::Complete : send_result::Broken,
            {error_kind::ConnectionLost, "backend server", last->detail});
    }
}

void server_path_task::onRelayEnd(const send_ptr &send, send_result result, const error &why)
{
    const std::string peer = send->relay;
    releaseRelay(*send);
    const bool refused = send->relayStatus != 0 && send->relayStatus != relayedStatus;
    if (!refused && result != send_result::NotSent) {
        end(send, send_result::Broken,
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

// ---- which path reaches a server

void server_path_task::onConnectAttempt(const peer_address &to, bool connected)
{
    if (connected && m_paths.failing.empty() && !m_paths.cutOff) {
        m_paths.lastConnectedAt = bootNow();
        return; // the usual case, without a search for the server
    }
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.address.ip == to.ip && server.address.port == to.port) {
            if (connected) {
                onConnected(id);
            } else {
                onConnectFailed(id);
            }
            return;
        }
    }
}

void server_path_task::onConnected(const std::string &server)
{
    const bool wasCutOff = m_paths.cutOff;
    const bool wasCut = isCut(m_paths, server);
    if (!recordConnected(m_paths, server, bootNow())) {
        return;
    }
    if (wasCut) {
        m_log.important("path.restored").add("server", server);
    }
    if (wasCutOff) {
        setCutOff(false);
    }
}

void server_path_task::onConnectFailed(const std::string &server)
{
    recordConnectFailed(m_paths, server, bootNow());
    if (needsReachCheck(m_paths, server, bootNow())) {
        checkReach(server, {});
    }
}

/// Asks peers whether they reach the server, unless they are being asked already. `done`, if set, is called
/// once the result is known, never from inside.
void server_path_task::checkReach(const std::string &server, reach_callback done)
{
    const auto [found, isNew] = m_reachChecks.try_emplace(server);
    if (isNew) {
        found->second = std::make_shared<reach_check>();
    }
    const std::shared_ptr<reach_check> check = found->second;
    if (done) {
        check->callbacks.push_back(std::move(done));
    }
    if (!isNew) {
        return;
    }
    std::set<std::string> asked;
    for (std::size_t i = 0; i < peersAsked; ++i) {
        // The first is of the own failure domain if possible, the others are not.
        std::set<std::string> excluded = asked;
        if (i > 0) {
            for (const auto &[node, record] : m_store.view().daemons) {
                if (record.failureDomain == m_settings.failureDomain) {
                    excluded.insert(node);
                }
            }
        }
        const daemon_record *peer = nextRelay(server, excluded);
        peer = peer == nullptr ? nextRelay(server, asked) : peer;
        if (peer != nullptr) {
            asked.insert(peer->node);
            askPeer(*peer, server, check);
        }
    }
    retryOwnPath(server, check);
}

/// Tries to connect once more at the time at which peers do. A server that was silent for a moment would
/// otherwise be taken for one behind a cut link, if peers reach it just afterwards.
void server_path_task::retryOwnPath(const std::string &server, const std::shared_ptr<reach_check> &check)
{
    const backend_server *known = findServer(server);
    if (known == nullptr) {
        m_loop.post([this, server, check] {
            onReachAnswer(server, check);
        });
        return;
    }
    check->ownAttempt =
        probeConnect(m_loop, known->address, confirmTimeout, [this, server, check](connect_result result) {
            const auto handle = std::exchange(check->ownAttempt, nullptr); // kept until the end of this call
            if (result == connect_result::Accepted) {
                onConnected(server);
            }
            onReachAnswer(server, check);
        });
}

void server_path_task::askPeer(
    const daemon_record &peer, const std::string &server, const std::shared_ptr<reach_check> &check)
{
    ++check->open;
    callServer(m_loop, m_pool, {peer.ip, peer.port}, peerCall("GET", reachTarget + server, {}), reachTimeout,
        [this, server, check, node = peer.node](const call_result &result) {
            --check->open;
            check->reached =
                check->reached || (result.how == send_result::Complete && result.status == statusReached);
            if (result.how != send_result::Complete) {
                m_relayFailedAt[node] = bootNow();
            }
            onReachAnswer(server, check);
        });
}

void server_path_task::onReachAnswer(const std::string &server, const std::shared_ptr<reach_check> &check)
{
    if (!check->ownAttempt && (check->reached || check->open == 0)) {
        onReachResult(server, check);
    }
}

void server_path_task::onReachResult(const std::string &server, const std::shared_ptr<reach_check> &check)
{
    const auto current = m_reachChecks.find(server);
    if (current == m_reachChecks.end() || current->second != check) {
        return; // an earlier answer was enough
    }
    m_reachChecks.erase(current);
    const bool wasCut = isCut(m_paths, server);
    const bool newlyCutOff =
        recordReach(m_paths, server, check->reached, m_store.view().servers.size(), bootNow());
    m_log.important("path.checked")
        .add("server", server)
        .add("peers_reach_it", check->reached ? 1 : 0)
        .add("cut_off", m_paths.cutOff ? 1 : 0);
    if (isCut(m_paths, server) && !wasCut) {
        onCut(server);
    }
    if (newlyCutOff) {
        setCutOff(true);
    }
    for (const reach_callback &done : check->callbacks) {
        done(check->reached);
    }
    for (const send_ptr &send : std::exchange(m_waitingForReach[server], {})) {
        if (m_sends.count(send->id) == 0) {
            continue;
        }
        if (isCut(m_paths, server)) {
            startRelayed(send);
        } else {
            end(send, send_result::NotSent,
                {error_kind::NoServer, server, "neither this daemon nor its peers reach it"});
        }
    }
    m_waitingForReach.erase(server);
}

/// The link to a server has turned out to be cut: kept connections are not to be trusted, and sends that are
/// still connecting take the other path.
void server_path_task::onCut(const std::string &server)
{
    if (const backend_server *known = findServer(server)) {
        m_pool.forget(known->address);
    }
    m_bus.post(server_link_cut{server});
    probeOthers();
    std::vector<send_ptr> connecting;
    for (const auto &[id, send] : m_sends) {
        if (send->request.server == server && send->relay.empty() && send->poolId
            && m_pool.isConnecting(*send->poolId)) {
            connecting.push_back(send);
        }
    }
    for (const send_ptr &send : connecting) {
        m_pool.cancel(*send->poolId);
        send->poolId.reset();
        startRelayed(send);
    }
}

void server_path_task::setCutOff(bool cutOff)
{
    m_log.important(cutOff ? "servers.cut_off" : "servers.reached")
        .add("failing", static_cast<std::int64_t>(m_paths.failing.size()))
        .add("servers", static_cast<std::int64_t>(m_store.view().servers.size()));
    m_counters.cuts += cutOff ? 1 : 0;
    if (cutOff) {
        for (const auto &[id, server] : m_store.view().servers) {
            m_pool.forget(server.address);
        }
    }
    m_store.setCutOff(cutOff);
    m_bus.post(servers_reachable{!cutOff});
}

/// Finds out whether the links to other servers are cut as well, before requests do.
void server_path_task::probeOthers()
{
    std::size_t probes = 0;
    for (const auto &[id, server] : m_store.view().servers) {
        if (!m_paths.cutOff && probes < othersProbed && m_paths.failing.count(id) == 0) {
            ++probes;
            probeServer(id);
        }
    }
}

/// Tries cut links again, one server each time. While the daemon is cut off from all, any server may be the
/// first that it reaches.
void server_path_task::probeCuts()
{
    std::vector<std::string> cut;
    for (const auto &[id, server] : m_store.view().servers) {
        if (m_paths.cutOff || isCut(m_paths, id)) {
            cut.push_back(id);
        }
    }
    if (cut.empty()) {
        return;
    }
    const auto next = std::upper_bound(cut.begin(), cut.end(), m_lastProbed);
    m_lastProbed = next == cut.end() ? cut.front() : *next;
    probeServer(m_lastProbed);
}

/// Ends requests that may be repeated and wait on a connection over a cut link. A connection that still sends
/// is left alone: some live on while new ones are refused.
void server_path_task::breakSilentSends()
{
    if (m_paths.failing.empty()) {
        return;
    }
    std::vector<send_ptr> silent;
    for (const auto &[id, send] : m_sends) {
        const bool waits = send->request.repeatable && send->poolId && send->relay.empty()
            && bootNow() - send->lastByteAt >= maxSilenceAtCut;
        if (waits && isCut(m_paths, send->request.server)) {
            silent.push_back(send);
        }
    }
    for (const send_ptr &send : silent) {
        m_pool.abort(*send->poolId);
        send->poolId.reset();
        end(send, send_result::Broken, {error_kind::Timeout, send->request.server, "the link to it is cut"});
    }
}

/// A cut shows first as silence on the connections in use. If no server sends anything although several are
/// expected to, a connection attempt tells sooner than a connection's timeout.
void server_path_task::checkSilence()
{
    const millis now = bootNow();
    if (m_paths.cutOff || now - m_lastByteAt < maxSilence || now - m_silenceProbedAt < silenceProbeInterval) {
        return;
    }
    std::set<std::string> silent;
    for (const auto &[id, send] : m_sends) {
        const bool waits = send->poolId && send->relay.empty() && now - send->lastByteAt >= maxSilence;
        if (waits && silent.size() < silenceProbes && !isCut(m_paths, send->request.server)) {
            silent.insert(send->request.server);
        }
    }
    if (silent.empty()) {
        return;
    }
    m_silenceProbedAt = now;
    for (const std::string &server : silent) {
        probeServer(server);
    }
}

void server_path_task::probeServer(const std::string &server)
{
    const backend_server *known = findServer(server);
    if (known == nullptr || m_probes.count(server) != 0) {
        return;
    }
    m_probes[server] =
        probeConnect(m_loop, known->address, probeTimeout, [this, server](connect_result result) {
            const auto handle = m_probes.extract(server); // kept alive until the end of this call
            if (result == connect_result::Accepted) {
                onConnected(server);
            } else {
                onConnectFailed(server);
            }
        });
}

void server_path_task::checkProcess(const crash_target &target, std::function<void(connect_result)> done)
{
    const std::uint64_t number = ++m_lastId;
    m_processChecks[number] = probeConnect(m_loop, target.address, probeTimeout,
        [this, number, target, done = std::move(done)](connect_result result) {
            const auto handle = m_processChecks.extract(number); // kept alive until the end of this call
            if (result != connect_result::Refused) {
                done(result);
                return;
            }
            // A cut can refuse connections too.
            recordConnectFailed(m_paths, target.server, bootNow());
            checkReach(target.server, [done](bool reached) {
                done(reached ? connect_result::Accepted : connect_result::Refused);
            });
        });
}

// ---- relaying for peers

/// A request of a peer, from its arrival until the end of its response.
struct server_path_task::relayed_request
{
    relay_request request;
    std::shared_ptr<front_reply> reply;
    std::optional<backend_pool::send_id> poolId;
    bool begun = false; ///< the response to the peer has begun
    std::shared_ptr<void> timer; ///< at the deadline
    std::shared_ptr<void> slowTimer; ///< while connecting

    void write(const relay_part &part)
    {
        if (!begun) {
            begun = true;
            reply->begin(relayedStatus, {});
        }
        reply->write(frame(part));
    }
};

bool server_path_task::onPeerRequest(const front_request &request, const std::shared_ptr<front_reply> &reply)
{
    const std::string &target = request.head.target;
    if (target.starts_with(reachTarget)) {
        onReachRequest(target.substr(reachTarget.size()), reply);
        return true;
    }
    if (target != relayTarget) {
        return false;
    }
    error why;
    if (const auto decoded = decodeRelayRequest(request.body, why)) {
        onRelayRequest(*decoded, reply);
    } else {
        reply->respond(400, {}, message(why));
    }
    return true;
}

void server_path_task::stopRelaying()
{
    m_relaying = false;
}

bool server_path_task::isRelaying() const
{
    return !m_relayed.empty();
}

/// Connects to the server on behalf of a peer. Several peers that ask at once share one attempt.
void server_path_task::onReachRequest(const std::string &server, const std::shared_ptr<front_reply> &reply)
{
    const backend_server *known = findServer(server);
    if (known == nullptr || m_paths.cutOff || isCut(m_paths, server)) {
        reply->respond(statusUnavailable, {}, "unknown or out of reach here\n");
        return;
    }
    auto &waiting = m_reachRequests[server];
    waiting.push_back(reply);
    if (waiting.size() > 1) {
        return;
    }
    m_peerProbes[server] =
        probeConnect(m_loop, known->address, probeTimeout, [this, server](connect_result result) {
            const auto handle = m_peerProbes.extract(server); // kept alive until the end of this call
            const bool reached = result == connect_result::Accepted;
            for (const auto &each : std::exchange(m_reachRequests[server], {})) {
                each->respond(reached ? statusReached : statusUnavailable, {},
                    reached ? "reached\n" : "out of reach\n");
            }
            m_reachRequests.erase(server);
            if (reached) {
                onConnected(server);
            }
        });
}

/// Why a peer's request is not sent to its server, or null if it is.
const char *server_path_task::relayRefusal(const relay_request &request, const backend_server *server) const
{
    if (!m_relaying) {
        return "this instance is ending";
    }
    if (server == nullptr || incarnationOf(*server) != request.incarnation) {
        return "the server is unknown here, or has restarted";
    }
    if (m_paths.cutOff || isCut(m_paths, request.server)) {
        return "the server is out of reach here too";
    }
    if (!maySend(m_notices.accessOf(*server), request.granted)) {
        return "the server is closed to this instance";
    }
    return m_relayed.size() >= maxRelayed ? "too many relayed requests" : nullptr;
}

void server_path_task::onRelayRequest(const relay_request &request, const std::shared_ptr<front_reply> &reply)
{
    const backend_server *server = findServer(request.server);
    if (const char *refusal = relayRefusal(request, server)) {
        ++m_counters.refusedForPeers;
        reply->respond(statusUnavailable, {}, refusal);
        return;
    }
    ++m_counters.servedForPeers;
    const auto relayed = std::make_shared<relayed_request>();
    relayed->request = request;
    relayed->reply = reply;
    m_relayed.insert(relayed);
    const std::weak_ptr<relayed_request> weak = relayed;
    const auto finish = [this, weak](bool cancel) {
        const auto locked = weak.lock();
        if (!locked) {
            return;
        }
        if (cancel && locked->poolId) {
            m_pool.cancel(*locked->poolId);
        }
        locked->timer.reset();
        m_relayed.erase(locked);
    };
    reply->onDisconnect([finish] {
        finish(true);
    });
    relayed->timer = m_loop.timer(millis{std::max<std::int64_t>(request.timeLeftMs, 1)}, {}, [weak, finish] {
        if (const auto locked = weak.lock()) {
            const auto timer = std::exchange(locked->timer, nullptr); // kept alive until the end of this call
            locked->write(relay_end{false, "no response in time"});
            locked->reply->end();
            finish(true);
        }
    });
    send_handlers handlers;
    handlers.onHead = [this, weak, incarnation = incarnationOf(*server)](const http_head &head) {
        const auto locked = weak.lock();
        if (!locked) {
            return true;
        }
        const response_meta meta = m_codec.readResponse(head);
        if (!meta.requestId.empty() && meta.requestId != locked->request.id) {
            return false;
        }
        m_notices.onResponse(locked->request.id, locked->request.server, incarnation, meta);
        relay_head part{head.status, head.reason, {}};
        for (const http_field &field : head.fields) {
            part.fields.emplace_back(field.name, field.value);
        }
        locked->write(part);
        return true;
    };
    handlers.onBody = [weak](std::string bytes) {
        if (const auto locked = weak.lock()) {
            locked->write(relay_body{std::move(bytes)});
        }
    };
    handlers.onEnd = [weak, finish](send_result result, const error &why) {
        const auto locked = weak.lock();
        if (!locked) {
            return;
        }
        locked->poolId.reset();
        if (result == send_result::NotSent) {
            locked->reply->respond(relayUnreachedStatus, {}, why.detail);
        } else {
            locked->write(relay_end{result == send_result::Complete, why.detail});
            locked->reply->end();
        }
        finish(false);
    };
    relayed->poolId = m_pool.start(server->address, request.bytes, request.noBody, std::move(handlers));
    // The peer has other ways to try, and little time left.
    relayed->slowTimer = m_loop.timer(slowConnect, {}, [this, weak, finish] {
        const auto locked = weak.lock();
        if (!locked || !locked->poolId || !m_pool.isConnecting(*locked->poolId)) {
            return;
        }
        const auto timer = std::exchange(locked->slowTimer, nullptr); // kept alive until the end of this call
        onConnectFailed(locked->request.server);
        locked->reply->respond(relayUnreachedStatus, {}, "the server did not accept the connection in time");
        finish(true);
    });
}

}
