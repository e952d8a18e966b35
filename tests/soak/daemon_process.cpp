#include "soak/daemon_process.h"

#include "unit/http_fixture.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace briarhead::soak {

namespace {

constexpr millis restartAfter{300};

}

daemon_process makeDaemon(const std::string &name, const std::string &failureDomain, std::uint16_t storePort,
    const std::filesystem::path &folder)
{
    using http_testing::freePort;
    daemon_process daemon;
    daemon.name = name;
    daemon.settings = folder / (name + ".conf");
    daemon.log = folder / (name + ".log");
    daemon.frontPort = freePort();
    daemon.readyPort = freePort();
    const std::uint16_t peers = freePort();
    std::ofstream(daemon.settings) << "node=" << name << "\nzone=" << failureDomain
                                   << "\nip=127.0.0.1\nlisten.front=127.0.0.1:" << daemon.frontPort
                                   << "\nlisten.ready=127.0.0.1:" << daemon.readyPort
                                   << "\ninternalPorts=" << peers << ',' << peers + 1
                                   << "\nplatform.address=127.0.0.1:" << storePort
                                   << "\nbounds.graceS=8\nbounds.quotaWindowS=8\nbounds.quotaOverage=0."
                                      "1\nbounds.quotaSlack=6\nmetricsPort="
                                   << freePort() << '\n';
    return daemon;
}

void start(daemon_process &daemon, const std::string &program)
{
    const std::string log = daemon.log.string();
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
    std::string path = program;
    std::string argument = "--settings=" + daemon.settings.string();
    char *arguments[] = {path.data(), argument.data(), nullptr};
    const int failed = posix_spawn(&daemon.pid, path.c_str(), &files, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        throw std::runtime_error("can't start " + program);
    }
    ++daemon.starts;
    daemon.killed = false;
    daemon.terminated = {};
    disturb(daemon, {});
}

void signal(daemon_process &daemon, int number)
{
    if (daemon.pid != 0) {
        kill(daemon.pid, number);
        daemon.killed = daemon.killed || number == SIGKILL;
    }
}

void disturb(daemon_process &daemon, millis lasts)
{
    daemon.disturbedUntil = std::max(daemon.disturbedUntil, bootNow() + lasts);
}

std::string follow(daemon_process &daemon, const std::string &program, millis graceBound)
{
    const millis now = bootNow();
    if (daemon.pid == 0) {
        if (now - daemon.ended >= restartAfter) {
            start(daemon, program);
        }
        return "";
    }
    int status = 0;
    if (waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
        daemon.pid = 0;
        daemon.ready = false;
        daemon.ended = now;
        disturb(daemon, {});
        const bool expected = daemon.killed || (daemon.terminated.count != 0 && WIFEXITED(status));
        return expected ? "" : "END " + daemon.name + " ended by itself, status " + std::to_string(status);
    }
    const millis since = std::max(daemon.terminated, daemon.disturbedUntil);
    if (daemon.terminated.count != 0 && !daemon.killed && now - since > graceBound) {
        signal(daemon, SIGKILL);
        return "END " + daemon.name + " still runs long after SIGTERM";
    }
    return "";
}

std::size_t residentKb(const daemon_process &daemon)
{
    std::ifstream status("/proc/" + std::to_string(daemon.pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

void stop(daemon_process &daemon)
{
    if (daemon.pid != 0) {
        kill(daemon.pid, SIGKILL);
        waitpid(daemon.pid, nullptr, 0);
        daemon.pid = 0;
    }
}

}
