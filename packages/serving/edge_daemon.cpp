#include "serving/edge_daemon.h"

#include "protocol/codec.h"
#include "serving/beat_cells.h"
#include "serving/crash_store.h"
#include "serving/edge_metrics.h"
#include "serving/fleet_port.h"
#include "serving/fleet_send.h"
#include "serving/front_task.h"
#include "serving/quota_store.h"
#include "serving/server_owner_task.h"
#include "serving/store_task.h"
#include "serving/word_task.h"
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

/// How old a server's backlog may be at the entries: about one prompt's reading time.
constexpr millis beatEvery{150};
/// A fetch that takes longer is given up; whoever asked has tried another way by then.
constexpr millis newsTimeout{2'000};
/// Packed news up to this size go in the datagram itself; more has to be fetched.
constexpr std::size_t largestNews = 16'000;
/// The path at which a daemon gives others the store's news, on its port for other daemons.
const std::string newsPath = "/news?after=";
/// The balancer takes a daemon out after two misses, a second apart; until then new connections come.
constexpr millis stillTaking{2'500};
/// Until then it goes on giving orders, since the next daemon has to wait a while after the last one that was
/// given outside a shutdown. Giving up at once left each server without orders for three seconds a restart.
constexpr millis handOver{2'300};
/// From then on neither connections nor requests are taken. While most of a failure domain's daemons end, the
/// balancer goes on sending to all of them, and a request taken late would be cut off by the end.
constexpr millis lastTaking{2'800};
/// A daemon that has just started knows no server's state until the first beats; without any it takes callers
/// all the same, for plain services and for what the list of servers says.
constexpr millis readyWithoutOrderers{3'000};
constexpr millis endCheckEvery{100};
/// Kept connections without a request are closed after this long once the end has begun.
constexpr millis idleAtEnd{1'500};
/// Before the platform kills the process.
constexpr millis endMargin{500};
constexpr millis settingsCheckEvery{2'000};
constexpr millis lagEvery{500};
constexpr int exitCut = 1;

class daemon_impl final : public edge_daemon
{
public:
    daemon_impl(loop &eventLoop, const node_settings &settings, const edge_parts &parts, decision_log &log)
        : m_loop(eventLoop)
        , m_settings(settings)
        , m_parts(parts)
        , m_log(log)
        , m_bus(eventLoop)
        , m_pool(eventLoop)
        , m_store(eventLoop, m_bus, *parts.store, parts.records, settings,
              static_cast<std::uint64_t>(wallNow().count), log)
        , m_crashes(eventLoop, m_bus, crashLinks(m_store, m_port, m_settings, log))
        , m_quota(std::make_unique<quota_task>(eventLoop,
              quotaLinks(eventLoop, m_store, m_port, m_settings, log, m_quota), usualQuotaPlan,
              settings.quota))
        , m_words(eventLoop, m_bus, m_store, settings, log)
        , m_front(eventLoop, m_bus, m_store, m_crashes, *m_quota, m_words, m_pool, m_parts.requests, settings,
              log)
        , m_orderer(eventLoop, m_bus, m_store, m_words, m_pool, m_parts.requests, settings, log,
              [this](const std::string &entry, const place_answer &answer) {
                  answerEntry(entry, answer);
              })
    {
        m_front.setOrderer(m_orderer);
    }

    bool open(error &why);
    int run() override;

private:
    void answerEntry(const std::string &entry, const place_answer &answer);
    void onDatagram(const fleet_datagram &datagram);
    void sendNews(const std::vector<std::string> &nodes, const store_news &news);
    daemon_record self() const;
    fleet_shape shape() const;
    void beat();
    void passOn(const fleet_datagram &datagram, const fleet_beat &beat);
    void fetchNews(
        const std::string &node, std::int64_t after, std::function<void(std::optional<store_news>)> done);
    void answerNews(const front_request &request, front_reply &reply) const;
    bool isReady() const;
    void onReadyQuestion(front_reply &reply) const;
    std::string figures() const;
    void measureLag();
    void lookWhetherAlone();
    void beginEnd();
    void checkEnd();
    void rereadSettings(const char *cause);

    loop &m_loop;
    node_settings m_settings;
    edge_parts m_parts;
    decision_log &m_log;
    bus m_bus;
    backend_pool m_pool;
    store_task m_store;
    crash_task m_crashes;
    std::unique_ptr<quota_task> m_quota; ///< its links to itself go by this pointer
    word_task m_words;
    front_task m_front;
    server_owner_task m_orderer;
    std::unique_ptr<fleet_port> m_port;
    std::unique_ptr<front_server> m_peers; ///< other daemons that fetch the store's news
    std::unique_ptr<front_server> m_callers;
    std::unique_ptr<front_server> m_readiness;
    std::unique_ptr<front_server> m_metrics;
    std::vector<std::shared_ptr<void>> m_handles;
    int m_beats = 0;
    latency_histogram m_loopLag;
    millis m_lagFrom = bootNow();
    std::uint64_t m_badTold = 0; ///< datagrams that couldn't be read
    millis m_started = bootNow();
    millis m_endBegan;
    millis m_heardPeerAt; ///< when another daemon's datagram came last
    bool m_alone = false; ///< cut off from the other daemons
    bool m_ending = false;
    bool m_handedOver = false; ///< others give the orders of its servers
    bool m_closed = false; ///< takes nothing any more
    int m_exit = 0;
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
    m_words.setPort(*m_port);
    subscribeToStore(m_bus, m_store, m_crashes);
    subscribeToStore(m_bus, m_store, *m_quota);
    m_peers = front_server::listen(
        m_loop, m_settings.peers.ip, m_settings.peers.port,
        [this](const front_request &request, const std::shared_ptr<front_reply> &reply) {
            answerNews(request, *reply);
        },
        why);
    if (!m_peers) {
        return false;
    }
    m_store.setPeerCalls({[this](const std::vector<std::string> &nodes, const store_news &news) {
                              sendNews(nodes, news);
                          },
        [this](const std::string &node, std::int64_t after,
            std::function<void(std::optional<store_news>)> done) {
            fetchNews(node, after, std::move(done));
        }});
    m_callers = front_server::listen(
        m_loop, m_settings.front.ip, m_settings.front.port,
        [this](front_request request, std::shared_ptr<front_reply> reply) {
            m_front.onRequest(std::move(request), std::move(reply));
        },
        why);
    m_readiness = m_callers ? front_server::listen(
                      m_loop, m_settings.ready.ip, m_settings.ready.port,
                      [this](const front_request &, const std::shared_ptr<front_reply> &reply) {
                          onReadyQuestion(*reply);
                      },
                      why)
                            : nullptr;
    m_metrics = m_readiness ? front_server::listen(
                    m_loop, m_settings.metrics.ip, m_settings.metrics.port,
                    [this](const front_request &, const std::shared_ptr<front_reply> &reply) {
                        reply->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, figures());
                    },
                    why)
                            : nullptr;
    if (!m_metrics) {
        return false;
    }
    m_bus.on<view_changed>([this](const view_changed &change) {
        if (change.config) {
            m_callers->setLimits(m_store.view().config->limits);
        }
    });
    m_handles.push_back(m_loop.timer(beatEvery, beatEvery, [this] {
        beat();
    }));
    m_handles.push_back(m_loop.timer(lagEvery, lagEvery, [this] {
        measureLag();
    }));
    m_handles.push_back(m_loop.timer(settingsCheckEvery, settingsCheckEvery, [this] {
        rereadSettings("file");
    }));
    m_handles.push_back(m_loop.onSignal(SIGTERM, [this] {
        beginEnd();
    }));
    m_handles.push_back(m_loop.onSignal(SIGINT, [this] {
        beginEnd();
    }));
    m_handles.push_back(m_loop.onSignal(SIGHUP, [this] {
        rereadSettings("signal");
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
        .add("repeat_ratio", m_settings.repeats.ratio)
        .add("repeat_slack", m_settings.repeats.slack);
    m_loop.run();
    m_log.important("process.stop").add("exit", m_exit);
    return m_exit;
}

void daemon_impl::answerEntry(const std::string &entry, const place_answer &answer)
{
    deliverToNode(m_loop, *m_port, m_store, m_settings.node, entry, answer, [this](const place_answer &own) {
        m_front.onAnswer(own);
    });
}

void daemon_impl::onDatagram(const fleet_datagram &datagram)
{
    m_heardPeerAt = bootNow();
    std::visit(
        [&](const auto &body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, place_answer>) {
                m_front.onAnswer(body);
            } else if constexpr (std::is_same_v<body_type, packed_news>) {
                error why;
                if (const auto news = decodeNews(body.bytes, why)) {
                    m_store.onStoreUpdate(datagram.from, *news);
                } else {
                    m_log.important("news.unreadable").add("peer", datagram.from).add("why", message(why));
                }
            } else if constexpr (std::is_same_v<body_type, store_news>) {
                m_store.onStoreUpdate(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, crash_news>) {
                m_crashes.hear(body);
            } else if constexpr (std::is_same_v<body_type, quota_ask>) {
                const daemon_record *record = findPeer(m_store.view(), datagram.from);
                const bool recorded = record != nullptr && record->incarnation == datagram.incarnation;
                m_quota->hear({datagram.from, datagram.incarnation, recorded}, body);
            } else if constexpr (std::is_same_v<body_type,
                                     quota_answer> || std::is_same_v<body_type, quota_release>) {
                m_quota->hear(body);
            } else if constexpr (std::is_same_v<body_type, word_news>) {
                m_words.hear(datagram.from, body);
            } else if constexpr (std::is_same_v<body_type, fleet_beat>) {
                m_front.onBeat(datagram.from, body);
                m_orderer.onHeartbeat(datagram.from, body);
                if (body.relay) {
                    passOn(datagram, body);
                }
            } else { // what an entry says of its places
                m_orderer.handle(datagram.from, body);
            }
        },
        datagram.body);
}

daemon_record daemon_impl::self() const
{
    return {m_settings.node, m_settings.peers.ip, m_settings.peers.port, m_settings.failureDomain,
        m_store.incarnation()};
}

fleet_shape daemon_impl::shape() const
{
    const store_view &view = m_store.view();
    return {&view.daemons, view.servers.size(), &view.expiredDaemons};
}

/// A beat from another failure domain, for the others here that hear of its servers.
void daemon_impl::passOn(const fleet_datagram &datagram, const fleet_beat &beat)
{
    fleet_datagram copy{datagram.from, datagram.incarnation, beat};
    std::get<fleet_beat>(copy.body).relay = false;
    for (const daemon_record *record : passOnTo(shape(), self(), beat)) {
        m_port->send({record->ip, record->port}, copy);
    }
}

/// Guards against: this daemon is cut off from all others, but callers reach it. It shows as requests for
/// models that wait for places until they are given up. Holds because the balancer is told to send callers
/// elsewhere, and those who come are sent there at once. Where the others are gone rather than cut off, the
/// store drops their records after a lease, and no beats are due any more.
void daemon_impl::lookWhetherAlone()
{
    const bool silent = m_heardPeerAt.count != 0 && bootNow() - m_heardPeerAt >= aloneAfter;
    const bool alone = silent && m_orderer.expectsHeartbeats();
    if (alone == m_alone) {
        return;
    }
    m_alone = alone;
    m_log.important(alone ? "peers.lost" : "peers.heard").add("silent_ms", bootNow() - m_heardPeerAt);
    m_front.setIsolated(alone);
    m_orderer.setIsolated(alone);
    m_callers->setClosing(alone || m_ending);
}

void daemon_impl::beat()
{
    lookWhetherAlone();
    const fleet_beat now = m_orderer.heartbeat();
    m_front.onBeat(m_settings.node, now);
    ++m_beats;
    for (const beat_parcel &parcel : dealBeats(shape(), self(), now, m_beats)) {
        for (const daemon_record *record : parcel.to) {
            m_port->send({record->ip, record->port}, {m_settings.node, m_store.incarnation(), parcel.beat});
        }
    }
}

void daemon_impl::sendNews(const std::vector<std::string> &nodes, const store_news &news)
{
    fleet_datagram datagram{m_settings.node, m_store.incarnation(), news};
    if (!news.items.empty()) {
        datagram.body = packed_news{encode(news)};
        if (std::get<packed_news>(datagram.body).bytes.size() > largestNews) {
            datagram.body = store_news{news.from, news.to, true, false, {}};
        }
    }
    for (const std::string &node : nodes) {
        if (const daemon_record *peer = findPeer(m_store.view(), node)) {
            m_port->send({peer->ip, peer->port}, datagram);
        }
    }
}

void daemon_impl::answerNews(const front_request &request, front_reply &reply) const
{
    std::int64_t after = 0;
    const std::string &target = request.head.target;
    const bool known = target.starts_with(newsPath);
    const char *first = target.data() + newsPath.size();
    if (!known || std::from_chars(first, target.data() + target.size(), after).ec != std::errc()) {
        reply.respond(404, {}, "only the store's news are here\n");
        return;
    }
    reply.respond(200, {}, encode(m_store.updatesAfter(after)));
}

void daemon_impl::fetchNews(
    const std::string &node, std::int64_t after, std::function<void(std::optional<store_news>)> done)
{
    const daemon_record *peer = findPeer(m_store.view(), node);
    if (peer == nullptr) {
        done(std::nullopt);
        return;
    }
    const std::string call =
        "GET " + newsPath + std::to_string(after) + " HTTP/1.1\r\nHost: " + node + "\r\n\r\n";
    callServer(m_loop, m_pool, {peer->ip, peer->port}, call, newsTimeout,
        [done = std::move(done)](const call_result &result) {
            error why;
            done(result.how == send_end::Whole ? decodeNews(result.body, why) : std::nullopt);
        });
}

bool daemon_impl::isReady() const
{
    const store_view &view = m_store.view();
    const bool heard = m_front.hearsOrderers() || bootNow() - m_started > readyWithoutOrderers;
    return !m_ending && !m_alone && view.config && !view.servers.empty() && heard;
}

void daemon_impl::onReadyQuestion(front_reply &reply) const
{
    const bool ready = isReady();
    reply.respond(ready ? 200 : 503, {},
        ready          ? "ready\n"
            : m_ending ? "ending\n"
            : m_alone  ? "cut off from the other daemons\n"
                       : "no configuration yet\n");
}

std::string daemon_impl::figures() const
{
    const store_view &view = m_store.view();
    const std::string text =
        metricsText({&m_front.counters(), &m_crashes.counters(), &m_orderer.counters(), &m_pool.counters(),
            &m_port->counters(), &m_loopLag, m_front.active(), m_callers->connections(), m_log.dropped(),
            view.config ? view.config->version : 0, m_store.configConfirmedAt(), &m_quota->counters()});
    return m_parts.storeMetrics ? text + m_parts.storeMetrics() : text;
}

/// How late the loop is: what it does in one turn holds up everything else.
void daemon_impl::measureLag()
{
    const millis now = bootNow();
    record(m_loopLag, static_cast<double>((now - m_lagFrom - lagEvery).count));
    m_lagFrom = now;
    if (m_port->counters().bad != m_badTold) {
        m_badTold = m_port->counters().bad;
        m_log.important("datagrams.unreadable")
            .add("count", m_badTold)
            .add("why", message(m_port->lastBad()));
    }
}

void daemon_impl::beginEnd()
{
    if (m_ending) {
        return;
    }
    m_ending = true;
    m_endBegan = bootNow();
    m_log.important("process.ending").add("active", static_cast<std::int64_t>(m_front.active()));
    m_callers->closeAfterAnswers(idleAtEnd);
    m_handles.push_back(m_loop.timer(endCheckEvery, endCheckEvery, [this] {
        checkEnd();
    }));
}

void daemon_impl::checkEnd()
{
    const millis since = bootNow() - m_endBegan;
    const bool idle = m_front.active() == 0 && m_callers->busy() == 0 && m_callers->connections() == 0;
    const bool late = since > m_settings.shutdown - endMargin;
    if (since > handOver && !m_handedOver) {
        m_handedOver = true;
        m_orderer.stop();
        m_quota->stop();
        m_store.releaseRecords();
    }
    if (since > lastTaking && !m_closed) {
        m_closed = true;
        m_callers->stopListening();
        m_front.stopTaking();
    }
    if ((idle && since > stillTaking) || late) {
        m_exit = idle ? 0 : exitCut;
        m_loop.stop();
    }
}

void daemon_impl::rereadSettings(const char *cause)
{
    error why;
    const auto fresh = m_parts.reread(why);
    if (!fresh) {
        m_log.important("settings.unusable").add("cause", cause).add("why", message(why));
        return;
    }
    const bool changed = fresh->repeats.ratio != m_settings.repeats.ratio
        || fresh->repeats.slack != m_settings.repeats.slack || fresh->shutdown != m_settings.shutdown;
    if (changed || std::string_view(cause) == "signal") {
        m_settings.repeats = fresh->repeats;
        m_settings.shutdown = fresh->shutdown;
        m_front.setRepeatLimits(fresh->repeats);
        m_log.important("settings.reread").add("cause", cause).add("changed", changed ? 1 : 0);
    }
}

}

std::unique_ptr<edge_daemon> edge_daemon::start(
    loop &eventLoop, const node_settings &settings, const edge_parts &parts, decision_log &log, error &why)
{
    auto daemon = std::make_unique<daemon_impl>(eventLoop, settings, parts, log);
    return daemon->open(why) ? std::move(daemon) : nullptr;
}

}
