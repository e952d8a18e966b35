#include "serving/edge_daemon.h"

#include "coordination/connection_gate.h"
#include "coordination/shutdown_plan.h"
#include "protocol/codec.h"
#include "scheduling/heartbeat_groups.h"
#include "serving/adapter_version_task.h"
#include "serving/crash_store.h"
#include "serving/edge_metrics.h"
#include "serving/fleet_port.h"
#include "serving/fleet_send.h"
#include "serving/front_task.h"
#include "serving/quota_store.h"
#include "serving/server_notice_task.h"
#include "serving/server_owner_task.h"
#include "serving/store_task.h"
#include "serving/stream_origin_task.h"
#include "transport/backend_call.h"
#include "transport/backend_pool.h"
#include "transport/bus.h"
#include "transport/front_server.h"

#include <charconv>
#include <csignal>
#include <map>
#include <type_traits>
#include <variant>

namespace briarhead {

namespace {

/// Determines how outdated a server's backlog may be at the entries: about the time to read one prompt.
constexpr millis heartbeatInterval{150};
/// Every so many heartbeat rounds, daemons that have not shown that they understand optional datagrams are
/// told that this one does. Builds that don't know the notice count it as unreadable.
constexpr int announceIntervalRounds = 20;
/// Timeout for fetching a store update from another daemon. The requester has tried another daemon by then.
constexpr millis updateFetchTimeout{2'000};
/// Packed store updates up to this size are sent in the datagram itself; larger ones have to be fetched.
constexpr std::size_t maxInlineUpdateBytes = 16'000;
/// The path from which other daemons fetch store updates, on the port for other daemons.
const std::string updatePath = "/news?after=";
/// A relayed request is larger than the caller's, by its head and by what this system adds.
constexpr std::uint64_t maxRelayOverheadBytes = 256 * 1024;
/// A daemon that has just started doesn't know the state of any model server before the first heartbeats. If
/// none arrive, it becomes ready after this time, for plain services.
constexpr millis readyWithoutOwnersAfter{3'000};
constexpr millis shutdownCheckInterval{50};
/// Idle keep-alive connections are closed after this time once shutdown has begun.
constexpr millis idleTimeoutAtShutdown{1'500};
constexpr millis settingsCheckInterval{2'000};
constexpr millis lagSampleInterval{500};
/// Limit on a compressed update of the whole store, from a peer.
constexpr std::size_t maxUpdateBytes = 32 * 1024 * 1024;
constexpr int exitInterrupted = 1;

/// Whether the datagram is of a type that builds without load_messages.h don't know.
bool isOptional(const fleet_datagram &datagram)
{
    return std::holds_alternative<extended_heartbeat>(datagram.body)
        || std::holds_alternative<features_notice>(datagram.body)
        || std::holds_alternative<extended_slot_request>(datagram.body)
        || std::holds_alternative<extended_quota_request>(datagram.body)
        || std::holds_alternative<server_rejection>(datagram.body)
        || std::holds_alternative<stream_origins_report>(datagram.body)
        || std::holds_alternative<stream_origin_query>(datagram.body)
        || std::holds_alternative<stream_origin_answer>(datagram.body)
        || std::holds_alternative<ranked_crash_report>(datagram.body);
}

class daemon_impl final : public edge_daemon
{
public:
    daemon_impl(loop &eventLoop, const node_settings &settings, const edge_dependencies &dependencies,
        decision_log &log)
        : m_loop(eventLoop)
        , m_settings(settings)
        , m_dependencies(dependencies)
        , m_log(log)
        , m_bus(eventLoop)
        , m_pool(eventLoop)
        , m_store(eventLoop, m_bus, *dependencies.store, dependencies.records, settings,
              static_cast<std::uint64_t>(wallNow().count), log)
        , m_crashes(eventLoop, m_bus,
              crashLinks(m_store, m_port, m_settings, log,
                  [this](const crash_target &target, std::function<void(connect_result)> done) {
                      m_paths.checkProcess(target, std::move(done));
                  }))
        , m_quota(std::make_unique<quota_task>(eventLoop,
              quotaLinks(eventLoop, m_store, m_port, m_settings, log, m_quota,
                  [this](const std::string &node) {
                      return m_front.peerUnderstandsFeatures(node);
                  }),
              defaultQuotaPlan, settings.quota))
        , m_notices(eventLoop, m_bus, m_store, settings, log)
        , m_paths(eventLoop, m_bus, m_store, m_notices, m_pool, m_dependencies.requests, settings, log)
        , m_adapterVersions(eventLoop, m_bus, m_store, settings)
        , m_origins(eventLoop, m_bus, m_store, settings, log)
        , m_front(eventLoop, m_bus, m_store, m_crashes, *m_quota, m_notices, m_paths, m_origins, m_pool,
              m_dependencies.requests, settings, log)
        , m_serverOwner(eventLoop, m_bus, m_store, m_notices, m_pool, m_dependencies.requests, settings, log,
              [this](const std::string &entry, const slot_response &response) {
                  sendSlotResponse(entry, response);
              })
    {
        m_front.setServerOwner(m_serverOwner);
        m_loop.onException([this](const char *what) {
            ++m_handlersFailed;
            m_log.important("handler.failed").add("why", what);
        });
    }
    ~daemon_impl() override
    {
        m_loop.onException({});
    }
    daemon_impl(const daemon_impl &) = delete;
    daemon_impl &operator=(const daemon_impl &) = delete;

    bool open(error &why);
    int run() override;

private:
    void sendSlotResponse(const std::string &entry, const slot_response &response);
    void onDatagram(const fleet_datagram &datagram);
    void onQuotaRequest(const fleet_datagram &datagram, const auto &request);
    void sendStoreUpdate(const std::vector<std::string> &nodes, const store_update &update);
    daemon_record self() const;
    fleet_shape fleetShape() const;
    void sendHeartbeats();
    void onFleetHeartbeat(
        const fleet_datagram &datagram, const fleet_heartbeat &heartbeat, const load_heartbeat &loads);
    void relayHeartbeat(
        const fleet_datagram &datagram, fleet_heartbeat heartbeat, const load_heartbeat &loads);
    void sendHeartbeat(const daemon_record &to, fleet_datagram sender, const fleet_heartbeat &heartbeat,
        const load_heartbeat &loads);
    void announceFeatures(const std::vector<const daemon_record *> &recipients);
    void fetchStoreUpdate(
        const std::string &node, std::int64_t after, std::function<void(std::optional<store_update>)> done);
    void onUpdateRequest(const front_request &request, front_reply &reply) const;
    bool isReady() const;
    void onReadinessCheck(front_reply &reply) const;
    std::string metricsPage() const;
    void measureLag();
    void updateIsolation();
    void beginShutdown();
    void checkShutdown();
    bool admitCaller();
    void reloadSettings(const char *cause);

    loop &m_loop;
    node_settings m_settings;
    edge_dependencies m_dependencies;
    decision_log &m_log;
    bus m_bus;
    backend_pool m_pool;
    store_task m_store;
    crash_task m_crashes;
    std::unique_ptr<quota_task> m_quota; ///< its own links refer to it through this pointer
    server_notice_task m_notices;
    server_path_task m_paths;
    adapter_version_task m_adapterVersions;
    stream_origin_task m_origins;
    front_task m_front;
    server_owner_task m_serverOwner;
    std::unique_ptr<fleet_port> m_port;
    std::unique_ptr<front_server> m_peers; ///< serves store updates to other daemons
    std::unique_ptr<front_server> m_callers;
    connection_admission m_admission; ///< of callers' connections
    std::unique_ptr<front_server> m_readiness;
    std::unique_ptr<front_server> m_metrics;
    std::vector<std::shared_ptr<void>> m_handles;
    int m_heartbeatRound = 0;
    latency_histogram m_loopLag;
    std::uint64_t m_handlersFailed = 0; ///< callbacks that ended with an exception
    millis m_lagSampledAt = bootNow();
    std::uint64_t m_undecodableReported = 0; ///< undecodable datagrams that have been logged
    millis m_started = bootNow();
    millis m_shutdownBeganAt;
    millis m_lastPeerDatagramAt; ///< when the latest datagram of another daemon arrived; 0 before the first
    bool m_isolated = false; ///< receives no datagrams from the other daemons
    bool m_shuttingDown = false;
    bool m_handedOver = false; ///< the servers it owned have been released
    bool m_stoppedListening = false;
    bool m_failedOpen = false; ///< the requests that were open at the end have had their final response
    bool m_cutRequests = false;
    shutdown_plan m_shutdownPlan;
    int m_exitCode = 0;
};

bool daemon_impl::open(error &why)
{
    m_port = fleet_port::open(
        m_loop, m_settings.peers,
        [this](const fleet_datagram &datagram, const peer_address &) {
            onDatagram(datagram);
        },
        why);
    if (!m_port) {
        return false;
    }
    m_front.setPort(*m_port);
    m_notices.setPort(*m_port);
    m_origins.setPort(*m_port);
    subscribeToStore(m_bus, m_store, m_crashes);
    subscribeToStore(m_bus, m_store, *m_quota);
    m_peers = front_server::listen(
        m_loop, m_settings.peers.ip, m_settings.peers.port,
        [this](const front_request &request, const std::shared_ptr<front_reply> &reply) {
            if (!m_paths.onPeerRequest(request, reply)) {
                onUpdateRequest(request, *reply);
            }
        },
        why);
    if (!m_peers) {
        return false;
    }
    m_store.setPeerCalls({[this](const std::vector<std::string> &nodes, const store_update &update) {
                              sendStoreUpdate(nodes, update);
                          },
        [this](const std::string &node, std::int64_t after,
            std::function<void(std::optional<store_update>)> done) {
            fetchStoreUpdate(node, after, std::move(done));
        }});
    m_callers = front_server::listen(
        m_loop, m_settings.front.ip, m_settings.front.port,
        [this](front_request request, std::shared_ptr<front_reply> reply) {
            m_front.onRequest(std::move(request), std::move(reply));
        },
        why);
    if (m_callers) {
        m_callers->setMaxConnections(maxCallerConnections(m_settings.maxDescriptors));
        m_callers->setAdmission([this] {
            return admitCaller();
        });
    }
    m_readiness = m_callers ? front_server::listen(
                      m_loop, m_settings.ready.ip, m_settings.ready.port,
                      [this](const front_request &, const std::shared_ptr<front_reply> &reply) {
                          onReadinessCheck(*reply);
                      },
                      why)
                            : nullptr;
    m_metrics = m_readiness ? front_server::listen(
                    m_loop, m_settings.metrics.ip, m_settings.metrics.port,
                    [this](const front_request &, const std::shared_ptr<front_reply> &reply) {
                        reply->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsPage());
                    },
                    why)
                            : nullptr;
    if (!m_metrics) {
        return false;
    }
    m_bus.on<view_changed>([this](const view_changed &change) {
        if (change.config) {
            m_callers->setLimits(m_store.view().config->limits);
            front_limits relayLimits = m_store.view().config->limits;
            relayLimits.maxBodyBytes += maxRelayOverheadBytes;
            m_peers->setLimits(relayLimits);
        }
    });
    const millis firstHeartbeat = heartbeatInterval + heartbeatPhase(m_settings.node, heartbeatInterval);
    m_handles.push_back(m_loop.timer(firstHeartbeat, heartbeatInterval, [this] {
        sendHeartbeats();
    }));
    m_handles.push_back(m_loop.timer(lagSampleInterval, lagSampleInterval, [this] {
        measureLag();
    }));
    m_handles.push_back(m_loop.timer(settingsCheckInterval, settingsCheckInterval, [this] {
        reloadSettings("file");
    }));
    m_handles.push_back(m_loop.onSignal(SIGTERM, [this] {
        beginShutdown();
    }));
    m_handles.push_back(m_loop.onSignal(SIGINT, [this] {
        beginShutdown();
    }));
    m_handles.push_back(m_loop.onSignal(SIGHUP, [this] {
        reloadSettings("signal");
    }));
    return true;
}

int daemon_impl::run()
{
    m_log.important("process.start")
        .add("failure_domain", m_settings.failureDomain)
        .add("front", m_settings.front.ip + ':' + std::to_string(m_settings.front.port))
        .add("store", m_settings.store.ip + ':' + std::to_string(m_settings.store.port))
        .add("incarnation", m_store.incarnation())
        .add("repeat_ratio", m_settings.retries.ratio)
        .add("repeat_slack", m_settings.retries.slack);
    m_loop.run();
    m_log.important("process.stop").add("exit", m_exitCode);
    return m_exitCode;
}

void daemon_impl::sendSlotResponse(const std::string &entry, const slot_response &response)
{
    deliverToNode(
        m_loop, *m_port, m_store, m_settings.node, entry, response, [this](const slot_response &own) {
            m_front.onSlotResponse(own);
        });
}

void daemon_impl::onDatagram(const fleet_datagram &datagram)
{
    m_lastPeerDatagramAt = bootNow();
    if (isOptional(datagram)) {
        m_front.onPeerFeatures(datagram.from, datagram.incarnation);
    }
    std::visit(
        [&](const auto &body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, slot_response>) {
                m_front.onSlotResponse(body);
            } else if constexpr (std::is_same_v<body_type, compressed_update>) {
                error why;
                if (const auto update = decodeStoreUpdate(body.bytes, why)) {
                    m_store.onStoreUpdate(datagram.from, *update);
                } else {
                    m_log.important("news.unreadable").add("peer", datagram.from).add("why", message(why));
                }
            } else if constexpr (std::is_same_v<body_type, store_update>) {
                m_store.onStoreUpdate(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, crash_report>) {
                m_crashes.onReport({body, contentRank});
            } else if constexpr (std::is_same_v<body_type, ranked_crash_report>) {
                m_crashes.onReport(body);
            } else if constexpr (std::is_same_v<body_type,
                                     quota_request> || std::is_same_v<body_type, extended_quota_request>) {
                onQuotaRequest(datagram, body);
            } else if constexpr (std::is_same_v<body_type,
                                     quota_response> || std::is_same_v<body_type, quota_release>) {
                m_quota->onMessage(body);
            } else if constexpr (std::is_same_v<body_type, server_notice>) {
                m_notices.onNotice(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, stream_origins_report>) {
                m_origins.onReport(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, stream_origin_query>) {
                m_origins.onQuery(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, stream_origin_answer>) {
                m_origins.onAnswer(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, fleet_heartbeat>) {
                onFleetHeartbeat(datagram, body, {});
            } else if constexpr (std::is_same_v<body_type, extended_heartbeat>) {
                onFleetHeartbeat(datagram, body.heartbeat, body.loads);
            } else if constexpr (std::is_same_v<body_type, features_notice>) {
                if (body.wantsReply) {
                    sendToNode(*m_port, m_store, m_settings.node, datagram.from,
                        features_notice{protocolLevel, false});
                }
            } else { // an entry's slot requests, and reports about granted slots
                m_serverOwner.handle(datagram.from, body);
            }
        },
        datagram.body);
}

void daemon_impl::onQuotaRequest(const fleet_datagram &datagram, const auto &request)
{
    const daemon_record *record = findPeer(m_store.view(), datagram.from);
    const bool recorded = record != nullptr && record->incarnation == datagram.incarnation;
    m_quota->onRequest({datagram.from, datagram.incarnation, recorded}, request);
}

daemon_record daemon_impl::self() const
{
    return {m_settings.node, m_settings.peers.ip, m_settings.peers.port, m_settings.failureDomain,
        m_store.incarnation()};
}

fleet_shape daemon_impl::fleetShape() const
{
    const store_view &view = m_store.view();
    return {&view.daemons, view.servers.size(), &view.expiredDaemons};
}

/// Handles another daemon's heartbeat, with the loads that came with it, if any.
void daemon_impl::onFleetHeartbeat(
    const fleet_datagram &datagram, const fleet_heartbeat &heartbeat, const load_heartbeat &loads)
{
    m_front.onHeartbeat(datagram.from, heartbeat);
    m_serverOwner.onHeartbeat(datagram.from, heartbeat);
    m_front.onLoadHeartbeat(datagram.from, loads); // after the heartbeat, which makes its servers known
    m_serverOwner.onLoadHeartbeat(datagram.from, loads);
    if (heartbeat.relay) {
        relayHeartbeat(datagram, heartbeat, loads);
    }
}

/// Relays a heartbeat from another failure domain to the daemons of this domain that need it.
void daemon_impl::relayHeartbeat(
    const fleet_datagram &datagram, fleet_heartbeat heartbeat, const load_heartbeat &loads)
{
    heartbeat.relay = false;
    for (const daemon_record *record : relayTargets(fleetShape(), self(), heartbeat)) {
        sendHeartbeat(*record, {datagram.from, datagram.incarnation, {}}, heartbeat, loads);
    }
}

/// Sends a heartbeat to one daemon, with the loads if there are any and the daemon understands them. `sender`
/// has the daemon that the heartbeat is from.
void daemon_impl::sendHeartbeat(const daemon_record &to, fleet_datagram sender,
    const fleet_heartbeat &heartbeat, const load_heartbeat &loads)
{
    const bool hasLoads = !loads.servers.empty() || !loads.plainServers.empty();
    if (hasLoads && m_front.peerUnderstandsFeatures(to.node)) {
        sender.body = extended_heartbeat{heartbeat, loads};
    } else {
        sender.body = heartbeat;
    }
    m_port->send({to.ip, to.port}, sender);
}

/// Tells daemons that have not shown that they understand optional datagrams that this one does.
void daemon_impl::announceFeatures(const std::vector<const daemon_record *> &recipients)
{
    for (const daemon_record *record : recipients) {
        if (!m_front.peerUnderstandsFeatures(record->node)) {
            m_port->send({record->ip, record->port},
                {m_settings.node, m_store.incarnation(), features_notice{protocolLevel, true}});
        }
    }
}

/// Detects that this daemon is cut off from all others while callers still reach it. Model requests would
/// then wait for slots until they time out. While isolated, the daemon reports to the load balancer that it
/// is not ready, and refuses model requests with a short Retry-After, so that callers go to another instance.
/// If the other daemons have died instead, the store removes their records when their leases expire, and no
/// heartbeats are expected any more.
void daemon_impl::updateIsolation()
{
    const bool noPeerDatagrams =
        m_lastPeerDatagramAt.count != 0 && bootNow() - m_lastPeerDatagramAt >= isolatedAfter;
    const bool isolated = noPeerDatagrams && m_serverOwner.expectsHeartbeats();
    if (isolated == m_isolated) {
        return;
    }
    m_isolated = isolated;
    m_log.important(isolated ? "peers.lost" : "peers.heard")
        .add("silent_ms", bootNow() - m_lastPeerDatagramAt);
    m_front.setIsolated(isolated);
    m_serverOwner.setIsolated(isolated);
    m_callers->setCloseAfterResponse(isolated || m_shuttingDown);
}

void daemon_impl::sendHeartbeats()
{
    updateIsolation();
    const fleet_heartbeat heartbeat = m_serverOwner.heartbeat();
    const load_heartbeat loads{m_serverOwner.serverLoads(), m_front.plainLoads()};
    m_front.onHeartbeat(m_settings.node, heartbeat);
    m_front.onLoadHeartbeat(m_settings.node, loads);
    const bool announce = m_heartbeatRound % announceIntervalRounds == 0
        && (!loads.servers.empty() || !loads.plainServers.empty());
    ++m_heartbeatRound;
    const fleet_datagram sender{m_settings.node, m_store.incarnation(), {}};
    for (const heartbeat_delivery &delivery :
        planHeartbeats(fleetShape(), self(), heartbeat, m_heartbeatRound)) {
        const load_heartbeat part = loadsFor(delivery.heartbeat, loads);
        for (const daemon_record *record : delivery.recipients) {
            sendHeartbeat(*record, sender, delivery.heartbeat, part);
        }
        if (announce) {
            announceFeatures(delivery.recipients);
        }
    }
}

void daemon_impl::sendStoreUpdate(const std::vector<std::string> &nodes, const store_update &update)
{
    fleet_datagram datagram{m_settings.node, m_store.incarnation(), update};
    if (!update.items.empty()) {
        datagram.body = compressed_update{encode(update)};
        if (std::get<compressed_update>(datagram.body).bytes.size() > maxInlineUpdateBytes) {
            datagram.body = store_update{update.from, update.to, true, false, {}};
        }
    }
    for (const std::string &node : nodes) {
        if (const daemon_record *peer = findPeer(m_store.view(), node)) {
            m_port->send({peer->ip, peer->port}, datagram);
        }
    }
}

void daemon_impl::onUpdateRequest(const front_request &request, front_reply &reply) const
{
    std::int64_t after = 0;
    const std::string &target = request.head.target;
    const bool isUpdatePath = target.starts_with(updatePath);
    const char *first = target.data() + updatePath.size();
    if (!isUpdatePath || std::from_chars(first, target.data() + target.size(), after).ec != std::errc()) {
        reply.respond(404, {}, "only the store's news are here\n");
        return;
    }
    reply.respond(200, {}, encode(m_store.updatesAfter(after)));
}

void daemon_impl::fetchStoreUpdate(
    const std::string &node, std::int64_t after, std::function<void(std::optional<store_update>)> done)
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    if (peer == nullptr) {
        done(std::nullopt);
        return;
    }
    const std::string call =
        "GET " + updatePath + std::to_string(after) + " HTTP/1.1\r\nHost: " + node + "\r\n\r\n";
    callServer(
        m_loop, m_pool, {peer->ip, peer->port}, call, updateFetchTimeout,
        [done = std::move(done)](const call_result &result) {
            error why;
            done(result.how == send_result::Complete ? decodeStoreUpdate(result.body, why) : std::nullopt);
        },
        maxUpdateBytes);
}

bool daemon_impl::isReady() const
{
    const store_view &view = m_store.view();
    const bool ownersKnown = m_front.knowsAnyOwner() || bootNow() - m_started > readyWithoutOwnersAfter;
    return !m_shuttingDown && !m_isolated && view.config && !view.servers.empty() && ownersKnown;
}

void daemon_impl::onReadinessCheck(front_reply &reply) const
{
    const bool ready = isReady();
    reply.respond(ready ? 200 : 503, {},
        ready                ? "ready\n"
            : m_shuttingDown ? "ending\n"
            : m_isolated     ? "cut off from the other daemons\n"
                             : "no configuration yet\n");
}

std::string daemon_impl::metricsPage() const
{
    const store_view &view = m_store.view();
    const std::string text = metricsText({&m_front.counters(), &m_crashes.counters(),
        &m_serverOwner.counters(), &m_pool.counters(), &m_port->counters(), &m_loopLag, m_front.active(),
        m_callers->connections(), m_callers->closedUnread(), m_log.dropped(),
        view.config ? view.config->version : 0, m_store.configConfirmedAt(), &m_quota->counters(),
        &m_paths.counters(), m_paths.isCutOff(), &m_origins.counters(), m_handlersFailed});
    return m_dependencies.storeMetrics ? text + m_dependencies.storeMetrics() : text;
}

/// Records how late the event loop's timers fire, which shows that a handler has blocked the loop.
void daemon_impl::measureLag()
{
    const millis now = bootNow();
    record(m_loopLag, static_cast<double>((now - m_lagSampledAt - lagSampleInterval).count));
    m_lagSampledAt = now;
    if (m_port->counters().undecodable != m_undecodableReported) {
        m_undecodableReported = m_port->counters().undecodable;
        m_log.important("datagrams.unreadable")
            .add("count", m_undecodableReported)
            .add("why", message(m_port->lastDecodeError()));
    }
}

bool daemon_impl::admitCaller()
{
    const gate_decision decision = decideOnConnection(m_admission, m_loop);
    if (decision.limitChanged) {
        m_log.important(m_admission.perSecond > 0 ? "connections.limited" : "connections.unlimited")
            .add("per_second", m_admission.perSecond)
            .add("busy_share", decision.busyShare)
            .add("open", static_cast<std::int64_t>(m_callers->connections()))
            .add("closed_unread", static_cast<std::int64_t>(m_callers->closedUnread()));
    }
    return decision.admitted;
}

void daemon_impl::beginShutdown()
{
    if (m_shuttingDown) {
        return;
    }
    m_shuttingDown = true;
    m_shutdownBeganAt = bootNow();
    // A later change of the settings doesn't change when the platform kills this process.
    m_shutdownPlan = planShutdown(m_settings.shutdown);
    m_front.beginShutdown(m_shutdownPlan);
    m_paths.stopRelaying(); // peers have others to ask, and nothing excuses a relayed request that is cut
    m_log.important("process.ending").add("active", static_cast<std::int64_t>(m_front.active()));
    m_callers->closeAfterResponses(idleTimeoutAtShutdown);
    m_handles.push_back(m_loop.timer(shutdownCheckInterval, shutdownCheckInterval, [this] {
        checkShutdown();
    }));
}

void daemon_impl::checkShutdown()
{
    const millis elapsed = bootNow() - m_shutdownBeganAt;
    const bool idle = m_front.active() == 0 && m_callers->activeRequests() == 0
        && m_callers->connections() == 0 && !m_paths.isRelaying();
    if (elapsed > m_shutdownPlan.releaseServers && !m_handedOver) {
        m_handedOver = true;
        m_serverOwner.stop();
        m_quota->stop();
        m_store.releaseRecords();
    }
    if (elapsed > m_shutdownPlan.stopListening && !m_stoppedListening) {
        m_stoppedListening = true;
        m_callers->stopListening();
    }
    m_front.refuseUnsendable();
    if (elapsed > m_shutdownPlan.failOpen && !m_failedOpen) {
        m_failedOpen = true;
        m_cutRequests = m_front.active() != 0 || m_paths.isRelaying();
        m_front.failOpen();
    }
    const bool timeUp = elapsed > m_shutdownPlan.exit;
    if ((idle && elapsed > m_shutdownPlan.earliestExit) || timeUp) {
        m_exitCode = idle && !m_cutRequests ? 0 : exitInterrupted;
        m_loop.stop();
    }
}

void daemon_impl::reloadSettings(const char *cause)
{
    error why;
    const auto reloaded = m_dependencies.reloadSettings(why);
    if (!reloaded) {
        m_log.important("settings.unusable").add("cause", cause).add("why", message(why));
        return;
    }
    const bool changed = reloaded->retries.ratio != m_settings.retries.ratio
        || reloaded->retries.slack != m_settings.retries.slack || reloaded->shutdown != m_settings.shutdown;
    if (changed || std::string_view(cause) == "signal") {
        m_settings.retries = reloaded->retries;
        m_settings.shutdown = reloaded->shutdown;
        m_front.setRetryLimits(reloaded->retries);
        m_log.important("settings.reread").add("cause", cause).add("changed", changed ? 1 : 0);
    }
}

}

std::unique_ptr<edge_daemon> edge_daemon::start(loop &eventLoop, const node_settings &settings,
    const edge_dependencies &dependencies, decision_log &log, error &why)
{
    auto daemon = std::make_unique<daemon_impl>(eventLoop, settings, dependencies, log);
    return daemon->open(why) ? std::move(daemon) : nullptr;
}

}
