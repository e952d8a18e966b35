#pragma once

#include "state/clock.h"

#include <sys/types.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <string>

namespace briarhead::soak {

/// One briarhead-edge process, and its successors after each end.
struct daemon_process
{
    std::string name;
    std::filesystem::path settings;
    std::filesystem::path log;
    std::uint16_t frontPort = 0;
    std::uint16_t readyPort = 0;
    pid_t pid = 0; ///< 0: not running
    std::size_t starts = 0;
    bool ready = false; ///< as it last said
    bool killed = false;
    millis askedReady;
    millis terminated; ///< SIGTERM; 0: not
    millis ended; ///< starts again a moment later
    millis disturbedUntil;
};

/// Writes its settings; it reaches the store at the given port.
daemon_process makeDaemon(const std::string &name, const std::string &failureDomain, std::uint16_t storePort,
    const std::filesystem::path &folder);
void start(daemon_process &daemon, const std::string &program);
void signal(daemon_process &daemon, int number);
/// Something is done to it now, for so long.
void disturb(daemon_process &daemon, millis lasts);
/// Starts it again a moment after its end. What is wrong with how it ended, or nothing.
std::string follow(daemon_process &daemon, const std::string &program, millis graceBound);
/// Its resident memory; 0 if it doesn't run.
std::size_t residentKb(const daemon_process &daemon);
/// Ends it for good.
void stop(daemon_process &daemon);

}
