#include "soak/soak_run.h"

#include <algorithm>
#include <set>
#include <sstream>

// What is done to daemons, servers, the store and the configuration, and how it ends.
namespace briarhead::soak {

namespace {

std::string declarationOf(const std::string &adapter, int version)
{
    return R"({"model":"m0","adapter":")" + adapter + R"(","version":)" + std::to_string(version) + '}';
}

}

void soak_run::startServer(served_server &server)
{
    const std::string id = server.name + '.' + std::to_string(++server.starts);
    server.standin = std::make_unique<backend_standin>(m_loop, id, server.service);
    const auto index = static_cast<std::size_t>(&server - m_servers.data());
    const ending_plan plan = drawEnding(m_options.seed, index, server.starts);
    server.standin->softwareVersion = plan.secondVersion ? "v2" : "v1";
    m_witness.serverStarted(id, server.standin->softwareVersion);
    if (!m_healed) {
        const body_framing framed = server.service == "llm" ? body_framing::Chunked : body_framing::Length;
        server.standin->ending =
            response_ending{plan.byConnection ? body_framing::Connection : framed, {}, false, plan.cutOneIn};
    }
    server.proxy = std::make_unique<fault_proxy>(m_loop, server.standin->port);
    server.standin->advertisedPort = server.proxy->port();
    for (std::size_t i = 0; i < failureDomains; ++i) {
        server.links.push_back(std::make_unique<fault_proxy>(m_loop, server.proxy->port()));
        server.links.back()->setFault(m_cuts[i]);
        m_storeServers[i]->view.ports[server.proxy->port()] = server.links.back()->port();
    }
    server.standin->fatalBody = fatalBody;
    server.standin->fatalParts = {fatalPart};
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

void soak_run::apply(const fault &what)
{
    std::ostringstream line;
    line << what.at.count << " ms, for " << what.lasts.count << ": " << nameOf(what.kind) << ' '
         << what.target << " variant " << what.variant;
    m_report.faults.push_back(line.str());
    m_witness.disturbed(bootNow() + what.lasts);
    static constexpr link_fault links[] = {
        link_fault::Delayed, link_fault::Silent, link_fault::NoAnswers, link_fault::Reset};
    static constexpr behavior behaviors[] = {behavior::Sheds, behavior::Fails, behavior::Unsigned,
        behavior::Resets, behavior::Silent, behavior::CutsStream, behavior::Busy, behavior::Slow};
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
        setMood(m_servers[what.target], behaviors[what.variant % std::size(behaviors)]);
        after(what.lasts, [this, what] {
            setMood(m_servers[what.target], behavior::Serves);
        });
        return;
    case fault_kind::CrashServer:
        replace(m_servers[what.target]);
        return;
    case fault_kind::ChangeConfig:
        changeConfig();
        return;
    case fault_kind::NameVersion:
        nameVersion(static_cast<int>(what.variant) % adapters);
        return;
    }
}

void soak_run::nameVersion(int adapter)
{
    const std::string name = "a" + std::to_string(adapter);
    m_store.put("op/version/m0." + name, declarationOf(name, ++m_lastId));
    m_witness.versionNamed(name, m_lastId, bootNow());
}

/// The older version's write comes first, is not answered, and executed after the newer one.
void soak_run::nameVersionBeforeLateWrite(const power_loss_plan &plan)
{
    const int adapter = static_cast<int>(plan.adapter) % adapters;
    const std::string name = "a" + std::to_string(adapter);
    m_store.executeLater(
        {{}, {{"op/version/m0." + name, declarationOf(name, ++m_lastId), 0}}, {}}, plan.lateBy);
    nameVersion(adapter);
}

void soak_run::killAllDaemons()
{
    if (m_healed) {
        return;
    }
    m_report.faults.push_back(std::to_string((bootNow() - m_begin).count) + " ms: all daemons are killed");
    m_witness.disturbed(bootNow());
    for (daemon_process &daemon : m_daemons) {
        m_witness.excuse(daemon.name, bootNow(), bootNow());
        disturb(daemon, {});
        signal(daemon, SIGKILL);
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
    static constexpr store_fault troubles[] = {
        store_fault::RefusesCalls, store_fault::Unresponsive, store_fault::LosesWriteResponses};
    m_storeDisturbed = std::max(m_storeDisturbed, bootNow() + what.lasts);
    if (what.kind == fault_kind::ForgetHistory) {
        m_store.compact();
        return;
    }
    ++m_storeTroubles;
    setStoreFault(troubles[what.variant % std::size(troubles)]);
    after(what.lasts, [this] {
        if (--m_storeTroubles == 0) {
            setStoreFault(store_fault::None);
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

void soak_run::setStoreFault(store_fault value)
{
    for (const auto &each : m_storeServers) {
        each->client.fault = value;
    }
}

void soak_run::cutDomain(const cut_plan &cut)
{
    static constexpr link_fault variants[] = {link_fault::Hangs, link_fault::Refused, link_fault::RefusesNew};
    if (m_healed || m_cuts[cut.domain] != link_fault::None) {
        return;
    }
    m_cuts[cut.domain] = variants[cut.variant % std::size(variants)];
    std::ostringstream line;
    line << cut.at.count << " ms, for " << cut.lasts.count << ": cut failure domain " << cut.domain
         << " off from all servers, variant " << cut.variant % std::size(variants);
    m_report.faults.push_back(line.str());
    for (served_server &server : m_servers) {
        if (!server.links.empty()) {
            server.links[cut.domain]->setFault(m_cuts[cut.domain]);
        }
    }
    m_witness.disturbed(bootNow() + cut.lasts);
    std::set<std::string> daemons;
    for (std::size_t i = cut.domain; i < m_daemons.size(); i += failureDomains) {
        daemons.insert(m_daemons[i].name);
    }
    m_witness.cutOff(daemons, bootNow(), bootNow() + cut.lasts);
    after(cut.lasts, [this, cut] {
        endCut(cut.domain);
    });
}

void soak_run::endCut(std::size_t domain)
{
    m_cuts[domain] = link_fault::None;
    for (served_server &server : m_servers) {
        if (!server.links.empty()) {
            server.links[domain]->setFault(link_fault::None);
        }
    }
}

void soak_run::beginSpell(const server_spell &spell, behavior mood, const char *what)
{
    served_server &server = m_servers[spell.server];
    if (!server.standin || m_healed || server.standin->currentBehavior != behavior::Serves) {
        return;
    }
    std::ostringstream line;
    line << spell.at.count << " ms, for " << spell.lasts.count << ": " << server.standin->id << ' ' << what;
    m_report.faults.push_back(line.str());
    m_witness.disturbed(bootNow() + spell.lasts);
    setMood(server, mood);
    after(spell.lasts, [&server, mood, id = server.standin->id] {
        if (server.standin && server.standin->id == id && server.standin->currentBehavior == mood) {
            setMood(server, behavior::Serves);
        }
    });
}

/// Widens the time in which daemons wait for a connection, and other events come between.
void soak_run::delayConnects(const server_spell &spell)
{
    served_server &server = m_servers[spell.server];
    if (!server.standin || m_healed) {
        return;
    }
    std::ostringstream line;
    line << spell.at.count << " ms, for " << spell.lasts.count << ": no connection to " << server.standin->id
         << " is established";
    m_report.faults.push_back(line.str());
    m_witness.disturbed(bootNow() + spell.lasts);
    m_witness.heldUp(server.standin->id, bootNow(), bootNow() + spell.lasts);
    setLink(server, link_fault::HangsNew);
    after(spell.lasts, [&server] {
        setLink(server, link_fault::None);
    });
}

void soak_run::makeBrittle(const brittle_plan &plan)
{
    const served_server &server = m_servers[plan.server];
    if (server.standin && !m_healed) {
        std::ostringstream line;
        line << plan.at.count << " ms: " << server.standin->id << " is brittle, " << plan.maxRejections;
        m_report.faults.push_back(line.str());
        server.standin->setBrittle(plan.maxRejections);
    }
}

void soak_run::nameLimit(const limit_change_plan &change)
{
    const served_server &server = m_servers[change.server];
    if (server.standin && !m_healed) {
        std::ostringstream line;
        line << (bootNow() - m_begin).count << " ms: " << server.standin->id << " names a limit of "
             << change.perSecond.value_or(-1);
        m_report.faults.push_back(line.str());
        server.standin->setLimit(change.perSecond);
    }
}

void soak_run::replace(served_server &server)
{
    if (!server.standin) {
        return; // it is down already
    }
    collect(server);
    m_store.remove("servers/" + server.standin->id);
    server.links.clear();
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
        setMood(server, behavior::Sheds);
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
        setMood(server, behavior::Serves);
    }
}

void soak_run::heal()
{
    m_healed = true;
    setStoreFault(store_fault::None);
    for (const auto &link : m_storeLinks) {
        link->setFault(link_fault::None);
    }
    for (std::size_t i = 0; i < failureDomains; ++i) {
        endCut(i);
    }
    for (served_server &server : m_servers) {
        setLink(server, link_fault::None);
        setMood(server, behavior::Serves);
        if (server.standin) {
            server.standin->setLimit({});
            server.standin->setBrittle({});
            server.standin->ending.reset();
            unsay(server, std::string(server.standin->id));
        }
    }
    for (daemon_process &daemon : m_daemons) {
        signal(daemon, SIGCONT);
    }
}

/// What a server saw, before it is gone.
void soak_run::collect(served_server &server)
{
    if (server.standin) {
        m_witness.saw(*server.standin, places);
    }
}

/// The server ends in the middle of all its answers. Its entry stays for a while, and it is back as another.
void soak_run::crashUnder(served_server &server, const std::string &requestId)
{
    if (!server.standin) {
        return; // two runs of it were to end the server at the same moment
    }
    const std::string id = server.standin->id;
    m_witness.crashedUnder(requestId, id, bootNow(), isCalm(m_witness.daemonOf(requestId)));
    collect(server);
    server.links.clear();
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

}
