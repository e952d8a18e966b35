// Streams that may be resumed run through one machine, at servers of software version v1, the only one so
// far. The machine loses power: it stands still, and its connections end when it is back after 3.5 s. One
// second after the loss the first server of v2 appears, as at the beginning of a release. The callers take
// their streams up at the other machines, while all servers of v1 serve on.
#include "fleet.h"
#include "serving/backend_standin.h"

using namespace review;
using briarhead::backend_standin;

namespace {

constexpr int machineCount = 3;
constexpr int oldCount = 3; ///< servers of v1
constexpr int newCount = 1; ///< servers of v2
constexpr int eventCount = 80; ///< of a stream
constexpr std::int64_t eventPauseMs = 150;
constexpr std::int64_t firstEventMs = 8;
constexpr std::size_t streamCount = 24;
/// Of the schedule, from the loss of power on.
constexpr std::int64_t releaseAtMs = 1'000;
constexpr std::int64_t backAtMs = 3'500;
constexpr std::int64_t endMs = 8'000;
constexpr double leastShare = 0.5; ///< the rule: "under half of the share of new streams that begin"

/// A caller's stream.
struct stream
{
    std::string id;
    int fd = -1;
    std::string received;
    bool ended = false;
    bool isOld = false; ///< it began before the loss of power
    bool resumes = false; ///< it takes another one up
    std::size_t takes = 0; ///< the stream that takes this one up; 0: none

    /// The servers that brought its events, in order.
    std::vector<std::string> servers() const
    {
        std::vector<std::string> out;
        for (std::size_t at = received.find("data: "); at != std::string::npos;
             at = received.find("data: ", at + 1)) {
            out.push_back(received.substr(at + 6, received.find('\n', at) - at - 6));
        }
        return out;
    }
};

json modelConfig()
{
    const json engine{{"slots", 64}, {"kvTokens", 100'000}, {"weightsMb", 1'000}, {"adapterSlots", 2},
        {"loadsPerS", 50},
        {"models",
            {{{"name", "m0"}, {"weightsMb", 900}, {"loadS", 0.5}, {"adapters", 8}, {"adapterMb", 1}}}}};
    return {{"version", 1},
        {"routes",
            {{{"name", "draft"}, {"host", "h"}, {"prefix", "/draft/"}, {"routeType", "streaming"},
                {"timeoutMs", 15'000}, {"targetLatencyMs", 1'000}, {"targetGapMs", 400}, {"maxAttempts", 2},
                {"service", "llm"}, {"resumable", true}, {"sticky", true}}}},
        {"services", {{{"name", "llm"}, {"healthPath", "/health"}, {"engine", engine}}}},
        {"limits",
            {{"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 5'000},
                {"idleTimeoutMs", 10'000}}}};
}

/// Answers with a stream that goes on behind the event before `firstEvent`, one event each `eventPauseMs`,
/// the first one sooner.
void sendEvents(briarhead::loop &events, backend_standin &server, const std::string &requestId,
    int firstEvent, const std::shared_ptr<briarhead::front_reply> &reply)
{
    struct running_stream
    {
        int next = 0;
        std::shared_ptr<void> timer;
    };
    const auto running = std::make_shared<running_stream>();
    running->next = firstEvent;
    if (!server.holdsModel) {
        reply->respond(421, {{"X-Briarhead-Request-Id", requestId}}, "");
        return;
    }
    server.respondWithStream(reply, requestId, firstEvent, firstEvent - 1); // the head
    reply->onDisconnect([running] {
        running->timer.reset();
    });
    running->timer = events.timer({firstEventMs}, {eventPauseMs}, [running, reply, name = server.id] {
        reply->write("id: " + std::to_string(running->next) + "\ndata: " + name + "\n\n");
        if (running->next++ >= eventCount) {
            reply->end();
            const auto timer = std::exchange(running->timer, nullptr); // kept until the end of this call
        }
    });
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}

int main(int argc, char **argv)
{
    recorder record(folderOf(argc, argv) + "/record.txt");
    const work_folder folder;
    briarhead::loop events;
    briarhead::fake_store store(events);
    briarhead::store_standin platform(store);
    store.put("op/config", modelConfig().dump());
    const auto leases = events.timer({50}, {50}, [&] {
        for (const auto &[lease, isOpen] : std::map(store.leaseIsOpen)) {
            if (isOpen && briarhead::bootNow() - store.renewedAt[lease] > store.ttls[lease]) {
                store.expire(lease);
            }
        }
    });
    std::vector<std::unique_ptr<backend_standin>> servers;
    const auto beat = [&] {
        for (const auto &server : servers) {
            json entry = json::parse(server->entry());
            entry["seq"] = server->sequence;
            entry["slots"] = 64;
            store.put("servers/" + server->id, entry.dump());
        }
    };
    const auto startServers = [&](const std::string &version, int count) {
        for (int i = 1; i <= count; ++i) {
            servers.push_back(
                std::make_unique<backend_standin>(events, "llm-" + version + '-' + std::to_string(i), "llm"));
            backend_standin &server = *servers.back();
            server.softwareVersion = version;
            server.startedAtMs = unixMs();
            server.adapters = {"a1", "a2"};
            server.onRun = [&events, &server](const std::string &requestId, int firstEvent,
                               const std::shared_ptr<briarhead::front_reply> &reply) {
                sendEvents(events, server, requestId, firstEvent, reply);
            };
        }
        beat();
    };
    startServers("v1", oldCount);
    std::vector<std::shared_ptr<void>> timers;
    timers.push_back(events.timer({1'200}, {1'200}, beat));
    const day_ports ports;
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 1; i <= machineCount; ++i) {
        const std::string number = std::to_string(i);
        machines.push_back(std::make_unique<machine>(
            "edge-" + number, machineAddress(i), "z" + number, ports, platform.port(), folder.path));
        if (!machines.back()->start()) {
            return exitCouldNotRun;
        }
    }
    std::vector<std::unique_ptr<stream>> streams;
    const auto send = [&](std::size_t machineNumber, const std::string &model, const std::string &fields) {
        auto one = std::make_unique<stream>();
        one->id = "s-" + std::to_string(streams.size());
        const machine &at = *machines[machineNumber % machineCount];
        one->fd = connectCaller(at.address, at.frontPort, false);
        sendAll(one->fd,
            "POST /draft/list HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + one->id
                + "\r\nX-Briarhead-Deadline-Ms: 15000\r\nContent-Length: 0\r\nX-Briarhead-Model: " + model
                + "\r\nX-Briarhead-Token-Count: 50,50\r\nX-Briarhead-Prompt-Prefix: "
                + std::to_string(1000 + streams.size()) + ":50\r\n" + fields + "\r\n");
        fcntl(one->fd, F_SETFL, O_NONBLOCK);
        streams.push_back(std::move(one));
    };
    /// After a broken connection the caller takes its stream up, once, at another machine.
    const auto takeUp = [&](stream &cut, std::size_t number) {
        const std::size_t had = cut.servers().size();
        if (had == 0 || cut.takes != 0 || cut.resumes || !cut.isOld) {
            return;
        }
        cut.takes = streams.size();
        send(1 + number % 2, "m0",
            "Last-Event-Id: " + std::to_string(had) + "\r\nResumes: " + cut.id + "\r\n");
        streams.back()->resumes = true;
    };
    timers.push_back(events.timer({10}, {10}, [&] {
        for (std::size_t i = 0; i < streams.size(); ++i) {
            stream *each = streams[i].get();
            char block[4'096];
            ssize_t count = 0;
            while (!each->ended && (count = recv(each->fd, block, sizeof(block), 0)) > 0) {
                each->received.append(block, static_cast<std::size_t>(count));
            }
            const bool closed = count == 0 || (count < 0 && errno != EAGAIN);
            const bool whole = each->received.find("\r\n0\r\n\r\n") != std::string::npos;
            if (!each->ended && (closed || whole)) {
                each->ended = true;
                close(each->fd);
                if (!whole) {
                    takeUp(*each, i);
                }
            }
        }
    }));
    const std::int64_t lossAt = 10'000;
    const auto at = [&](std::int64_t when, std::function<void()> call) {
        timers.push_back(events.timer({lossAt + when - nowMs()}, {}, std::move(call)));
    };
    for (std::size_t i = 0; i < streamCount; ++i) {
        at(-3'000 + static_cast<std::int64_t>(i) * 80, [&] {
            send(0, "m0", "");
            streams.back()->isOld = true;
        });
    }
    at(0, [&] {
        if (isTroubled()) {
            record.line("edge-1 loses power");
            machines[0]->signal(SIGSTOP);
        }
    });
    at(releaseAtMs, [&] {
        record.line("the first server of v2 appears");
        startServers("v2", newCount);
    });
    std::size_t firstNew = 0;
    at(backAtMs, [&] {
        if (isTroubled()) {
            record.line("edge-1 is back");
            machines[0]->stop();
            machines[0]->start();
        } else {
            record.line("the callers at edge-1 lose their connections");
            for (std::size_t i = 0; i < streamCount; ++i) {
                streams[i]->ended = true;
                close(streams[i]->fd);
                takeUp(*streams[i], i);
            }
        }
    });
    for (int i = 0; i < 12; ++i) {
        at(backAtMs + 100 + 80 * i, [&, i] {
            firstNew = firstNew == 0 ? streams.size() : firstNew;
            send(static_cast<std::size_t>(1 + i % 2), "m0", "");
        });
    }
    at(endMs, [&] {
        events.stop();
    });
    events.run();
    for (const auto &each : machines) {
        each->stop();
    }
    int taken = 0;
    int wentOn = 0;
    int fresh = 0;
    int began = 0;
    bool mixed = false;
    for (const auto &each : streams) {
        const std::vector<std::string> by = each->servers();
        if (each->isOld && each->takes != 0) {
            const stream &next = *streams[each->takes];
            const std::vector<std::string> more = next.servers();
            ++taken;
            wentOn += more.empty() ? 0 : 1;
            mixed = mixed || (!more.empty() && more.front().substr(0, 6) != by.front().substr(0, 6));
            record.line("stream " + each->id + ": " + std::to_string(by.size()) + " events by " + by.front()
                + ", taken up by " + next.id + ": status " + next.received.substr(9, 3) + ", "
                + std::to_string(more.size()) + " events" + (more.empty() ? "" : " by " + more.front()));
        } else if (!each->isOld && !each->resumes) {
            ++fresh;
            began += by.empty() ? 0 : 1;
        }
    }
    const std::string summary = "taken up: " + std::to_string(taken)
        + ", of these went on: " + std::to_string(wentOn) + "; new streams: " + std::to_string(fresh)
        + ", of these began: " + std::to_string(began) + (mixed ? "; versions were mixed" : "");
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    std::fflush(stdout);
    if (taken < 12 || fresh == 0 || began == 0) {
        _exit(exitCouldNotRun);
    }
    const double share = static_cast<double>(wentOn) / taken;
    _exit(share < leastShare * began / fresh ? exitBroken : exitHeld);
}
