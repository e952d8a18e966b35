#include "serving/server_path_send.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <utility>

// Finds out which path reaches a server: connection attempts, questions to peers, and probes of cut links.
namespace briarhead {

namespace {

/// Timeout of the attempt that confirms a cut.
constexpr millis confirmTimeout{150};
/// Timeout of the question to a peer, which probes the server itself.
constexpr millis reachTimeout{500};
/// Peers asked about a server: one of the own failure domain and the others from elsewhere, since a whole
/// domain may be cut off.
constexpr std::size_t peersAsked = 3;
/// If no server has sent a byte for this long although requests are in progress, the links are probed.
constexpr millis maxSilence{500};
/// The same for a single request to a server whose link is cut.
constexpr millis maxSilenceAtCut{400};
constexpr millis silenceProbeInterval{1'000};
constexpr std::size_t silenceProbes = 2;
/// Servers probed when the link to another one has turned out to be cut.
constexpr std::size_t othersProbed = 3;

}

/// Peers are being asked whether they reach a server.
struct server_path_task::reach_check
{
    std::size_t open = 0; ///< answers of peers still expected
    bool reached = false; ///< by a peer
    std::shared_ptr<void> ownAttempt; ///< while this daemon tries once more
    std::vector<reach_callback> callbacks;
};

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
    if (findServer(server) == nullptr) {
        return; // removed during the attempt: nothing would drop its path any more
    }
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
        const relay_scope scope = i == 0 ? relay_scope::All : relay_scope::OtherDomains;
        const daemon_record *peer = nextRelay(server, asked, scope);
        peer = peer == nullptr ? nextRelay(server, asked, relay_scope::All) : peer;
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
            end(send, unsentEnd(),
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
        const bool waits = send->request.repeatable() && send->poolId && send->relay.empty()
            && bootNow() - send->lastByteAt >= maxSilenceAtCut;
        if (waits && isCut(m_paths, send->request.server)) {
            silent.push_back(send);
        }
    }
    for (const send_ptr &send : silent) {
        m_pool.abort(*send->poolId);
        send->poolId.reset();
        end(send, brokenEnd(connection_end::Timeout),
            {error_kind::Timeout, send->request.server, "the link to it is cut"});
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
            if (findServer(target.server) != nullptr) {
                recordConnectFailed(m_paths, target.server, bootNow());
            }
            checkReach(target.server, [done](bool reached) {
                done(reached ? connect_result::Accepted : connect_result::Refused);
            });
        });
}

}
