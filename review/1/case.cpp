// A request that may run once runs on two servers: while the daemon looks whether the first one's answer is
// whole, that server asks for a pause, and the daemon sends the request to another one.

#include "../standins/fleet.h"

#include <condition_variable>

using namespace review;

namespace {

// The small deployment's plain servers, 60 ms of work, with the rate that list-fetch has when it has grown.
constexpr int minWorkMs = 30;
constexpr int maxWorkMs = 90;
constexpr int slotsPerServer = 6;
constexpr int maxWaiting = 24;
constexpr int requestTimeoutMs = 2'000;
constexpr int clientDeadlineMs = 4'000;
constexpr double requestsPerSecond = 73.1;
constexpr std::int64_t playMs = 96'000;
// Two of the four servers are in need: they name the requests a second that each takes from all machines
// together.
const std::set<std::string> inNeed{"i-app0", "i-app1"};
const std::string limitField = "Server-Limit: 4\r\n";
// `srv_grey`, "shed": the other two turn away this share of their requests, 4 s long, every 5 s, and ask the
// machine for a pause.
constexpr double turnedAway = 0.45;
const std::string pauseField = "Retry-After: 0.05\r\n";
constexpr std::int64_t greyForMs = 4'000;
constexpr std::int64_t greyEveryMs = 5'000;

std::unique_ptr<run_record> out;
std::mutex runMutex;
std::atomic<bool> grey{false};
std::map<std::string, std::vector<std::string>> ran; ///< by request: the servers that began to work on it

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

bool run(server &self, const server::call &call)
{
    thread_local std::mt19937_64 random(std::random_device{}());
    const std::string limit = hasTrouble() && inNeed.count(self.id()) != 0 ? limitField : "";
    if (grey && inNeed.count(self.id()) == 0 && std::bernoulli_distribution(turnedAway)(random)) {
        out->line("server " + self.id() + " turns away " + call.id);
        call.peer.send("HTTP/1.1 503 Service Unavailable\r\nX-Briarhead-Not-Executed: 1\r\n" + limit
            + pauseField + "X-Briarhead-Request-Id: " + call.id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    slot_pool &pool = slots[self.id()];
    if (!pool.take(call.deadlineAt)) {
        call.peer.send("HTTP/1.1 503 Service Unavailable\r\nX-Briarhead-Not-Executed: 1\r\n" + limit
            + "X-Briarhead-Request-Id: " + call.id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    {
        const std::lock_guard lock(runMutex);
        ran[call.id].push_back(self.id());
    }
    out->line("server " + self.id() + " runs " + call.id);
    const std::int64_t until = std::min<std::int64_t>(
        nowMs() + std::uniform_int_distribution<int>(minWorkMs, maxWorkMs)(random), call.deadlineAt);
    // It drops a request whose connection is closed.
    const bool left = call.peer.hasEvent(static_cast<int>(std::max<std::int64_t>(until - nowMs(), 0)));
    pool.give();
    if (left) {
        out->line("server " + self.id() + " drops " + call.id);
        return false;
    }
    // Neither a length nor chunks: the answer ends with its connection.
    call.peer.send("HTTP/1.1 200 OK\r\n" + self.answerFields(call.id) + limit
        + "Content-Type: text/plain\r\nConnection: close\r\n\r\nlist of " + call.id + '\n');
    out->line("server " + self.id() + " answered " + call.id + " 200");
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
std::atomic<int> failed{0};

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
    refused += status == 503 || status == 429 ? 1 : 0;
    failed += status == 502 || status == 504 || status == 0 ? 1 : 0;
}

int play(const std::string &folder)
{
    out = std::make_unique<run_record>(folder + "/record.txt");
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
        const bool isGrey = hasTrouble() && (nowMs() - begin) % greyEveryMs < greyForMs;
        if (grey.exchange(isGrey) != isGrey) {
            out->line(isGrey ? "i-app2 and i-app3 turn requests away" : "all servers take all requests");
        }
        clients.emplace_back(
            askOnce, daemons[static_cast<std::size_t>(i) % daemons.size()].ip, "a" + std::to_string(i));
        std::this_thread::sleep_for(std::chrono::microseconds(std::llround(1e6 / requestsPerSecond)));
    }
    for (std::thread &each : clients) {
        each.join();
    }
    int twice = 0;
    {
        const std::lock_guard lock(runMutex);
        for (const auto &[id, where] : ran) {
            if (where.size() > 1) {
                ++twice;
                out->line("BROKEN " + id + " ran on " + where[0] + " and " + where[1]);
            }
        }
    }
    const std::string result = "sent " + std::to_string(sent) + ", answered 200 " + std::to_string(answered)
        + ", refused " + std::to_string(refused) + ", failed " + std::to_string(failed)
        + ", run more than once " + std::to_string(twice);
    out->line(result);
    std::printf("%s\n", result.c_str());
    if (sent < 100 || answered == 0) {
        return exitNotRun;
    }
    return twice > 0 ? exitBroken : exitHeld;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
