#pragma once

#include "coordination/crash_task.h"
#include "protocol/relay_messages.h"
#include "scheduling/server_paths.h"
#include "serving/client_request.h"
#include "serving/decision_log.h"
#include "serving/node_settings.h"
#include "serving/server_notice_task.h"
#include "serving/store_task.h"
#include "transport/backend_pool.h"
#include "transport/bus.h"
#include "transport/connect_probe.h"
#include "transport/front_server.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

/// A request to be sent to a server, over whichever path reaches it.
struct path_request
{
    std::string id; ///< of the caller's request
    std::string server;
    bool granted = false; ///< it has a slot or permit for the server
    bool noBody = false; ///< the response has no body (HEAD)
    std::function<bool()> repeatable; ///< whether it may be sent again although a server may have run it
    millis deadlineAt;
    /// Writes the request as it is to be sent now, since a second path is tried some time after the first.
    /// Nothing if it must not be sent any more.
    std::function<std::optional<std::string>()> write;
};

/// Counts since the start of the process, for the metrics.
struct path_counters
{
    std::uint64_t relayedSameDomain = 0; ///< requests sent through a peer of the own failure domain
    std::uint64_t relayedOtherDomain = 0;
    std::uint64_t relayedBytesSameDomain = 0; ///< requests and responses
    std::uint64_t relayedBytesOtherDomain = 0;
    std::uint64_t servedForPeers = 0; ///< requests of peers that this daemon has relayed
    std::uint64_t refusedForPeers = 0;
    std::uint64_t cuts = 0; ///< times that this daemon was cut off from all servers
};

/// Posted to the bus when a peer has reached a server that this daemon can't connect to. Failures there since
/// then are not the server's.
struct server_link_cut
{
    std::string server;
};

/// Sends requests to backend servers: over connections of this daemon, or through a peer while it is cut off
/// from them. Relays requests of peers in turn; those always take this daemon's own connections, so that a
/// request takes one additional hop at most. Slots, permits, units, retries and deadlines stay with the
/// daemon that accepted the request.
class server_path_task
{
public:
    server_path_task(loop &eventLoop, bus &messages, store_task &store, server_notice_task &notices,
        backend_pool &pool, const request_codec &codec, const node_settings &settings, decision_log &log);

    using send_id = std::uint64_t;
    /// Sends a request; the handlers are called as those of backend_pool::start(). NotSent: certain that
    /// neither path delivered any of it.
    send_id start(path_request request, send_handlers handlers);
    /// Cancels a request. No callback follows.
    void cancel(send_id id);
    /// Stops or resumes receiving a response, as backend_pool::setReceiving().
    void setReceiving(send_id id, bool receiving);

    /// Handles a peer's HTTP request, if it is for this task. Returns whether it is.
    bool onPeerRequest(const front_request &request, const std::shared_ptr<front_reply> &reply);
    /// Refuses the requests of peers from now on.
    void stopRelaying();
    /// Whether requests of peers are in progress.
    bool isRelaying() const;

    /// Calls `done` with whether the server's process has ended, as far as this daemon and its peers can
    /// tell: its port is closed to both. Never called from inside.
    void checkProcess(const crash_target &target, std::function<void(connect_result)> done);

    bool isCutOff() const;
    const path_counters &counters() const;

private:
    struct active_send;
    using send_ptr = std::shared_ptr<active_send>;
    using reach_callback = std::function<void(bool reached)>;
    struct reach_check;
    /// Which peers are considered.
    enum class relay_scope : std::uint8_t
    {
        All,
        OtherDomains, ///< than this daemon's failure domain
    };
    struct relayed_request;

    void onConnectAttempt(const peer_address &to, bool connected);
    void onConnected(const std::string &server);
    void onConnectFailed(const std::string &server);
    void startDirect(const send_ptr &send);
    void onDirectEnd(const send_ptr &send, const response_end &how, const error &why);
    void startRelayed(const send_ptr &send);
    void onRelayBytes(const send_ptr &send, const std::string &bytes);
    void onRelayPart(const send_ptr &send, const relay_part &part);
    void onRelayEnd(const send_ptr &send, const response_end &how, const error &why);
    void end(const send_ptr &send, const response_end &how, const error &why);
    void endUnsentLater(const send_ptr &send, const error &why);
    const daemon_record *nextRelay(
        const std::string &id, const std::set<std::string> &tried, relay_scope scope) const;
    const daemon_record *chooseRelayOf(const daemon_map &daemons, bool evenFailed, const std::string &id,
        const std::set<std::string> &tried, relay_scope scope) const;
    void onRelaySlow(const send_ptr &send);
    void releaseRelay(active_send &send);
    void checkReach(const std::string &server, reach_callback done);
    void retryOwnPath(const std::string &server, const std::shared_ptr<reach_check> &check);
    void onReachAnswer(const std::string &server, const std::shared_ptr<reach_check> &check);
    void onReachResult(const std::string &server, const std::shared_ptr<reach_check> &check);
    void onCut(const std::string &server);
    void askPeer(
        const daemon_record &peer, const std::string &server, const std::shared_ptr<reach_check> &check);
    void probeCuts();
    void probeOthers();
    void checkSilence();
    void breakSilentSends();
    void probeServer(const std::string &server);
    void setCutOff(bool cutOff);
    void onReachRequest(const std::string &server, const std::shared_ptr<front_reply> &reply);
    void onRelayRequest(
        const relay_request &request, bool understandsEnds, const std::shared_ptr<front_reply> &reply);
    const char *relayRefusal(const relay_request &request, const backend_server *server) const;
    const backend_server *findServer(const std::string &id) const;
    bool isOtherDomain(const std::string &node) const;
    void countBytes(const active_send &send, std::size_t bytes);

    loop &m_loop;
    bus &m_bus;
    store_task &m_store;
    server_notice_task &m_notices;
    backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    server_paths m_paths;
    path_counters m_counters;
    send_id m_lastId = 0;
    std::map<send_id, send_ptr> m_sends;
    std::map<std::string, int> m_relaysInFlight; ///< of this daemon's requests, by peer
    std::map<std::string, millis> m_relayFailedAt; ///< by peer
    std::map<std::string, std::vector<send_ptr>> m_waitingForReach; ///< by server
    std::map<std::string, std::shared_ptr<reach_check>> m_reachChecks; ///< by server
    std::map<std::string, std::shared_ptr<void>> m_probes; ///< own connection attempts, by server
    std::map<std::string, std::vector<std::shared_ptr<front_reply>>> m_reachRequests; ///< of peers, by server
    std::map<std::string, std::shared_ptr<void>> m_peerProbes; ///< for peers, by server
    std::map<std::uint64_t, std::shared_ptr<void>> m_processChecks;
    std::set<std::shared_ptr<relayed_request>> m_relayed; ///< requests of peers in progress
    std::string m_lastProbed; ///< server
    millis m_lastByteAt; ///< from any server, over this daemon's own connections
    millis m_silenceProbedAt;
    bool m_relaying = true;
    std::shared_ptr<void> m_probeTimer;
    std::shared_ptr<void> m_silenceTimer;
};

}
