#include "soak/soak_run.h"
#include "transport/backend_call.h"

#include <algorithm>

// A run: its start, its traffic, what goes on by itself, and what is looked at after the last fault.
namespace briarhead::soak {

soak_run::soak_run(const soak_options &options)
    : m_options(options)
    , m_random(options.seed * 7 + 1)
{
    for (std::size_t i = 0; i < failureDomains; ++i) {
        m_storeServers.push_back(std::make_unique<store_standin>(m_store));
        m_cuts.push_back(link_fault::None);
    }
    m_servers.reserve(options.modelServers + options.plainServers); // callbacks refer to them
    for (std::size_t i = 0; i < options.modelServers + options.plainServers; ++i) {
        const bool model = i < options.modelServers;
        m_servers.push_back(
            {(model ? "m-" : "p-") + std::to_string(i), model ? "llm" : "app", 0, {}, {}, {}});
        startServer(m_servers.back());
    }
    putConfig();
    for (std::size_t i = 0; i < options.daemons; ++i) {
        m_storeLinks.push_back(
            std::make_unique<fault_proxy>(m_loop, m_storeServers[i % failureDomains]->port()));
        m_daemons.push_back(makeDaemon("n" + std::to_string(i), "z" + std::to_string(i % failureDomains),
            m_storeLinks.back()->port(), options.folder));
    }
}

soak_report soak_run::run()
{
    for (daemon_process &daemon : m_daemons) {
        start(daemon, m_options.program);
    }
    m_timers.push_back(m_loop.timer(lookEvery, lookEvery, [this] {
        look();
    }));
    if (!runUntil(startBound, [this] {
            return allReady();
        })) {
        m_report.violations.emplace_back("START not all daemons became ready");
        return m_report;
    }
    m_begin = bootNow();
    const millis pause{static_cast<std::int64_t>(1'000 / m_options.perSecond)};
    auto traffic = m_loop.timer(pause, pause, [this] {
        sendOne();
    });
    m_fatal = drawFatalSpell(m_options.seed, m_options.length);
    const auto fatal = m_loop.timer(m_fatal.every, m_fatal.every, [this] {
        sendFatal();
    });
    m_fatalPart = drawFatalPartSpell(m_options.seed, m_options.length);
    const auto fatalPartTimer = m_loop.timer(m_fatalPart.every, m_fatalPart.every, [this] {
        sendFatalPart();
    });
    m_crowds = drawCrowds(m_options.seed, m_options.length, m_daemons.size());
    const auto crowdTimer = m_loop.timer(pause, pause, [this] {
        sendToCrowded();
    });
    for (const server_spell &each : drawEndless(m_options.seed, m_options.length, m_servers.size())) {
        after(each.at, [this, each] {
            beginSpell(each, backend_standin::behavior::Endless, "responds without end");
        });
    }
    for (const server_spell &each : drawSpoiling(m_options.seed, m_options.length, m_options.modelServers)) {
        after(each.at, [this, each] {
            beginSpell(each, backend_standin::behavior::Spoils, "spoils streams");
        });
    }
    for (const server_spell &each : drawSlowConnects(m_options.seed, m_options.length, m_servers.size())) {
        after(each.at, [this, each] {
            delayConnects(each);
        });
    }
    for (const fault &each :
        drawFaults(m_options.seed, m_options.length, m_daemons.size(), m_servers.size())) {
        after(each.at, [this, each] {
            apply(each);
        });
    }
    for (const limit_change_plan &each : drawLimits(m_options.seed, m_options.length, m_servers.size())) {
        after(each.at, [this, each] {
            nameLimit(each);
        });
    }
    for (const word_plan &each : drawWords(m_options.seed, m_options.length, m_servers.size())) {
        after(each.at, [this, each] {
            say(each);
        });
    }
    for (const cut_plan &each : drawCuts(m_options.seed, m_options.length, failureDomains)) {
        after(each.at, [this, each] {
            cutDomain(each);
        });
    }
    for (const power_loss_plan &each : m_options.powerLosses
            ? drawPowerLosses(m_options.seed, m_options.length)
            : std::vector<power_loss_plan>()) {
        after(each.at - each.versionsBefore, [this, each] {
            nameVersionBeforeLateWrite(each);
        });
        after(each.at, [this] {
            killAllDaemons();
        });
    }
    for (const brittle_plan &each : drawBrittle(m_options.seed, m_options.modelServers, m_servers.size())) {
        after(each.at, [this, each] {
            makeBrittle(each);
        });
    }
    runFor(m_options.length);
    traffic.reset();
    heal();
    const millis healed = bootNow();
    if (!runUntil(recoveryBound, [this] {
            return allReady();
        })) {
        m_report.violations.emplace_back("RECOVER not all daemons are ready again");
    }
    m_report.recovered = bootNow() - healed;
    runFor(calmAfter);
    m_witness.checkAdapterVersionsFrom(bootNow());
    // That a server names its limit no more is known from its next answer, which may be a turn away.
    runUntil(longestTurn, [this, healed] {
        sendOne();
        return limitsKnownToHaveEnded(healed);
    });
    const std::size_t before = m_witness.served();
    for (int i = 0; i < requestsAfter; ++i) {
        sendOne();
        runFor({20});
    }
    runFor(deadline + overdue);
    if (m_witness.served() - before < servedAfterAtLeast) {
        m_report.violations.push_back("RECOVER only " + std::to_string(m_witness.served() - before)
            + " of the requests after the last fault are served");
    }
    for (served_server &server : m_servers) {
        collect(server);
    }
    for (daemon_process &daemon : m_daemons) {
        stop(daemon);
        m_report.starts += daemon.starts;
        checkLog(daemon);
    }
    m_witness.fill(m_report);
    return m_report;
}

void soak_run::after(millis span, std::function<void()> call)
{
    m_timers.push_back(m_loop.timer(std::max(span, millis{1}), {}, std::move(call)));
}

void soak_run::runFor(millis span)
{
    const auto end = m_loop.timer(span, {}, [this] {
        m_loop.stop();
    });
    m_loop.run();
}

bool soak_run::runUntil(millis bound, const std::function<bool()> &condition)
{
    const millis end = bootNow() + bound;
    while (!condition()) {
        if (bootNow() > end) {
            return false;
        }
        runFor(lookEvery);
    }
    return true;
}

/// What goes on by itself: processes that ended start again, leases run out, readiness is asked for.
void soak_run::look()
{
    const millis now = bootNow();
    for (daemon_process &daemon : m_daemons) {
        const std::string wrong = follow(daemon, m_options.program, graceBound);
        if (!wrong.empty()) {
            m_report.violations.push_back(wrong);
        }
        if (now - daemon.askedReady > millis{200}) {
            askReady(daemon);
            checkMemory(daemon);
        }
    }
    for (const auto &[lease, kept] : m_store.renewedAt) {
        const bool outlivesDaemons = m_store.ttls[lease] > longestDaemonLease;
        const millis ttl = outlivesDaemons ? m_store.ttls[lease] : shortLeaseTtl;
        if (m_store.leaseIsOpen[lease] && now - kept > ttl) {
            m_store.expire(lease);
        }
    }
}

void soak_run::checkMemory(const daemon_process &daemon)
{
    if (const std::size_t resident = residentKb(daemon); resident > maxResidentKb) {
        m_report.violations.push_back("MEMORY " + daemon.name + " has " + std::to_string(resident) + " kB");
    }
}

void soak_run::askReady(daemon_process &daemon)
{
    daemon.askedReady = bootNow();
    callServer(m_loop, m_pool, {"127.0.0.1", daemon.readyPort}, "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n",
        probeTimeout, [&daemon](const call_result &result) {
            daemon.ready = result.how == send_result::Complete && result.status == 200;
        });
}

bool soak_run::allReady() const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(), [](const daemon_process &daemon) {
        return daemon.ready && daemon.pid != 0;
    });
}

soak_report runSoak(const soak_options &options)
{
    return soak_run(options).run();
}

}
