#include "soak/soak.h"

#include "serving/backend_standin.h"
#include "serving/store_standin.h"
#include "soak/daemon_process.h"
#include "soak/fault_proxy.h"
#include "soak/soak_plan.h"
#include "soak/witness.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace briarhead::soak {

namespace {

using mood = backend_standin::mood;

constexpr millis leaseTime{3'000};
constexpr millis lookEvery{20};
constexpr millis deadline{3'000};
/// Beyond its deadline a request of an undisturbed daemon is overdue; wide, since the machine may be loaded.
constexpr millis overdue{2'000};
/// A daemon counts as undisturbed this long after the end of what was done to it, as on the platform.
constexpr millis calmAfter{3'000};
/// The platform's bound for a configuration is 2 s; the rest is for a loaded machine.
constexpr millis configBound{6'000};
constexpr millis graceBound{14'000}; ///< 8 s on the platform
constexpr millis recoveryBound{20'000}; ///< 12 s on the platform
constexpr millis startBound{20'000};
constexpr millis longestTurn{12'000}; ///< at the lowest limit
constexpr millis probeTimeout{2'000};
constexpr int adapters = 6;
constexpr int places = 2;
constexpr int requestsAfter = 40;
/// A server that crashed under a request is back this long after; its entry goes later.
constexpr millis serverBack{400};
constexpr millis entryStays{1'200};
const std::string fatalBody = "fatal";
/// One account without a limit, one that asks for more than its limit. Each version has a key of its own,
/// which the next one withdraws.
const std::string freeKey = "key-ana";
const std::string limitedKey = "key-eva";
constexpr std::size_t limitedOneIn = 6;
std::string versionKey(int version)
{
    return "key-of-version-" + std::to_string(version);
}
constexpr const char *paths[] = {"/once/x", "/safe/x", "/gen/x", "/resume/x"};
constexpr std::size_t servedAfterAtLeast = 38;

/// One backend server and the proxy that all daemons reach it through.
struct served_server
{
    std::string name;
    std::string service;
    int starts = 0;
    std::unique_ptr<backend_standin> standin;
    std::unique_ptr<fault_proxy> proxy;
};

/// A server that has ended is in no mood, and no bytes get to it.
void setMood(served_server &server, mood value)
{
    if (server.standin) {
        server.standin->now = value;
    }
}

void setLink(served_server &server, link_fault value)
{
    if (server.proxy) {
        server.proxy->setFault(value);
    }
}

class soak_run
{
public:
    explicit soak_run(const soak_options &options);
    soak_report run();

private:
    void startServer(served_server &server);
    void putConfig();
    void apply(const fault &what);
    void applyToDaemon(const fault &what);
    void applyToStore(const fault &what);
    void changeConfig();
    void checkConfig(int version, millis changed);
    void checkLog(const daemon_process &daemon);
    void checkKey(daemon_process &daemon, int version, millis since);
    void nameLimit(const limit_change_plan &change);
    void say(const word_plan &plan);
    void unsay(served_server &server, const std::string &id);
    void replace(served_server &server);
    void heal();
    bool limitsKnownToHaveEnded(millis since) const;
    void look();
    std::size_t below(std::size_t bound);
    void sendOne();
    void send(std::size_t kind, const std::string &body, const std::string &key);
    void sendFatal();
    bool isCalm(const std::string &name) const;
    void crashUnder(served_server &server, const std::string &requestId);
    void collect(served_server &server);
    bool runUntil(millis bound, const std::function<bool()> &condition);
    void runFor(millis span);
    void askReady(daemon_process &daemon);
    bool allReady() const;
    void after(millis span, std::function<void()> call);

    soak_options m_options;
    loop m_loop;
    std::mt19937_64 m_random;
    fake_store m_store{m_loop};
    store_standin m_storeServer{m_store};
    backend_pool m_pool{m_loop};
    std::vector<served_server> m_servers;
    std::vector<std::unique_ptr<fault_proxy>> m_storeLinks; ///< by daemon
    std::vector<daemon_process> m_daemons;
    std::vector<std::shared_ptr<void>> m_timers;
    witness m_witness;
    soak_report m_report;
    int m_version = 1;
    int m_lastId = 0;
    int m_storeTroubles = 0;
    millis m_storeDisturbed; ///< when the store's last trouble ended
    millis m_begin;
    fatal_spell m_fatal;
    bool m_healed = false;
};

soak_run::soak_run(const soak_options &options)
    : m_options(options)
    , m_random(options.seed * 7 + 1)
{
    m_servers.reserve(options.modelServers + options.plainServers); // callbacks refer to them
    for (std::size_t i = 0; i < options.modelServers + options.plainServers; ++i) {
        const bool model = i < options.modelServers;
        m_servers.push_back({(model ? "m-" : "p-") + std::to_string(i), model ? "llm" : "app", 0, {}, {}});
        startServer(m_servers.back());
    }
    putConfig();
    for (std::size_t i = 0; i < options.daemons; ++i) {
        m_storeLinks.push_back(std::make_unique<fault_proxy>(m_loop, m_storeServer.port()));
        m_daemons.push_back(makeDaemon("n" + std::to_string(i), "z" + std::to_string(i % 2),
            m_storeLinks.back()->port(), options.folder));
    }
}

void soak_run::startServer(served_server &server)
{
    const std::string id = server.name + '.' + std::to_string(++server.starts);
    server.standin = std::make_unique<backend_standin>(m_loop, id, server.service);
    server.proxy = std::make_unique<fault_proxy>(m_loop, server.standin->port);
    server.standin->advertised = server.proxy->port();
    server.standin->fatalBody = fatalBody;
    server.standin->onFatal = [this, &server](const std::string &requestId) {
        crashUnder(server, requestId);
    };
    m_store.put("servers/" + id, server.standin->entry());
}

/// Each version adds a route and drops the one that the version before added.
void soak_run::putConfig()
{
    std::ostringstream text;
    const auto route = [&text](
                           const std::string &prefix, const char *kind, const char *service, bool resumable) {
        text << R"({"name":")" << prefix << R"(","host":"h","prefix":")" << prefix << R"(","routeType":")"
             << kind << R"(","timeoutMs":)" << deadline.count
             << R"(,"targetLatencyMs":500,"maxAttempts":2,"service":")" << service << R"(","resumable":)"
             << (resumable ? "true" : "false") << '}';
    };
    text << R"({"version":)" << m_version << R"(,"routes":[)";
    route("/once/", "non_idempotent", "app", false);
    text << ',';
    route("/safe/", "idempotent", "app", false);
    text << ',';
    route("/gen/", "streaming", "llm", false);
    text << ',';
    route("/resume/", "streaming", "llm", true);
    text << ',';
    route("/v" + std::to_string(m_version) + '/', "idempotent", "app", false);
    text
        << R"(],"services":[{"name":"llm","engine":{"slots":4,"kvTokens":10000,"weightsMb":1000,"adapterSlots":)"
        << places << R"(,"loadsPerS":5,"models":[{"name":"m0","weightsMb":900,"loadS":0.1,"adapterMb":1}]}},)"
        << R"({"name":"app"}],"tenants":[{"name":")" << freeAccount << R"(","apiKeys":[")" << freeKey
        << R"(",")" << versionKey(m_version) << R"("]},{"name":")" << limitedAccount << R"(","apiKeys":[")"
        << limitedKey << R"("],"ratePerS":)" << limitedTo.rate << R"(,"burst":)" << limitedTo.burst << "}]}";
    m_store.put("op/config", text.str());
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
        }
    }
    for (const auto &[lease, kept] : m_store.keptAt) {
        if (m_store.open[lease] && now - kept > leaseTime) {
            m_store.expire(lease);
        }
    }
}

void soak_run::askReady(daemon_process &daemon)
{
    daemon.askedReady = bootNow();
    callServer(m_loop, m_pool, {"127.0.0.1", daemon.readyPort}, "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n",
        probeTimeout, [&daemon](const call_result &result) {
            daemon.ready = result.how == send_end::Whole && result.status == 200;
        });
}

bool soak_run::allReady() const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(), [](const daemon_process &daemon) {
        return daemon.ready && daemon.pid != 0;
    });
}

void soak_run::apply(const fault &what)
{
    std::ostringstream line;
    line << what.at.count << " ms, for " << what.lasts.count << ": " << nameOf(what.kind) << ' '
         << what.target << " variant " << what.variant;
    m_report.faults.push_back(line.str());
    m_witness.disturbed(bootNow() + what.lasts);
    static constexpr link_fault links[] = {
        link_fault::Delayed, link_fault::Silent, link_fault::NoAnswers, link_fault::Reset};
    static constexpr mood moods[] = {mood::Sheds, mood::Fails, mood::Unsigned, mood::Resets, mood::Silent,
        mood::CutsStream, mood::Busy, mood::Slow};
    switch (what.kind) {
    case fault_kind::KillDaemon:
    case fault_kind::PauseDaemon:
    case fault_kind::EndDaemon:
    case fault_kind::RereadSettings:
        applyToDaemon(what);
        return;
    case fault_kind::StoreTrouble:
    case fault_kind::ForgetHistory:
        applyToStore(what);
        return;
    case fault_kind::StoreLink: {
        m_storeLinks[what.target]->setFault(links[what.variant % std::size(links)]);
        disturb(m_daemons[what.target], what.lasts);
        m_witness.excuse(m_daemons[what.target].name, bootNow(), bootNow() + what.lasts, excuse_kind::Cut);
        after(what.lasts, [this, what] {
            m_storeLinks[what.target]->setFault(link_fault::None);
        });
        return;
    }
    case fault_kind::ServerLink:
        setLink(m_servers[what.target], links[what.variant % std::size(links)]);
        // What the link holds back comes in a bunch: the limit counts anew once that is over.
        m_witness.heldUp(m_servers[what.target].standin ? m_servers[what.target].standin->id : "", bootNow(),
            bootNow() + what.lasts);
        after(what.lasts, [this, what] {
            setLink(m_servers[what.target], link_fault::None);
        });
        return;
    case fault_kind::ServerMood:
        setMood(m_servers[what.target], moods[what.variant % std::size(moods)]);
        after(what.lasts, [this, what] {
            setMood(m_servers[what.target], mood::Serves);
        });
        return;
    case fault_kind::CrashServer:
        replace(m_servers[what.target]);
        return;
    case fault_kind::ChangeConfig:
        changeConfig();
        return;
    case fault_kind::NameVersion: {
        const std::string adapter = "a" + std::to_string(what.variant % adapters);
        m_store.put("op/version/m0." + adapter,
            R"({"model":"m0","adapter":")" + adapter + R"(","version":)" + std::to_string(++m_lastId) + '}');
        return;
    }
    }
}

void soak_run::applyToDaemon(const fault &what)
{
    daemon_process &daemon = m_daemons[what.target];
    switch (what.kind) {
    case fault_kind::KillDaemon:
        m_witness.excuse(daemon.name, bootNow(), bootNow());
        disturb(daemon, {});
        signal(daemon, SIGKILL);
        return;
    case fault_kind::PauseDaemon:
        m_witness.excuse(daemon.name, bootNow(), bootNow() + what.lasts);
        disturb(daemon, what.lasts);
        signal(daemon, SIGSTOP);
        after(what.lasts, [&daemon] {
            signal(daemon, SIGCONT);
        });
        return;
    case fault_kind::EndDaemon:
        m_witness.excuse(daemon.name, bootNow(), bootNow() + graceBound);
        disturb(daemon, {});
        daemon.terminated = daemon.terminated.count == 0 ? bootNow() : daemon.terminated;
        signal(daemon, SIGTERM);
        return;
    default:
        signal(daemon, SIGHUP);
        return;
    }
}

void soak_run::applyToStore(const fault &what)
{
    static constexpr store_trouble troubles[] = {
        store_trouble::Refuses, store_trouble::Silent, store_trouble::LosesWrites};
    m_storeDisturbed = std::max(m_storeDisturbed, bootNow() + what.lasts);
    if (what.kind == fault_kind::ForgetHistory) {
        m_store.compact();
        return;
    }
    ++m_storeTroubles;
    m_storeServer.client.trouble = troubles[what.variant % std::size(troubles)];
    after(what.lasts, [this] {
        if (--m_storeTroubles == 0) {
            m_storeServer.client.trouble = store_trouble::None;
        }
    });
}

void soak_run::changeConfig()
{
    if (m_storeTroubles > 0) {
        return; // the operator's write would not be acknowledged
    }
    ++m_version;
    putConfig();
    after(configBound, [this, version = m_version, changed = bootNow()] {
        checkConfig(version, changed);
    });
}

/// Each daemon that was undisturbed all the while must know the version's route, and not the one before's.
void soak_run::checkConfig(int version, millis changed)
{
    const millis since = changed - calmAfter;
    if (m_healed || version != m_version || m_storeTroubles > 0 || m_storeDisturbed > since) {
        return;
    }
    for (daemon_process &daemon : m_daemons) {
        if (daemon.disturbedUntil > since || daemon.pid == 0) {
            continue;
        }
        checkKey(daemon, version, since);
        for (const int route : {version, version - 1}) {
            const std::string id = "c" + std::to_string(++m_lastId);
            std::string call = "GET /v" + std::to_string(route) + "/x HTTP/1.1\r\nHost: h\r\n";
            call.append("X-Briarhead-Request-Id: ").append(id).append("\r\nX-Briarhead-Credential: ");
            call.append(freeKey).append("\r\n\r\n");
            m_witness.sent(id, true, daemon.name, bootNow(), {});
            callServer(m_loop, m_pool, {"127.0.0.1", daemon.frontPort}, call, probeTimeout,
                [this, &daemon, route, version, since](const call_result &result) {
                    const bool wrong = route == version
                        ? result.status == 404
                        : result.how == send_end::Whole && result.status != 404;
                    if (wrong && daemon.disturbedUntil <= since && m_version == version) {
                        m_report.violations.push_back("CONFIG " + daemon.name + " answers "
                            + std::to_string(result.status) + " on the route of version "
                            + std::to_string(route) + " while " + std::to_string(version) + " is in force");
                    }
                });
        }
    }
}

void soak_run::checkLog(const daemon_process &daemon)
{
    std::ifstream log(daemon.log);
    for (std::string line; std::getline(log, line);) {
        if (line.find(freeKey) != std::string::npos || line.find(limitedKey) != std::string::npos) {
            m_report.violations.push_back("KEY in the log of " + daemon.name);
            return;
        }
    }
}

/// A key that the version before had must open nothing.
void soak_run::checkKey(daemon_process &daemon, int version, millis since)
{
    const std::string id = "k" + std::to_string(++m_lastId);
    std::string call = "GET /safe/x HTTP/1.1\r\nHost: h\r\n";
    call.append("X-Briarhead-Request-Id: ").append(id).append("\r\nX-Briarhead-Credential: ");
    call.append(versionKey(version - 1)).append("\r\n\r\n");
    m_witness.sent(id, true, daemon.name, bootNow(), {});
    callServer(m_loop, m_pool, {"127.0.0.1", daemon.frontPort}, call, probeTimeout,
        [this, &daemon, version, since](const call_result &result) {
            const bool wrong = result.how == send_end::Whole && result.status != 401;
            if (wrong && daemon.disturbedUntil <= since && m_version == version) {
                m_report.violations.push_back("CONFIG " + daemon.name + " answers "
                    + std::to_string(result.status) + " to a key that version " + std::to_string(version)
                    + " has withdrawn");
            }
        });
}

void soak_run::nameLimit(const limit_change_plan &change)
{
    const served_server &server = m_servers[change.server];
    if (server.standin && !m_healed) {
        std::ostringstream line;
        line << (bootNow() - m_begin).count << " ms: " << server.standin->id << " names a limit of "
             << change.perSecond.value_or(-1);
        m_report.faults.push_back(line.str());
        server.standin->nameLimit(change.perSecond);
    }
}

void soak_run::replace(served_server &server)
{
    if (!server.standin) {
        return; // it is down already
    }
    collect(server);
    m_store.remove("servers/" + server.standin->id);
    server.proxy.reset();
    server.standin.reset();
    startServer(server);
}

void soak_run::say(const word_plan &plan)
{
    served_server &server = m_servers[plan.server];
    if (!server.standin || m_healed) {
        return;
    }
    std::ostringstream line;
    line << (bootNow() - m_begin).count << " ms, for " << plan.lasts.count << ": " << server.standin->id
         << (plan.pause.empty() ? " leaves" : " asks for pauses of " + plan.pause + " s");
    m_report.faults.push_back(line.str());
    if (plan.pause.empty()) {
        server.standin->leaving = true;
    } else {
        setMood(server, mood::Sheds);
        server.standin->pauseText = plan.pause;
    }
    after(plan.lasts, [this, &server, id = server.standin->id] {
        unsay(server, id);
    });
}

/// A server that left is gone and another in its place; one that paused takes requests again.
void soak_run::unsay(served_server &server, const std::string &id)
{
    if (!server.standin || server.standin->id != id) {
        return;
    }
    if (server.standin->leaving) {
        replace(server);
        return;
    }
    if (!server.standin->pauseText.empty()) {
        server.standin->pauseText.clear();
        setMood(server, mood::Serves);
    }
}

void soak_run::heal()
{
    m_healed = true;
    m_storeServer.client.trouble = store_trouble::None;
    for (const auto &link : m_storeLinks) {
        link->setFault(link_fault::None);
    }
    for (served_server &server : m_servers) {
        setLink(server, link_fault::None);
        setMood(server, mood::Serves);
        if (server.standin) {
            server.standin->nameLimit({});
            unsay(server, std::string(server.standin->id));
        }
    }
    for (daemon_process &daemon : m_daemons) {
        signal(daemon, SIGCONT);
    }
}

/// Whether each server that named a limit has answered a request since.
bool soak_run::limitsKnownToHaveEnded(millis since) const
{
    return std::all_of(m_servers.begin(), m_servers.end(), [since](const served_server &each) {
        return !each.standin || each.standin->limits.empty()
            || (!each.standin->ranAt.empty() && each.standin->ranAt.back() >= since);
    });
}

/// What a server saw, before it is gone.
void soak_run::collect(served_server &server)
{
    if (server.standin) {
        m_witness.saw(*server.standin, places);
    }
}

std::size_t soak_run::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

void soak_run::sendOne()
{
    const bool limited = !m_healed && below(limitedOneIn) == 0;
    send(below(std::size(paths)), "hi", limited ? limitedKey : freeKey);
}

/// An attempt at the request that ends servers, as long as its caller goes on with it.
void soak_run::sendFatal()
{
    const millis now = bootNow() - m_begin;
    if (now >= m_fatal.from && now < m_fatal.until) {
        send(m_fatal.route, fatalBody, freeKey);
    }
}

/// Whether the daemon and the store were undisturbed for as long as news between daemons may take.
bool soak_run::isCalm(const std::string &name) const
{
    const millis since = bootNow() - calmAfter;
    const auto daemon = std::find_if(m_daemons.begin(), m_daemons.end(), [&name](const daemon_process &each) {
        return each.name == name;
    });
    return daemon->disturbedUntil < since && m_storeTroubles == 0 && m_storeDisturbed < since;
}

/// The server ends in the middle of all its answers. Its entry stays for a while, and it is back as another.
void soak_run::crashUnder(served_server &server, const std::string &requestId)
{
    if (!server.standin) {
        return; // two runs of it were to end the server at the same moment
    }
    const std::string id = server.standin->id;
    m_witness.endedUnder(id, bootNow(), isCalm(m_witness.daemonOf(requestId)));
    collect(server);
    server.proxy.reset();
    server.standin.reset();
    after(entryStays, [this, id] {
        m_store.remove("servers/" + id);
    });
    after(serverBack, [this, &server] {
        if (!server.standin) {
            startServer(server);
        }
    });
}

void soak_run::send(std::size_t kind, const std::string &body, const std::string &key)
{
    std::vector<daemon_process *> open;
    for (daemon_process &daemon : m_daemons) {
        if (daemon.ready && daemon.pid != 0) {
            open.push_back(&daemon);
        }
    }
    if (open.empty()) {
        return;
    }
    daemon_process &daemon = *open[below(open.size())];
    const bool model = kind >= 2;
    const bool repeatable = kind == 1 || kind == 3;
    const std::string id = "r" + std::to_string(++m_lastId);
    std::string text = std::string("POST ") + paths[kind]
        + " HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + id + "\r\nX-Briarhead-Credential: " + key
        + "\r\nX-Briarhead-Tenant: mallory\r\nX-Briarhead-Deadline-Ms: " + std::to_string(deadline.count)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += model ? "X-Briarhead-Model: m0/a" + std::to_string(below(adapters))
            + "\r\nX-Briarhead-Token-Count: 500,50\r\n"
                  : "";
    m_witness.sent(id, repeatable, daemon.name, bootNow(), daemon.terminated);
    struct heard
    {
        http_head head;
        std::string body;
    };
    const auto answer = std::make_shared<heard>();
    send_handlers calls;
    calls.onHead = [answer](const http_head &head) {
        answer->head = head;
        return true;
    };
    calls.onBody = [answer](const std::string &bytes) {
        answer->body += bytes;
    };
    calls.onEnd = [this, answer, id, model, &daemon](send_end how, const error &) {
        m_witness.answered({id, model, how, answer->head, answer->body}, bootNow(),
            bootNow() - deadline - overdue > daemon.disturbedUntil);
    };
    m_pool.start({"127.0.0.1", daemon.frontPort}, text + "\r\n" + body, false, std::move(calls));
    after(deadline + overdue, [this, id, &daemon] {
        m_witness.due(id, daemon.disturbedUntil);
    });
}

}

soak_report runSoak(const soak_options &options)
{
    return soak_run(options).run();
}

}
