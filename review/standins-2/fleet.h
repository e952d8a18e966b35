#pragma once

// Stand-ins for the scripts of this review: the platform with its metadata store, plain servers, and callers.
// The store is the project's own stand-in; servers and callers use blocking sockets, a thread each, so that
// they share no code with the daemon.

#include "serving/fake_store.h"
#include "serving/store_standin.h"
#include "transport/loop.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char **environ;

namespace review {

using json = nlohmann::json;

/// Milliseconds since the start of the case.
inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleepMs(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

/// Writes what was sent, answered and run to record.txt.
class recorder
{
public:
    explicit recorder(const std::string &path)
        : m_out(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// The loopback address of a machine, by its number from 1 on. Each play has addresses of its own, so that
/// plays beside each other don't meet.
inline std::string machineAddress(int number)
{
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid % 250) + '.' + std::to_string(1 + pid / 250 % 250) + '.'
        + std::to_string(10 + number);
}

/// A port of the machines, which have the same ones. Each call returns another, below the ports that the
/// kernel gives to outgoing connections.
inline std::uint16_t freePort()
{
    constexpr int firstPort = 12'000;
    constexpr int step = 20; // room for the range of internal ports
    constexpr int machineCount = 6;
    static int drawn = 0;
    for (;;) {
        drawn += step;
        auto port = static_cast<std::uint16_t>(firstPort + drawn);
        bool free = true;
        for (int number = 1; number <= machineCount; ++number) {
            const int fd = listenOn(machineAddress(number), port);
            free = free && fd >= 0;
            if (fd >= 0) {
                close(fd);
            }
        }
        if (free) {
            return port;
        }
    }
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

/// A request as a server has read it.
struct seen_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::size_t bodyBytes = 0;
};

/// Parses the head of a message: the words of its first line and its fields.
inline seen_request parseHead(const std::string &head)
{
    seen_request out;
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const std::size_t space = first.find(' ');
    out.method = first.substr(0, space);
    const std::size_t second = first.find(' ', space + 1);
    out.target = first.substr(space + 1, second - space - 1);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string row = head.substr(begin, at - begin);
        const std::size_t colon = row.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = row.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const std::size_t value = row.find_first_not_of(' ', colon + 1);
        out.fields[name] = value == std::string::npos ? "" : row.substr(value);
    }
    return out;
}

/// A plain server of a service. `work` is called once a request has been read, and returns the body of the
/// answer. `readPause` is waited after each block that is read of a body.
class plain_server
{
public:
    std::string id;
    std::uint16_t port = 0;
    std::string ip = "127.0.0.1";
    std::function<std::string(const seen_request &)> work;
    std::atomic<std::int64_t> readPauseMs{0}; ///< after each block
    std::atomic<std::size_t> readBlockBytes{65'536};
    std::atomic<int> ran{0};

    /// Whether the head of this request has arrived, so that it was passed on to this server.
    bool hasReceived(const std::string &requestId)
    {
        const std::lock_guard lock(m_mutex);
        return m_received.count(requestId) != 0;
    }
    void start(recorder &record)
    {
        m_record = &record;
        m_listener = listenOn(ip, port);
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread([this, fd] {
                    serve(fd);
                    close(fd);
                }).detach();
            }
        }).detach();
    }

private:
    void serve(int fd)
    {
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        std::string input;
        std::vector<char> block(65'536);
        for (;;) {
            while (input.find("\r\n\r\n") == std::string::npos) {
                const ssize_t count = recv(fd, block.data(), 4'096, 0);
                if (count <= 0) {
                    return;
                }
                input.append(block.data(), static_cast<std::size_t>(count));
            }
            const std::size_t end = input.find("\r\n\r\n");
            seen_request request = parseHead(input.substr(0, end + 2));
            input.erase(0, end + 4);
            const auto length = request.fields.find("content-length");
            const std::size_t bodyBytes = length == request.fields.end() ? 0 : std::stoull(length->second);
            request.bodyBytes = bodyBytes;
            const std::string requestId = request.fields["x-briarhead-request-id"];
            m_record->line("server " + id + " receives " + requestId);
            {
                const std::lock_guard lock(m_mutex);
                m_received.insert(requestId);
            }
            std::size_t have = std::min(input.size(), bodyBytes);
            input.erase(0, have);
            while (have < bodyBytes) {
                if (readPauseMs > 0) {
                    sleepMs(readPauseMs);
                }
                const std::size_t wanted = std::min(bodyBytes - have, readBlockBytes.load());
                const ssize_t count = recv(fd, block.data(), std::min(wanted, block.size()), 0);
                if (count <= 0) {
                    return; // the request was not read whole, and doesn't run
                }
                have += static_cast<std::size_t>(count);
            }
            const std::string expected = request.fields["x-briarhead-expect-instance"];
            if (!expected.empty() && expected != id) {
                sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++ran;
            m_record->line("server " + id + " runs " + requestId);
            const std::string body = work(request);
            if (!sendAll(fd,
                    "HTTP/1.1 200 OK\r\nX-Briarhead-Request-Id: " + requestId
                        + "\r\nX-Briarhead-Server-Stamp: by-" + id
                        + "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    int m_listener = -1;
    recorder *m_record = nullptr;
    std::mutex m_mutex;
    std::set<std::string> m_received;
};

/// The platform's store on a thread of its own.
class platform_standin
{
public:
    platform_standin()
        : m_thread([this] {
            run();
        })
    {
        while (!m_ready) {
            sleepMs(1);
        }
    }
    ~platform_standin()
    {
        call([this] {
            m_events->stop();
        });
        m_thread.join();
    }
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }
    /// Runs `what` on the store's thread and waits for it.
    void call(const std::function<void()> &what)
    {
        std::atomic<bool> done{false};
        {
            const std::lock_guard lock(m_mutex);
            m_calls.push_back([&] {
                what();
                done = true;
            });
        }
        while (!done) {
            sleepMs(1);
        }
    }
    void put(const std::string &key, const json &value)
    {
        call([&] {
            m_store->put(key, value.dump());
        });
    }
    /// Writes a server's entry, and again at each heartbeat as servers do.
    void registerServer(const plain_server &server, const std::string &service, const std::string &zone)
    {
        const json entry{{"service", service}, {"address", server.ip + ':' + std::to_string(server.port)},
            {"zone", zone}, {"version", "1"}, {"slots", 6}, {"state", "ready"}, {"coldRemainingMs", 0},
            {"seq", 0}};
        call([&] {
            m_entries["servers/" + server.id] = entry;
            m_store->put("servers/" + server.id, entry.dump());
        });
    }

    /// A server has ended: its entry is removed after three heartbeats.
    void silence(const std::string &server)
    {
        call([&] {
            m_entries.erase("servers/" + server);
            m_silenced.push_back(m_events->timer({3 * 1'200}, {}, [this, server] {
                m_store->remove("servers/" + server);
            }));
        });
    }

private:
    void run()
    {
        briarhead::loop events;
        m_events = &events;
        briarhead::fake_store store(events);
        m_store = &store;
        briarhead::store_standin http(store);
        m_port = http.port();
        const auto calls = events.timer({2}, {2}, [this] {
            std::vector<std::function<void()>> due;
            {
                const std::lock_guard lock(m_mutex);
                due.swap(m_calls);
            }
            for (const auto &each : due) {
                each();
            }
        });
        const auto leases = events.timer({50}, {50}, [&store] {
            for (const auto &[lease, isOpen] : std::map(store.leaseIsOpen)) {
                if (isOpen && briarhead::bootNow() - store.renewedAt[lease] > store.ttls[lease]) {
                    store.expire(lease);
                }
            }
        });
        const auto heartbeats = events.timer({1'200}, {1'200}, [this, &store] {
            for (auto &[key, entry] : m_entries) {
                entry["seq"] = entry["seq"].get<int>() + 1;
                store.put(key, entry.dump());
            }
        });
        m_ready = true;
        events.run();
        m_silenced.clear();
    }

    briarhead::loop *m_events = nullptr;
    briarhead::fake_store *m_store = nullptr;
    std::map<std::string, json> m_entries;
    std::vector<std::shared_ptr<void>> m_silenced;
    std::atomic<bool> m_ready{false};
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_calls;
    std::thread m_thread;
};

/// The ports of a day: the same on all machines.
struct day_ports
{
    std::uint16_t front = freePort();
    std::uint16_t ready = freePort();
    std::uint16_t control = freePort();
    std::uint16_t internal = freePort();
    std::uint16_t metrics = freePort();
};

/// A machine of the system with its process. Each has a loopback address of its own.
class machine
{
public:
    machine(std::string name, std::string ip, std::string zone, const day_ports &ports,
        std::uint16_t storePort, const std::filesystem::path &folder)
        : node(std::move(name))
        , address(std::move(ip))
        , frontPort(ports.front)
        , m_readyPort(ports.ready)
        , m_settings(folder / (node + ".conf"))
        , m_log(folder / (node + ".log"))
    {
        std::ofstream(m_settings)
            << "node=" << node << "\nrole=edge\nmachineClass=edge\nserves=edge\nip=" << address
            << "\nzone=" << zone << "\nregion=r\nlisten.front=" << address << ':' << ports.front
            << "\nlisten.ready=" << address << ':' << ports.ready << "\nlisten.control=" << address << ':'
            << ports.control << "\ninternalPorts=" << ports.internal << ',' << ports.internal + 15
            << "\nmetricsPort=" << ports.metrics
            << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds="
               "4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs="
               "1200\ntolerate.machines=1\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\n"
               "bounds.ackMs=4000\nbounds.catchupS=4\nbounds.drainMs=2000\nbounds.graceS=8\n"
               "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
               "bounds.outerBoundMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
               "bounds.budgetSlack=52\nbounds.recoveryS=12\nbounds.passMs=120\nbounds.requireFence=true\n"
               "bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.version_ms=5000\nplatform.address="
            << "127.0.0.1:" << storePort
            << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
               "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
    }
    ~machine()
    {
        stop();
    }
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    std::string node;
    std::string address;
    std::uint16_t frontPort;

    /// Starts the program of the deploy file, with its settings as the platform hands them over.
    bool start()
    {
        const std::string log = m_log.string();
        posix_spawn_file_actions_t files{};
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(
            &files, STDOUT_FILENO, log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        std::string program = "target/platform/briarhead-edge";
        char *arguments[] = {program.data(), nullptr};
        std::vector<std::string> variables{"BRIARHEAD_NODE_FILE=" + m_settings.string()};
        for (const char *name : {"PATH", "HOME", "LANG"}) {
            if (const char *value = std::getenv(name)) {
                variables.push_back(std::string(name) + '=' + value);
            }
        }
        std::vector<char *> environment;
        for (std::string &each : variables) {
            environment.push_back(each.data());
        }
        environment.push_back(nullptr);
        const int failed =
            posix_spawn(&m_pid, program.c_str(), &files, nullptr, arguments, environment.data());
        posix_spawn_file_actions_destroy(&files);
        m_pid = failed == 0 ? m_pid : 0;
        return failed == 0;
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            kill(m_pid, number);
        }
    }
    /// Whether the process has ended by now.
    bool ended()
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid <= 0;
    }
    void stop()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    bool isReady() const
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to = addressOf(address, m_readyPort);
        char text[16] = {};
        const bool ready = connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0
            && sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            && recv(fd, text, 12, MSG_WAITALL) == 12 && std::string(text) == "HTTP/1.1 200";
        close(fd);
        return ready;
    }
    std::size_t residentKb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string row; std::getline(status, row);) {
            if (row.rfind("VmRSS:", 0) == 0) {
                return std::stoul(row.substr(row.find_first_of("0123456789")));
            }
        }
        return 0;
    }

private:
    std::uint16_t m_readyPort;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0;
};

inline bool awaitReady(const std::vector<std::unique_ptr<machine>> &machines)
{
    const std::int64_t end = nowMs() + 20'000;
    for (const auto &each : machines) {
        while (!each->isReady()) {
            if (nowMs() > end) {
                return false;
            }
            sleepMs(50);
        }
    }
    return true;
}

/// A temporary folder for settings and logs, removed at the end unless KEEP is set.
class work_folder
{
public:
    work_folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
        path = mkdtemp(name.data()) == nullptr ? "" : name;
    }
    ~work_folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path);
        }
    }
    work_folder(const work_folder &) = delete;
    work_folder &operator=(const work_folder &) = delete;
    std::filesystem::path path;
};

/// An answer as its caller has read it.
struct seen_answer
{
    int status = 0; ///< 0: no head arrived
    std::size_t length = 0; ///< as announced
    std::size_t bytes = 0; ///< of the body that arrived
    bool whole = false;
    std::string end; ///< how reading ended
};

/// A caller's connection. `smallWindow`: segments and receive buffer as on an Ethernet path with a small
/// window, so that a caller that reads slowly holds its sender up.
inline int connectCaller(const std::string &ip, std::uint16_t port, bool smallWindow)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (smallWindow) {
        const int segment = 1'448;
        const int buffer = 16'384;
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    }
    sockaddr_in to = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Reads an answer with a length or chunks. The caller reads nothing for `pauseMs` once it has the first
/// bytes.
inline seen_answer readAnswer(int fd, std::int64_t pauseMs)
{
    seen_answer answer;
    std::string input;
    std::vector<char> block(8'192);
    bool chunked = false;
    bool headDone = false;
    std::size_t partialBytes = 0; ///< of a chunk that has not arrived whole
    for (;;) {
        if (!headDone) {
            const std::size_t end = input.find("\r\n\r\n");
            if (end != std::string::npos) {
                seen_request head = parseHead(input.substr(0, end + 2));
                answer.status = std::atoi(head.target.c_str());
                chunked = head.fields["transfer-encoding"] == "chunked";
                answer.length = std::strtoull(head.fields["content-length"].c_str(), nullptr, 10);
                input.erase(0, end + 4);
                headDone = true;
            }
        }
        if (headDone && !chunked) {
            answer.bytes += input.size();
            input.clear();
            if (answer.bytes >= answer.length) {
                answer.whole = answer.bytes == answer.length;
                answer.end = "whole";
                return answer;
            }
        }
        while (headDone && chunked) {
            const std::size_t line = input.find("\r\n");
            if (line == std::string::npos) {
                break;
            }
            const std::size_t size = std::strtoull(input.c_str(), nullptr, 16);
            if (input.size() < line + 2 + size + 2) {
                partialBytes = input.size() - line - 2;
                break;
            }
            partialBytes = 0;
            input.erase(0, line + 2 + size + 2);
            answer.bytes += size;
            if (size == 0) {
                answer.whole = true;
                answer.end = "whole";
                return answer;
            }
        }
        if (!input.empty() || headDone) {
            sleepMs(std::exchange(pauseMs, 0));
        }
        const ssize_t count = recv(fd, block.data(), block.size(), 0);
        if (count <= 0) {
            answer.end = count == 0 ? "closed" : std::strerror(errno);
            answer.bytes += partialBytes;
            return answer;
        }
        input.append(block.data(), static_cast<std::size_t>(count));
    }
}

/// A small deployment's configuration: one plain service with a route for calls that may run once only and
/// one for those that may be repeated.
inline json plainConfig(int timeoutMs)
{
    const auto route = [timeoutMs](const char *prefix, const char *type) {
        return json{{"name", prefix}, {"host", "h"}, {"prefix", prefix}, {"routeType", type},
            {"timeoutMs", timeoutMs}, {"targetLatencyMs", 300}, {"maxAttempts", 2}, {"priority", 2},
            {"service", "popis-app"}};
    };
    return {{"version", 1}, {"routes", {route("/once/", "non_idempotent"), route("/safe/", "idempotent")}},
        {"services", {{{"name", "popis-app"}, {"healthPath", "/health"}, {"maxConns", 96}}}},
        {"limits",
            {{"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 5'000},
                {"idleTimeoutMs", 10'000}}}};
}

inline std::string folderOf(int argc, char **argv)
{
    return argc > 1 ? argv[1] : ".";
}

inline bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

}
