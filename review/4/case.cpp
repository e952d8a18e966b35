// Six callers fetch a list over kept connections. While the server still works on their requests, the
// platform stops the callers' machine with SIGTERM, as in any rolling restart. The callers read slowly: after
// the first bytes of the answer they read nothing for two and a half seconds, and then all that comes.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t answerBytes = 400'000;
constexpr std::int64_t readPauseMs = 2'500;
constexpr int callerCount = 6;
constexpr int graceMs = 8'000;

std::string requestText(const std::string &id)
{
    return "POST /once/list HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + id
        + "\r\nX-Briarhead-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n";
}

}

int main(int argc, char **argv)
{
    recorder record(folderOf(argc, argv) + "/record.txt");
    const work_folder folder;
    platform_standin platform;
    platform.put("op/config", plainConfig(15'000));
    std::vector<std::unique_ptr<plain_server>> servers;
    for (const char *id : {"app-1", "app-2"}) {
        servers.push_back(std::make_unique<plain_server>());
        plain_server &server = *servers.back();
        server.id = id;
        server.work = [](const seen_request &request) {
            if (request.fields.at("x-briarhead-request-id").rfind("warm", 0) == 0) {
                return std::string("ok");
            }
            sleepMs(600);
            return std::string(answerBytes, 'l');
        };
        server.start(record);
        platform.registerServer(server, "popis-app", "z1");
    }
    const day_ports ports;
    std::vector<std::unique_ptr<machine>> machines;
    for (const char *number : {"1", "2"}) {
        machines.push_back(
            std::make_unique<machine>(std::string("edge-") + number, machineAddress(std::atoi(number)),
                std::string("z") + number, ports, platform.port(), folder.path));
        if (!machines.back()->start()) {
            return exitCouldNotRun;
        }
    }
    if (!awaitReady(machines)) {
        record.line("the machines did not become ready");
        return exitCouldNotRun;
    }
    sleepMs(4'000); // calm for longer than contactMs
    std::atomic<int> cut{0};
    std::atomic<int> failedToRun{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            const std::string id = "list-" + std::to_string(i);
            const int fd = connectCaller(machines[0]->address, machines[0]->frontPort, true);
            if (fd < 0 || !sendAll(fd, requestText("warm-" + std::to_string(i)))
                || !readAnswer(fd, 0).whole) {
                ++failedToRun;
                return;
            }
            sleepMs(300);
            record.line("caller sends " + id);
            sendAll(fd, requestText(id));
            const seen_answer answer = readAnswer(fd, readPauseMs);
            record.line("caller has of " + id + ": status " + std::to_string(answer.status) + ", "
                + std::to_string(answer.bytes) + " of " + std::to_string(answer.length) + " bytes, "
                + answer.end);
            cut += answer.whole ? 0 : 1;
            close(fd);
        });
    }
    sleepMs(600);
    const std::int64_t stoppedAt = nowMs();
    if (isTroubled()) {
        record.line("platform sends SIGTERM to " + machines[0]->node);
        machines[0]->signal(SIGTERM);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    if (isTroubled()) {
        while (!machines[0]->ended() && nowMs() - stoppedAt < graceMs) {
            sleepMs(20);
        }
        record.line("process ended " + std::to_string(nowMs() - stoppedAt) + " ms after SIGTERM (graceS 8)");
    }
    for (const auto &each : machines) {
        each->stop();
    }
    record.line("answers cut: " + std::to_string(cut) + " of " + std::to_string(callerCount));
    std::printf("answers cut: %d of %d\n", cut.load(), callerCount);
    std::fflush(stdout);
    const int result = failedToRun > 0 ? exitCouldNotRun : cut > 0 ? exitBroken : exitHeld;
    _exit(result); // the stand-ins' threads end with the process
}
