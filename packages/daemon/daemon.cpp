#include "daemon/daemon.h"

#include "coordination/budget_task.h"
#include "coordination/config_task.h"
#include "coordination/connection_gate.h"
#include "coordination/crash_task.h"
#include "coordination/key_task.h"
#include "coordination/membership_task.h"
#include "coordination/owner_task.h"
#include "coordination/ownership_task.h"
#include "daemon/admin_task.h"
#include "daemon/crash_records.h"
#include "daemon/entry_task.h"
#include "daemon/metrics.h"
#include "daemon/peer_router.h"
#include "daemon/process_stats.h"
#include "transport/fence.h"
#include "transport/kv_client.h"
#include "transport/peer_link.h"

#include <spdlog/spdlog.h>

#include <csignal>
#include <set>

namespace briarhead {

namespace {

/// New connections are still accepted for this long after the daemon has become unready, until the load
/// balancer has noticed.
constexpr millis balancerGrace{2'000};
constexpr std::int64_t drainCheckIntervalMs = 50;

class daemon_implementation : public daemon
{
public:
    explicit daemon_implementation(const settings &daemonSettings)
        : m_settings(daemonSettings)
        , m_incarnation(static_cast<std::uint64_t>(wallNow().count))
        , m_bus(m_loop)
        , m_requestClient(m_loop)
        , m_fencedClient(m_loop)
        , m_platformClient(m_loop)
        , m_kvClient(m_loop, daemonSettings.kvUrls, daemonSettings.kvTimeout)
        , m_liveList(m_loop, m_platformClient, daemonSettings.liveListUrl, daemonSettings.region)
        , m_router(m_bus, daemonSettings.instance, m_incarnation)
        , m_crashRecords(m_bus, m_loop, m_kvClient, daemonSettings.instance)
        , m_crashes(m_loop, m_bus, m_crashRecords.callbacks())
    {
    }

    bool open(error &why)
    {
        auto handlers = m_router.handlers([this](const peer_address &from, const peer_datagram &datagram) {
            if (m_membership) {
                m_membership->onDatagram(from, datagram);
            }
        });
        m_loop.onException([this](const char *what) {
            ++m_handlersFailed;
            spdlog::error(
                "daemon: A callback failed: {}; the request or message that it handled is dropped.", what);
        });
        m_link = peer_link::open(m_loop, m_settings.instance, m_incarnation,
            {m_settings.peerAddress, m_settings.peerPort}, m_settings.peerKey, handlers, why);
        if (!m_link) {
            return false;
        }
        m_router.attach(*m_link);
        // The sockets of orders to backend servers, which must not be sent after the lease has expired.
        m_fencedClient.onSocket([this](int fd, bool opened) {
            if (opened) {
                m_fence.addSocket(fd);
            } else {
                m_fence.removeSocket(fd);
            }
        });
        startTasks();
        m_crashRecords.start(m_crashes);
        m_server = http_server::listen(
            m_loop, m_settings.callerAddress, m_settings.callerPort, m_settings.bodyLimitBytes,
            [this](const http_request &request, std::shared_ptr<http_reply> reply) {
                if (admin_task::handlesPath(request.path)) {
                    m_admin->onRequest(request, reply);
                } else {
                    m_entry->onRequest(request, std::move(reply));
                }
            },
            why);
        if (!m_server) {
            return false;
        }
        m_server->setAdmission([this] {
            return admitCaller();
        });
        m_signals = {m_loop.onSignal(SIGTERM,
                         [this] {
                             shutDown();
                         }),
            m_loop.onSignal(SIGINT, [this] {
                shutDown();
            })};
        m_bus.on<owner_drained>([this](const owner_drained &) {
            m_ownerDrained = true;
        });
        m_bus.on<received<drain_request>>([this](const received<drain_request> &event) {
            // A drain request may be repeated because its response was lost. Unlike a second signal, it must
            // not cut off requests.
            if (event.body.server.empty() && event.body.drain && !m_shuttingDown) {
                shutDown();
            }
        });
        spdlog::info("daemon: {} accepts callers on {}:{} and peers on port {}.", m_settings.instance,
            m_settings.callerAddress, m_server->port(), m_link->port());
        return true;
    }

    int run() override
    {
        m_loop.run();
        return m_exitCode;
    }

private:
    void startTasks()
    {
        member self;
        self.name = m_settings.instance;
        self.failureDomain = m_settings.failureDomain;
        self.address = {m_settings.peerAddress, m_link->port()};
        self.callerPort = m_settings.callerPort;
        self.incarnation = m_incarnation;
        m_keys = std::make_unique<key_task>(m_bus, m_loop, m_settings.instance);
        m_budget = std::make_unique<budget_task>(m_bus, m_loop);
        m_owner = std::make_unique<owner_task>(m_bus, m_loop, m_requestClient, m_fencedClient, m_crashes,
            owner_task::options{m_settings.instance, m_settings.routing});
        m_ownership = std::make_unique<ownership_task>(m_bus, m_loop, m_kvClient, m_requestClient, m_fence,
            ownership_task::options{m_settings.instance, m_incarnation, m_settings.leaseTtl});
        entry_task::options entry;
        entry.self = m_settings.instance;
        entry.incarnation = m_incarnation;
        entry.failureDomain = m_settings.failureDomain;
        entry.routing = routingKindOf(m_settings.routing).value_or(routing_kind::Briarhead);
        m_entry = std::make_unique<entry_task>(m_bus, m_loop, m_requestClient, m_crashes, m_metrics, entry);
        config_task::options configuration;
        configuration.self = m_settings.instance;
        configuration.failureDomain = m_settings.failureDomain;
        m_configuration = std::make_unique<config_task>(m_bus, m_loop, m_kvClient, configuration);
        admin_task::options admin;
        admin.self = m_settings.instance;
        admin.operatorKeyHashes = m_settings.operatorKeyHashes;
        admin.ready = [this] {
            return !m_shuttingDown && m_entry->ready();
        };
        admin.metricsText = [this] {
            return metricsText();
        };
        m_admin = std::make_unique<admin_task>(m_bus, m_loop, *m_configuration, m_metrics, admin);
        membership initial;
        initial.self = self;
        initial.tuning.probeInterval = m_settings.probeInterval;
        m_membership = std::make_unique<membership_task>(
            m_bus, m_loop, *m_link, m_liveList, initial, m_settings.liveListInterval);
    }

    std::string metricsText()
    {
        exportPeerCounters(m_metrics, m_link->counters());
        exportKvCounters(m_metrics, m_kvClient.counters());
        exportProcess(m_metrics);
        exportServers(m_metrics, m_owner->hints(), m_exportedServers);
        setGauge(m_metrics, "config_version",
            m_configuration->current() ? static_cast<double>(m_configuration->current()->version) : 0);
        setGauge(m_metrics, "requests_blocked", static_cast<double>(m_crashes.counters().blocked));
        setGauge(m_metrics, "requests_cleared", static_cast<double>(m_crashes.counters().cleared));
        setGauge(m_metrics, "handlers_failed", static_cast<double>(m_handlersFailed));
        setGauge(m_metrics, "open_requests", static_cast<double>(m_entry->open()));
        return prometheusText(m_metrics);
    }

    /// The first signal starts a graceful shutdown: the daemon becomes unready, hands over its owned servers,
    /// and finishes the requests in progress. Only a second signal or the time limit cuts those off.
    void shutDown()
    {
        if (m_shuttingDown) {
            stopAtOnce("a second signal");
            return;
        }
        spdlog::info("daemon: Shutting down. Requests in progress may finish within the drain time limit.");
        m_shuttingDown = true;
        m_entry->beginShutdown(planShutdown(m_settings.drainTimeout));
        m_bus.post(drain_began{});
        m_graceTimer = m_loop.timer(balancerGrace, {}, [this] {
            m_server->stopListening();
            m_graceOver = true;
        });
        m_drainTimer = m_loop.timer(m_settings.drainTimeout, {}, [this] {
            stopAtOnce("the time limit");
        });
        m_drainCheckTimer = m_loop.timer({drainCheckIntervalMs}, {drainCheckIntervalMs}, [this] {
            if (m_graceOver && m_ownerDrained && m_entry->open() == 0 && m_server->activeRequests() == 0) {
                spdlog::info("daemon: All requests have finished; exiting.");
                m_loop.stop();
            }
        });
    }

    bool admitCaller()
    {
        const gate_decision decision = decideOnConnection(m_admission, m_loop);
        if (decision.limitChanged) {
            spdlog::warn("daemon: The event loop is busy for {:.0f}% of the time; {}.",
                decision.busyShare * 100,
                m_admission.perSecond > 0 ? "closing some new connections unread"
                                          : "taking all new connections again");
        }
        return decision.admitted;
    }

    void stopAtOnce(const char *reason)
    {
        if (m_entry->open() != 0 || !m_ownerDrained) {
            spdlog::error("daemon: Cut short by {} with {} requests open.", reason, m_entry->open());
            m_exitCode = 1;
        }
        m_loop.stop();
    }

    settings m_settings;
    std::uint64_t m_incarnation;
    loop m_loop;
    std::uint64_t m_handlersFailed = 0; ///< callbacks that ended with an exception
    bus m_bus;
    fence m_fence;
    http_client m_requestClient;
    http_client m_fencedClient;
    http_client m_platformClient;
    kv_client m_kvClient;
    live_list m_liveList;
    metrics m_metrics;
    std::set<std::string> m_exportedServers; ///< owned servers whose gauges were last exported
    peer_router m_router;
    crash_records m_crashRecords;
    crash_task m_crashes;
    std::unique_ptr<peer_link> m_link;
    std::unique_ptr<key_task> m_keys;
    std::unique_ptr<budget_task> m_budget;
    std::unique_ptr<owner_task> m_owner;
    std::unique_ptr<ownership_task> m_ownership;
    std::unique_ptr<entry_task> m_entry;
    std::unique_ptr<config_task> m_configuration;
    std::unique_ptr<admin_task> m_admin;
    std::unique_ptr<membership_task> m_membership;
    std::unique_ptr<http_server> m_server;
    connection_admission m_admission; ///< of callers' connections
    std::vector<std::shared_ptr<void>> m_signals;
    std::shared_ptr<void> m_graceTimer;
    std::shared_ptr<void> m_drainTimer;
    std::shared_ptr<void> m_drainCheckTimer;
    bool m_shuttingDown = false;
    bool m_graceOver = false;
    bool m_ownerDrained = false;
    int m_exitCode = 0;
};

}

std::unique_ptr<daemon> daemon::start(const settings &daemonSettings, error &why)
{
    auto instance = std::make_unique<daemon_implementation>(daemonSettings);
    if (!instance->open(why)) {
        return {};
    }
    return instance;
}

}
