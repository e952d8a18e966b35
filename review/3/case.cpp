// A caller gets one answer made of two: the bytes of a server that handed out wrong ones, and the events of
// the server that the stream was then taken to, with a proper end.

#include "../standins/fleet.h"

using namespace review;

namespace {

// The sheet of the small deployment: edition-match, a stream that may be resumed, 11 events, 2 servers at
// most.
constexpr int eventsPerStream = 11;
constexpr std::int64_t eventGapMs = 20;
constexpr int requestTimeoutMs = 8'000;
constexpr double requestsPerSecond = 37.1; ///< as many as the sheet's most frequent stream
constexpr std::int64_t playMs = 15'000;
constexpr int adapters = 20;
constexpr std::size_t wrongBytes = 400'000; ///< what a spoiled answer brings before it breaks off
// `garble` as in the site file: half of the servers spoil one in 33 of their answers (x = 0.03) for 5 s.
constexpr std::int64_t garbleFromMs = 4'000;
constexpr std::int64_t garbleForMs = 5'000;
constexpr int garbleOneIn = 33;

std::unique_ptr<run_record> out;
std::mutex garbledMutex;
std::set<std::string> garbled; ///< ids of requests whose answer was spoiled
std::set<std::string> garblers; ///< ids of the servers that spoil answers
std::atomic<int> seen{0}; ///< by these servers, in that time
std::atomic<std::int64_t> garbleBegin{0}; ///< 0: not yet

std::string eventText(const std::string &requestId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + " piece " + std::to_string(number)
        + "\n\n";
}

std::string wholeStream(const std::string &requestId)
{
    std::string text;
    for (int i = 1; i <= eventsPerStream; ++i) {
        text += eventText(requestId, i);
    }
    return text;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Hands out wrong bytes in place of the stream, and breaks off.
void garble(server &self, const server::call &call)
{
    out->line("server " + self.id() + " garbles " + call.id);
    call.peer.send("HTTP/1.1 200 OK\r\n" + self.answerFields(call.id)
        + "Content-Type: application/octet-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string block(4'000, '#');
    for (std::size_t sent = 0; sent < wrongBytes; sent += block.size()) {
        if (!call.peer.send(chunk(block))) {
            break;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    call.peer.reset();
}

bool run(server &self, const server::call &call)
{
    const std::int64_t since = garbleBegin == 0 ? -1 : nowMs() - garbleBegin;
    const bool mayGarble = since >= 0 && since < garbleForMs && garblers.count(self.id()) != 0;
    if (hasTrouble() && mayGarble && ++seen % garbleOneIn == 0) {
        {
            const std::lock_guard lock(garbledMutex);
            garbled.insert(call.id);
        }
        garble(self, call);
        return false;
    }
    const int from = std::atoi(call.request.field("Last-Event-Id").c_str()) + 1;
    out->line("server " + self.id() + " runs " + call.id + " from " + std::to_string(from));
    call.peer.send("HTTP/1.1 200 OK\r\n" + self.answerFields(call.id)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= eventsPerStream; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(eventGapMs));
        if (!call.peer.send(chunk(eventText(call.id, i)))) {
            return false;
        }
    }
    return call.peer.send("0\r\n\r\n");
}

std::string config()
{
    const json engine{{"slots", 64}, {"kvTokens", 121'668}, {"weightsMb", 66'500.0}, {"adapterSlots", 20},
        {"loadsPerS", 2.9},
        {"models",
            {{{"name", "daka510000"}, {"weightsMb", 65'100.0}, {"loadS", 0.72}, {"adapters", 3'000},
                {"adapterMb", 12.0}}}}};
    return json{{"version", 7},
        {"routes",
            {{{"name", "r-edition"}, {"host", "lists.example"}, {"prefix", "/edition/"},
                {"routeType", "streaming"}, {"timeoutMs", requestTimeoutMs}, {"targetLatencyMs", 1'000},
                {"priority", 1}, {"service", "lektor-models"}, {"maxAttempts", 2}, {"sticky", true},
                {"resumable", true}, {"targetGapMs", 400}}}},
        {"services",
            {{{"name", "lektor-models"}, {"healthPath", "/health"}, {"maxConns", 360}, {"protocol", "h1"},
                {"tls", false}, {"engine", engine}}}},
        {"limits",
            {{"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 3'000},
                {"idleTimeoutMs", 15'000}}}}
        .dump();
}

std::atomic<int> sent{0};
std::atomic<int> whole{0};
std::atomic<int> joined{0};

void askOnce(const std::string &ip, int number)
{
    const std::string id = "a" + std::to_string(number);
    ++sent;
    connection peer;
    message response;
    if (!peer.open(ip, 8149)
        || !peer.send("POST /edition/" + id + " HTTP/1.1\r\nHost: lists.example\r\nX-Briarhead-Request-Id: "
            + id + "\r\nX-Briarhead-Model: daka510000/a" + std::to_string(1 + number % adapters)
            + "\r\nX-Briarhead-Token-Count: 568,22\r\nX-Briarhead-Prompt-Prefix: 5c1e07a2:341,91bd"
            + std::to_string(1000 + number)
            + ":227\r\nX-Briarhead-Deadline-Ms: 8000\r\nContent-Length: 6\r\n\r\nprompt")) {
        return;
    }
    const read_end end = peer.read(response, nowMs() + 8'000);
    const bool right = response.body == wholeStream(id);
    out->line("client got for " + id + ": " + response.start + ", " + response.field("Content-Type") + ", "
        + std::to_string(response.body.size()) + " bytes, " + nameOf(end) + ", stamp "
        + response.field("X-Briarhead-Server-Stamp") + (right ? ", the stream" : ", not the stream"));
    if (end != read_end::Whole || response.status() != 200) {
        return;
    }
    if (right) {
        ++whole;
        return;
    }
    ++joined;
    const std::size_t tail = response.body.find("id: ");
    out->line("BROKEN " + id + ": a complete 200 of " + std::to_string(response.body.size())
        + " bytes, of which the last "
        + std::to_string(tail == std::string::npos ? 0 : response.body.size() - tail)
        + " are another server's events, and none is all that its server sent or a stream");
}

int play(const std::string &folder)
{
    out = std::make_unique<run_record>(folder + "/record.txt");
    const std::string network = chooseNetwork();
    store &platform = *new store(network + "2"); // its threads and the servers' go on until the process ends
    platform.put("op/config", config());
    for (int i = 0; i < 12; ++i) {
        const std::string id = "i-llm" + std::to_string(i);
        if (i % 2 == 0) {
            garblers.insert(id);
        }
        new server(platform, id, "lektor-models",
            machineZones[static_cast<std::size_t>(i) % machineZones.size()],
            network + std::to_string(101 + i), 64, true, run);
    }
    std::vector<daemon_process> daemons =
        makeDaemons(network, platform.address(), std::getenv("REVIEW_SCRATCH"));
    const daemons_guard guard{daemons};
    if (!startAll(daemons)) {
        std::fprintf(stderr, "the daemons are not ready\n");
        return exitNotRun;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(3'000));
    out->line("all daemons are ready");
    const std::int64_t begin = nowMs();
    std::vector<std::thread> clients;
    for (int i = 0; nowMs() - begin < playMs; ++i) {
        if (garbleBegin == 0 && nowMs() - begin > garbleFromMs) {
            garbleBegin = nowMs();
            out->line(hasTrouble() ? "some servers spoil answers" : "nothing happens");
        }
        clients.emplace_back(askOnce, daemons[static_cast<std::size_t>(i) % daemons.size()].ip, i);
        std::this_thread::sleep_for(std::chrono::microseconds(std::llround(1e6 / requestsPerSecond)));
    }
    for (std::thread &each : clients) {
        each.join();
    }
    const std::string result = "sent " + std::to_string(sent) + ", whole streams " + std::to_string(whole)
        + ", garbled at a server " + std::to_string(garbled.size())
        + ", complete answers that are no server's " + std::to_string(joined);
    out->line(result);
    std::printf("%s\n", result.c_str());
    if (whole < sent / 2) {
        return exitNotRun;
    }
    return joined > 0 ? exitBroken : exitHeld;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
