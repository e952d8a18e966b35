#pragma once

// The daemons as processes, backend servers and clients, on loopback addresses, as in a small deployment.

#include "store.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <random>

extern char **environ;

namespace review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Writes what was sent, answered and run, with the milliseconds since the start.
class run_record
{
public:
    explicit run_record(const std::string &path)
        : m_out(path)
        , m_start(nowMs())
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() - m_start << ' ' << text << '\n' << std::flush;
    }

private:
    std::ofstream m_out;
    std::int64_t m_start;
    std::mutex m_mutex;
};

/// A part of 127.0.0.0/8 for this run, in which nobody else listens.
inline std::string chooseNetwork()
{
    for (int i = 0; i < 200; ++i) {
        const std::string network = "127." + std::to_string(20 + (getpid() + i) % 200) + ".0.";
        try {
            for (const std::uint16_t wanted : {9464, 8149, 8141, 8144, 7380}) {
                std::uint16_t port = wanted;
                ::close(listenOn(network + "11", port));
            }
            return network;
        } catch (const std::runtime_error &) {
            continue;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

/// A daemon, started as the platform does: the command of deploy/system.toml, the settings file named in the
/// environment, in the repository root.
struct daemon_process
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string settings;
    std::string log;
    pid_t pid = 0;

    void start()
    {
        posix_spawn_file_actions_t files{};
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(
            &files, STDOUT_FILENO, log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        std::string program = "target/platform/briarhead-edge"; // `run` of [roles.edge]
        const char *path = std::getenv("PATH");
        const char *home = std::getenv("HOME");
        std::vector<std::string> variables{"BRIARHEAD_NODE_FILE=" + settings,
            std::string("PATH=") + (path == nullptr ? "" : path),
            std::string("HOME=") + (home == nullptr ? "" : home), "LANG=C.UTF-8"};
        std::vector<char *> environment;
        for (std::string &each : variables) {
            environment.push_back(each.data());
        }
        environment.push_back(nullptr);
        char *arguments[] = {program.data(), nullptr};
        const int failed = posix_spawn(&pid, program.c_str(), &files, nullptr, arguments, environment.data());
        posix_spawn_file_actions_destroy(&files);
        if (failed != 0) {
            throw std::runtime_error("can't start " + program + "; run the build of the deploy file first");
        }
    }
    void signal(int number) const
    {
        if (pid != 0) {
            kill(pid, number);
        }
    }
    void stop()
    {
        if (pid != 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }
    /// Whether the process has ended by itself; `status` as of waitpid().
    bool hasEnded(int &status)
    {
        if (pid != 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = 0;
            return true;
        }
        return false;
    }
    bool isReady() const
    {
        connection probe;
        message response;
        return probe.open(ip, 8141)
            && probe.send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && probe.read(response, nowMs() + 900) == read_end::Whole && response.status() == 200;
    }
};

/// Zones of the small deployment of the pages, each with its share of the six machines.
inline const std::vector<std::string> machineZones{
    "zg-dubrava", "zg-dubrava", "zg-jankomir", "zg-jankomir", "vz-centar", "ka-banija"};

/// The settings of SYSTEM.md and DEPLOY.md for the small deployment.
inline std::vector<daemon_process> makeDaemons(
    const std::string &network, const std::string &storeAddress, const std::string &folder)
{
    std::vector<daemon_process> daemons;
    for (std::size_t i = 0; i < machineZones.size(); ++i) {
        daemon_process each;
        each.zone = machineZones[i];
        each.name = "edge-" + each.zone + '-' + std::to_string(i + 1);
        each.ip = network + std::to_string(11 + i);
        each.settings = folder + '/' + each.name + ".conf";
        each.log = folder + '/' + each.name + ".log";
        std::ofstream out(each.settings);
        out << "node=" << each.name << "\nrole=edge\nmachineClass=edge\nserves=edge\nip=" << each.ip
            << "\nzone=" << each.zone << "\nregion=hr-north\n";
        for (const char *zone : {"zg-dubrava", "zg-jankomir", "vz-centar", "ka-banija"}) {
            out << "zones." << zone << "=hr-north\n";
        }
        out << "listen.front=" << each.ip << ":8149\nlisten.ready=" << each.ip << ":8141\n"
            << "internalPorts=7380,7395\nseeds=\nbootstrap=true\nfaultCounted=false\n"
            << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
            << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n"
            << "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n"
            << "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\n"
            << "bounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchupS=4\n"
            << "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
            << "bounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\nbounds.retryBudgetRatio=0.2\n"
            << "bounds.budgetWindowS=10\nbounds.budgetSlack=52\nbounds.recoveryS=12\nbounds.passMs=120\n"
            << "bounds.retryAfterS=0\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
            << "bounds.thawSlackMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOverage=1.1\n"
            << "bounds.version_ms=5000\nplatform.address=" << storeAddress
            << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
            << "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
        daemons.push_back(each);
    }
    return daemons;
}

/// Ends the daemons also when the case throws.
struct daemons_guard
{
    std::vector<daemon_process> &daemons;
    ~daemons_guard()
    {
        for (daemon_process &each : daemons) {
            each.stop();
        }
    }
};

inline bool startAll(std::vector<daemon_process> &daemons)
{
    for (daemon_process &each : daemons) {
        each.start();
    }
    const std::int64_t until = nowMs() + 15'000;
    for (const daemon_process &each : daemons) {
        while (!each.isReady()) {
            if (nowMs() > until) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    return true;
}

/// The part of a backend server that all cases share: its entry in the store, its health check, its reports
/// and orders. Requests of clients go to `run`, which sends the answer.
class server
{
public:
    /// One request of a client that the server has read.
    struct call
    {
        connection &peer;
        const message &request;
        std::string id; ///< X-Briarhead-Request-Id
        std::int64_t deadlineAt; ///< by X-Briarhead-Deadline-Ms
    };
    /// Returns whether the connection may carry another request.
    using handler = std::function<bool(server &, const call &)>;

    server(store &target, std::string id, std::string service, std::string zone, const std::string &ip,
        int slots, bool isEngine, handler run)
        : m_store(target)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_ip(ip)
        , m_slots(slots)
        , m_isEngine(isEngine)
        , m_run(std::move(run))
        , m_listener(listenOn(ip, m_port))
    {
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread([this, fd] {
                    serve(fd);
                }).detach();
            }
        }).detach();
        std::thread([this] {
            for (;;) {
                heartbeat();
                std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
            }
        }).detach();
    }
    const std::string &id() const
    {
        return m_id;
    }
    /// A stamp that shows that the answer is this server's, for this request.
    std::string stamp(const std::string &requestId) const
    {
        return m_id + '.' + requestId;
    }
    /// The fields that each answer to a request has.
    std::string answerFields(const std::string &requestId) const
    {
        return "X-Briarhead-Request-Id: " + requestId + "\r\nX-Briarhead-Server-Stamp: " + stamp(requestId)
            + "\r\nX-Briarhead-Weight-Versions: 1\r\n";
    }

private:
    json models() const
    {
        json adapters = json::array();
        for (const std::string &name : m_adapters) {
            adapters.push_back(name + "@1");
        }
        return json::array({{{"name", "daka510000"}, {"version", 1}, {"adapters", adapters}}});
    }
    void heartbeat()
    {
        const std::lock_guard lock(m_mutex);
        json entry{{"service", m_service}, {"address", m_ip + ':' + std::to_string(m_port)}, {"zone", m_zone},
            {"version", "v1"}, {"slots", m_slots}, {"state", "ready"}, {"coldRemainingMs", 0},
            {"seq", ++m_beats}};
        if (m_isEngine) {
            entry["stage"] = "colocated";
            entry["models"] = models();
        }
        m_store.put("servers/" + m_id, entry.dump());
    }
    void serve(int fd)
    {
        connection peer(fd);
        message request;
        while (peer.read(request, nowMs() + 60'000) == read_end::Whole) {
            const std::string expected = request.field("X-Briarhead-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                reply(peer, 421, "X-Briarhead-Instance-Id: " + m_id + "\r\n", "");
            } else if (request.target() == "/health") {
                reply(peer, 200, "X-Briarhead-Instance-Id: " + m_id + "\r\n", "");
            } else if (request.target() == "/v1/report") {
                const std::lock_guard lock(m_mutex);
                reply(peer, 200, "Content-Type: application/json\r\n",
                    json{{"stage", "colocated"}, {"models", models()}, {"busy", false}, {"seq", m_sequence},
                        {"queued", 0}, {"active", 0}, {"kvUsed", 0}, {"kvTotal", 121'668}, {"handles", 0},
                        {"coming", json::array()}}
                        .dump());
            } else if (request.target() == "/v1/order") {
                const json order = json::parse(request.body);
                reply(peer, carryOut(order), "Content-Type: application/json\r\n", "{}");
            } else if (!m_run(*this,
                           {peer, request, request.field("X-Briarhead-Request-Id"),
                               nowMs()
                                   + (request.has("X-Briarhead-Deadline-Ms")
                                           ? std::atoll(request.field("X-Briarhead-Deadline-Ms").c_str())
                                           : 60'000)})) {
                return;
            }
        }
    }
    /// Loads take no time here, and all else is as the pages say.
    int carryOut(const json &order)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t fence = order.at("fenceToken");
        if (fence < m_fence) {
            return 412;
        }
        m_fence = fence;
        if (!order.contains("adapter")) {
            return order.at("opcode") == "load" ? 200 : 400;
        }
        const std::string name = order.at("adapter");
        const bool loads = order.at("opcode") == "load";
        if (loads == (m_adapters.count(name) != 0)) {
            return 200;
        }
        if (order.value("expectedRev", m_sequence) != m_sequence) {
            return 409;
        }
        ++m_sequence;
        if (loads) {
            m_adapters.insert(name);
        } else {
            m_adapters.erase(name);
        }
        return loads ? 202 : 200;
    }
    static void reply(connection &peer, int status, const std::string &fields, const std::string &body)
    {
        peer.send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_ip;
    int m_slots;
    bool m_isEngine;
    handler m_run;
    std::uint16_t m_port = 0;
    int m_listener;
    std::mutex m_mutex;
    std::set<std::string> m_adapters;
    std::int64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_beats = 0;
};

/// Whether the case is to bring about its disruption.
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Runs a case: its folder is the first argument. The exit code is the case's, or 2 if it couldn't run.
inline int runCase(int argc, char **argv, int (*body)(const std::string &folder))
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        return exitNotRun;
    }
    std::string scratch = (std::filesystem::temp_directory_path() / "briarhead-review-XXXXXX").string();
    if (mkdtemp(scratch.data()) == nullptr) {
        return exitNotRun;
    }
    setenv("REVIEW_SCRATCH", scratch.c_str(), 1);
    int code = exitNotRun;
    try {
        code = body(argv[1]);
    } catch (const std::exception &failure) {
        std::fprintf(stderr, "%s\n", failure.what());
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(scratch);
    } else {
        std::fprintf(stderr, "kept: %s\n", scratch.c_str());
    }
    std::fflush(nullptr);
    _exit(code); // the stand-ins' threads are still waiting
}

}
