// Callers of a route whose requests may run once are told that theirs never ran, though it has: the servers'
// answers have neither length nor chunks, and some of a slow server's come as the route's timeout ends.

#include "../standins/fleet.h"

#include <condition_variable>

using namespace review;

namespace {

// The sheet of the small deployment: list-fetch, 60 ms of work, 6 slots and room for 24 more at each of 4
// servers.
constexpr int minWorkMs = 30;
constexpr int maxWorkMs = 90;
constexpr int slotsPerServer = 6;
constexpr int maxWaiting = 24;
constexpr int requestTimeoutMs = 300; ///< the operator's timeoutMs: as long as the sheet's aim
constexpr int clientDeadlineMs = 4'000;
constexpr double requestsPerSecond = 13.3;
// `srv_slow` as in the site files: one server in four, work takes 5 times as long, 6.5 s; another one every 8
// s.
constexpr int slowBy = 5;
constexpr std::int64_t slowForMs = 6'500;
constexpr std::int64_t slowEveryMs = 8'000;
constexpr std::int64_t playMs = 96'000;

std::unique_ptr<run_record> out;
std::mutex runMutex;
std::set<std::string> ran; ///< ids of requests that servers began to work on
std::atomic<int> slowServer{-1}; ///< its number; -1: none

/// The slots of one server and the requests that wait for them.
struct slot_pool
{
    std::mutex mutex;
    std::condition_variable freed;
    int used = 0;
    int waiting = 0;

    bool take(std::int64_t untilMs)
    {
        std::unique_lock lock(mutex);
        if (used >= slotsPerServer && waiting >= maxWaiting) {
            return false;
        }
        ++waiting;
        const bool free = freed.wait_for(
            lock, std::chrono::milliseconds(std::max<std::int64_t>(untilMs - nowMs(), 0)), [this] {
                return used < slotsPerServer;
            });
        --waiting;
        used += free ? 1 : 0;
        return free;
    }
    void give()
    {
        const std::lock_guard lock(mutex);
        --used;
        freed.notify_one();
    }
};

std::map<std::string, slot_pool> slots;

int workMs(const std::string &server)
{
    thread_local std::mt19937_64 random(std::random_device{}());
    const int usual = std::uniform_int_distribution<int>(minWorkMs, maxWorkMs)(random);
    return server == "i-app" + std::to_string(slowServer) ? usual * slowBy : usual;
}

bool run(server &self, const server::call &call)
{
    slot_pool &pool = slots[self.id()];
    if (!pool.take(call.deadlineAt)) {
        call.peer.send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Briarhead-Not-Executed: 1\r\nX-Briarhead-Request-Id: "
            + call.id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    {
        const std::lock_guard lock(runMutex);
        ran.insert(call.id);
    }
    out->line("server " + self.id() + " runs " + call.id);
    const std::int64_t until = std::min(nowMs() + workMs(self.id()), call.deadlineAt);
    // It drops a request whose connection is closed.
    const bool left = call.peer.hasEvent(static_cast<int>(std::max<std::int64_t>(until - nowMs(), 0)));
    pool.give();
    if (left) {
        out->line("server " + self.id() + " drops " + call.id);
        return false;
    }
    const bool late = nowMs() >= call.deadlineAt;
    // Neither a length nor chunks: the answer ends with its connection.
    call.peer.send(std::string("HTTP/1.1 ") + (late ? "504 Gateway Timeout" : "200 OK") + "\r\n"
        + self.answerFields(call.id) + "Content-Type: text/plain\r\nConnection: close\r\n\r\nlist of "
        + call.id + '\n');
    out->line("server " + self.id() + " answered " + call.id + (late ? " 504" : " 200"));
    return false;
}

std::string config()
{
    return json{{"version", 7},
        {"routes",
            {{{"name", "r-list"}, {"host", "lists.example"}, {"prefix", "/lists/"},
                {"routeType", "non_idempotent"}, {"timeoutMs", requestTimeoutMs}, {"targetLatencyMs", 300},
                {"priority", 2}, {"service", "popis-app"}, {"maxAttempts", 1}}}},
        {"services",
            {{{"name", "popis-app"}, {"healthPath", "/health"}, {"maxConns", 96}, {"protocol", "h1"},
                {"tls", false}}}},
        {"limits",
            {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
        .dump();
}

std::atomic<int> sent{0};
std::atomic<int> answered{0};
std::atomic<int> refused{0};
std::atomic<int> refusedAndRan{0};

void askOnce(const std::string &ip, const std::string &id)
{
    ++sent;
    connection peer;
    message response;
    if (!peer.open(ip, 8149)
        || !peer.send("POST /lists/" + id + " HTTP/1.1\r\nHost: lists.example\r\nX-Briarhead-Request-Id: "
            + id + "\r\nX-Briarhead-Deadline-Ms: " + std::to_string(clientDeadlineMs)
            + "\r\nContent-Length: 4\r\n\r\nlist")) {
        return;
    }
    const read_end end = peer.read(response, nowMs() + clientDeadlineMs);
    out->line("client got for " + id + ": " + response.start + " (" + nameOf(end)
        + ") retry-after=" + response.field("Retry-After") + " body=" + response.body.substr(0, 40));
    const int status = response.status();
    answered += status == 200 ? 1 : 0;
    if (status != 429 && status != 503 && status != 408 && status != 421) {
        return;
    }
    ++refused;
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // it may also run later
    const std::lock_guard lock(runMutex);
    if (ran.count(id) != 0) {
        ++refusedAndRan;
        out->line("BROKEN " + id + " was answered " + std::to_string(status) + " and has run");
    }
}

int play(const std::string &folder)
{
    out = std::make_unique<run_record>(folder + "/record-refused.txt");
    const std::string scratch = std::getenv("REVIEW_SCRATCH");
    const std::string network = chooseNetwork();
    store &platform = *new store(network + "2"); // its threads and the servers' go on until the process ends
    platform.put("op/config", config());
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-app" + std::to_string(i);
        slots[id];
        new server(platform, id, "popis-app", machineZones[static_cast<std::size_t>(i) + 2],
            network + std::to_string(101 + i), slotsPerServer, false, run);
    }
    std::vector<daemon_process> daemons = makeDaemons(network, platform.address(), scratch);
    const daemons_guard guard{daemons};
    if (!startAll(daemons)) {
        std::fprintf(stderr, "the daemons are not ready\n");
        return exitNotRun;
    }
    out->line("all daemons are ready");
    const std::int64_t begin = nowMs();
    std::vector<std::thread> clients;
    for (int i = 0; nowMs() - begin < playMs; ++i) {
        const std::int64_t at = nowMs() - begin;
        const bool isSlow = hasTrouble() && at % slowEveryMs < slowForMs;
        const int wanted = isSlow ? static_cast<int>(at / slowEveryMs % 4) : -1;
        if (slowServer.exchange(wanted) != wanted) {
            out->line(isSlow ? "i-app" + std::to_string(wanted) + " turns slow" : "no server is slow");
        }
        clients.emplace_back(
            askOnce, daemons[static_cast<std::size_t>(i) % daemons.size()].ip, "a" + std::to_string(i));
        std::this_thread::sleep_for(std::chrono::microseconds(std::llround(1e6 / requestsPerSecond)));
    }
    for (std::thread &each : clients) {
        each.join();
    }
    const std::string result = "sent " + std::to_string(sent) + ", answered 200 " + std::to_string(answered)
        + ", refused " + std::to_string(refused) + ", refused though run " + std::to_string(refusedAndRan);
    out->line(result);
    std::printf("%s\n", result.c_str());
    if (sent < 100 || answered == 0) {
        return exitNotRun;
    }
    return refusedAndRan > 0 ? exitBroken : exitHeld;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
